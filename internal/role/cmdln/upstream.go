package cmdln

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/admcli"
	adapt "github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

type upstreamCmd struct {
	List    upstreamList    `cmd:"" help:"List upstreams."`
	Add     upstreamAdd     `cmd:"" help:"Add an upstream."`
	Fencing upstreamFencing `cmd:"" help:"Say whether an upstream itself refuses orders with a superseded fencing number."`
	Order   upstreamOrder   `cmd:"" help:"Order a model engine to load a model or an adapter, or to change its role."`
	Orders  upstreamOrders  `cmd:"" help:"List the latest orders of an upstream."`
	Remove  upstreamRemove  `cmd:"" help:"Remove an upstream. It gets no new work; requests in flight finish."`
}

type upstreamArg struct {
	Upstream string `arg:"" help:"Upstream, as in the settings of its sidecar."`
}

type upstreamList struct{}

// Run lists the upstreams.
func (upstreamList) Run(en *env, ad *adminCmd) error {
	return get(en, ad, "/upstreams", func(wr io.Writer, li adapt.List[config.Upstream]) {
		printTable(wr, "UPSTREAM\tKIND\tVM\tDOMAIN\tSIDECAR\tSERVES\tCHECKS FENCING", func(row func(...any)) {
			for _, up := range li.Items {
				row(up.ID, up.Kind, up.VM, up.Domain, up.Sidecar, join(up.Models)+string(up.Service), up.ChecksFencing)
			}
		})
		_, _ = fmt.Fprintf(wr, "revision %d\n", li.Revision)
	})
}

type upstreamAdd struct {
	upstreamArg   `embed:""`
	VM            string   `name:"vm" required:"" placeholder:"VM" help:"VM of the upstream in the platform's list."`
	Domain        string   `required:"" placeholder:"DOMAIN" help:"Failure domain of the VM."`
	Sidecar       string   `required:"" placeholder:"IP:PORT" help:"Address of the sidecar."`
	Model         []string `xor:"serves" required:"" placeholder:"NAME" help:"Model that the engine serves; may be repeated."`
	Service       string   `xor:"serves" required:"" placeholder:"NAME" help:"Plain service that the process offers."`
	ChecksFencing bool     `help:"The upstream itself refuses orders with a superseded fencing number."`
	changeFlags   `embed:""`
}

// Run adds the upstream.
func (ua upstreamAdd) Run(en *env, ad *adminCmd) error {
	up := config.Upstream{
		ID: ident.Upstream(ua.Upstream), VM: ident.VM(ua.VM), Kind: config.Engine, Domain: ident.Domain(ua.Domain),
		Sidecar: ua.Sidecar, Models: convertStrings[ident.Model](ua.Model), Service: ident.Service(ua.Service),
		ChecksFencing: ua.ChecksFencing,
	}
	if ua.Service != "" {
		up.Kind = config.Plain
	}
	return change(en, ad, http.MethodPost, "/upstreams", ua.changeFlags, up)
}

type upstreamFencing struct {
	upstreamArg `embed:""`
	Checks      string `arg:"" enum:"true,false" help:"true or false."`
	changeFlags `embed:""`
}

// Run records whether the upstream checks fencing numbers itself.
func (uf upstreamFencing) Run(en *env, ad *adminCmd) error {
	checks := uf.Checks == "true"
	return change(en, ad, http.MethodPatch, admcli.Path("upstreams", uf.Upstream), uf.changeFlags, adapt.SetFencingRequest{ChecksFencing: &checks})
}

type upstreamRemove struct {
	upstreamArg `embed:""`
	changeFlags `embed:""`
}

// Run removes the upstream.
func (ur upstreamRemove) Run(en *env, ad *adminCmd) error {
	return change(en, ad, http.MethodDelete, admcli.Path("upstreams", ur.Upstream), ur.changeFlags, nil)
}

type serviceCmd struct {
	List   serviceList   `cmd:"" help:"List plain services with their routes."`
	Set    serviceSet    `cmd:"" help:"Add a plain service or replace all its routes."`
	Remove serviceRemove `cmd:"" help:"Remove a plain service that no upstream offers."`
}

type serviceArg struct {
	Service string `arg:"" help:"Plain service."`
}

type serviceList struct{}

// Run lists the services.
func (serviceList) Run(en *env, ad *adminCmd) error {
	return get(en, ad, "/services", func(wr io.Writer, li adapt.List[config.Service]) {
		printTable(wr, "SERVICE\tMETHOD\tPATH\tIDEMPOTENT\tCOST", func(row func(...any)) {
			for _, se := range li.Items {
				for _, ro := range se.Routes {
					row(se.ID, ro.Method, ro.Path, ro.Idempotent, ro.Cost)
				}
			}
		})
		_, _ = fmt.Fprintf(wr, "revision %d\n", li.Revision)
	})
}

type serviceSet struct {
	serviceArg  `embed:""`
	Once        []string `placeholder:"'METHOD PATH [COST]'" sep:"none" help:"Route of a call that must run at most once; may be repeated."`
	Idempotent  []string `placeholder:"'METHOD PATH [COST]'" sep:"none" help:"Route of a call that may be repeated; may be repeated."`
	changeFlags `embed:""`
}

// Run adds or replaces the service.
func (ss serviceSet) Run(en *env, ad *adminCmd) error {
	var body adapt.Routes
	for _, text := range ss.Once {
		ro, err := parseRoute(text, false)
		if err != nil {
			return err
		}
		body.Routes = append(body.Routes, ro)
	}
	for _, text := range ss.Idempotent {
		ro, err := parseRoute(text, true)
		if err != nil {
			return err
		}
		body.Routes = append(body.Routes, ro)
	}
	return change(en, ad, http.MethodPut, admcli.Path("services", ss.Service), ss.changeFlags, body)
}

func parseRoute(text string, idempotent bool) (config.Route, error) {
	parts := strings.Fields(text)
	if len(parts) < 2 || len(parts) > 3 {
		return config.Route{}, errs.Usage.New("route %q: want METHOD PATH and optionally COST", text)
	}
	ro := config.Route{Method: parts[0], Path: parts[1], Idempotent: idempotent}
	if len(parts) == 3 {
		cost, err := strconv.ParseInt(parts[2], 10, 64)
		if err != nil {
			return ro, errs.Usage.New("route %q: the cost is not a number", text)
		}
		ro.Cost = ident.Tokens(cost)
	}
	return ro, nil
}

type serviceRemove struct {
	serviceArg  `embed:""`
	changeFlags `embed:""`
}

// Run removes the service.
func (sr serviceRemove) Run(en *env, ad *adminCmd) error {
	return change(en, ad, http.MethodDelete, admcli.Path("services", sr.Service), sr.changeFlags, nil)
}
