package cmdln

import (
	"fmt"
	"io"
	"net/http"

	"github.com/balsamwood/balsamwood/internal/adapt/admcli"
	adapt "github.com/balsamwood/balsamwood/internal/adapt/admin"
)

type domainCmd struct {
	List  domainList  `cmd:"" help:"List failure domains."`
	Close domainClose `cmd:"" help:"Close a failure domain. Its upstreams get no new work; requests in flight finish."`
	Open  domainOpen  `cmd:"" help:"Open a closed failure domain."`
}

type domainArg struct {
	Domain string `arg:"" help:"Failure domain, as in the list of upstreams."`
}

type domainList struct{}

// Run lists the failure domains.
func (domainList) Run(en *env, ad *adminCmd) error {
	return get(en, ad, "/domains", func(wr io.Writer, li adapt.List[adapt.Domain]) {
		printTable(wr, "DOMAIN\tSTATE\tUPSTREAMS", func(row func(...any)) {
			for _, do := range li.Items {
				row(do.ID, map[bool]string{true: "closed", false: "open"}[do.Closed], do.Upstreams)
			}
		})
		_, _ = fmt.Fprintf(wr, "revision %d\n", li.Revision)
	})
}

type domainClose struct {
	domainArg   `embed:""`
	changeFlags `embed:""`
}

// Run closes the failure domain.
func (dc domainClose) Run(en *env, ad *adminCmd) error {
	return setDomain(en, ad, dc.Domain, dc.changeFlags, true)
}

type domainOpen struct {
	domainArg   `embed:""`
	changeFlags `embed:""`
}

// Run opens the failure domain.
func (do domainOpen) Run(en *env, ad *adminCmd) error {
	return setDomain(en, ad, do.Domain, do.changeFlags, false)
}

func setDomain(en *env, ad *adminCmd, domain string, cf changeFlags, closed bool) error {
	return change(en, ad, http.MethodPatch, admcli.Path("domains", domain), cf, adapt.SetDomainRequest{Closed: &closed})
}
