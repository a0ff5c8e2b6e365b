package cmdln

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/admcli"
	adapt "github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

type configCmd struct {
	Show    configShow    `cmd:"" help:"Print the accepted configuration as JSON."`
	Apply   configApply   `cmd:"" help:"Make a file the whole configuration. Its member revision is the base unless --base is given."`
	History configHistory `cmd:"" help:"List accepted revisions with author, op and difference."`
}

type configShow struct{}

// Run prints the configuration.
func (configShow) Run(en *env, ad *adminCmd) error {
	js := *ad
	js.Output = "json"
	return get(en, &js, "/config", func(io.Writer, any) {})
}

type configApply struct {
	File        string `arg:"" type:"path" help:"JSON file in the form of config show."`
	changeFlags `embed:""`
}

// Run replaces the configuration.
func (ca configApply) Run(en *env, ad *adminCmd) error {
	data, err := os.ReadFile(ca.File)
	if err != nil {
		return errs.Usage.Wrap(err, "read the configuration")
	}
	if !json.Valid(data) {
		return errs.Config.New("%s is not JSON", ca.File)
	}
	return change(en, ad, http.MethodPut, "/config", ca.changeFlags, json.RawMessage(data))
}

type configHistory struct {
	After *uint64 `placeholder:"REVISION" help:"Start after this revision (default: show the last ones)."`
	Limit int     `default:"20" help:"Largest number of revisions, 1 to 500 (default ${default})."`
}

// Run lists the audit rows.
func (ch configHistory) Run(en *env, ad *adminCmd) error {
	qu := url.Values{"limit": {strconv.Itoa(ch.Limit)}}
	if ch.After != nil {
		qu.Set("after", strconv.FormatUint(*ch.After, 10))
	}
	rq := admcli.Request{Method: http.MethodGet, Path: "/audit", Query: qu}
	return sendAndPrint(en, ad, rq, func(wr io.Writer, li adapt.List[update.Audit]) {
		for _, au := range li.Items {
			_, _ = fmt.Fprintf(wr, "revision %d by %s at %s (op %s)\n", au.Revision, au.Author, au.At.UTC().Format(time.RFC3339), au.Op)
			for _, it := range au.Changes {
				_, _ = fmt.Fprintf(wr, "  %s\n", it)
			}
		}
	})
}

type nodeCmd struct {
	List   nodeList   `cmd:"" default:"1" help:"List the routers; also runs without a name."`
	Remove nodeRemove `cmd:"" help:"Remove the entry of a router that is gone for good."`
}

type nodeRemove struct {
	VM string `arg:"" help:"VM of the router."`
}

// Run removes the entry.
func (nr nodeRemove) Run(en *env, ad *adminCmd) error {
	return sendAndPrint(en, ad, admcli.Request{Method: http.MethodDelete, Path: admcli.Path("nodes", nr.VM)}, printDone)
}

type nodeList struct{}

// Run lists which revision is in force at each router and at its sidecars.
func (nodeList) Run(en *env, ad *adminCmd) error {
	return get(en, ad, "/nodes", func(wr io.Writer, li adapt.List[admin.Node]) {
		printTable(wr, "ROUTER\tDOMAIN\tREVISION\tSINCE\tSIDECARS IN STEP\tOTHERS", func(row func(...any)) {
			for _, no := range li.Items {
				others := ""
				for _, sr := range no.OutOfSync {
					others += fmt.Sprintf("%s:%d ", sr.Upstream, sr.Revision)
				}
				row(no.VM, no.Domain, no.Revision, no.Since.Format(time.RFC3339), no.InSync, others)
			}
		})
		_, _ = fmt.Fprintf(wr, "accepted revision %d\n", li.Revision)
	})
}

type heldCmd struct {
	List    heldList    `cmd:"" help:"List router incarnations that are not closed and what they hold."`
	Close   heldClose   `cmd:"" help:"Declare an incarnation dead. Its process must be gone: a router that still runs would spend what is freed."`
	Resolve heldResolve `cmd:"" help:"Settle the escrow of one budget at a dead incarnation and free the rest."`
}

type heldList struct{}

// Run lists the open and closing router incarnations with their held escrow.
func (heldList) Run(en *env, ad *adminCmd) error {
	return get(en, ad, "/held", func(wr io.Writer, li adapt.List[adapt.Holding]) {
		printTable(wr, "INCARNATION\tVM\tSTATE\tOPENED\tACCOUNT\tBUDGET\tSETTLED\tHELD", func(row func(...any)) {
			for _, ho := range li.Items {
				opened := ho.Opened.Format(time.RFC3339)
				if len(ho.Held) == 0 {
					row(ho.Incarnation, ho.VM, ho.State, opened, "-", "-", "-", "-")
				}
				for _, he := range ho.Held {
					row(ho.Incarnation, ho.VM, ho.State, opened, he.Account, he.Budget, he.Settled, he.Held)
				}
			}
		})
	})
}

type incarnationArg struct {
	Incarnation string `arg:"" help:"Incarnation, as held list prints it."`
}

func printDone(wr io.Writer, _ adapt.Done) { _, _ = fmt.Fprintln(wr, "done") }

type heldClose struct {
	incarnationArg `embed:""`
	VM             string `name:"vm" required:"" placeholder:"VM" help:"VM of the incarnation, as confirmation that its process is gone."`
}

// Run declares the incarnation dead.
func (hc heldClose) Run(en *env, ad *adminCmd) error {
	rq := admcli.Request{
		Method: http.MethodPost, Path: admcli.Path("held", hc.Incarnation, "close"),
		Body: adapt.DeclareDead{VM: ident.VM(hc.VM)},
	}
	return sendAndPrint(en, ad, rq, printDone)
}

type heldResolve struct {
	incarnationArg `embed:""`
	budgetArgs     `embed:""`
	Used           int64 `arg:"" help:"Tokens that the incarnation used of the budget in total, including what it settled."`
}

// Run settles the escrow.
func (hr heldResolve) Run(en *env, ad *adminCmd) error {
	used := ident.Tokens(hr.Used)
	rq := admcli.Request{
		Method: http.MethodPost, Path: admcli.Path("held", hr.Incarnation, "resolve"),
		Body: adapt.Resolve{Account: ident.Account(hr.Account), Budget: ident.Budget(hr.Budget), Used: &used},
	}
	return sendAndPrint(en, ad, rq, printDone)
}

type outcomeCmd struct {
	accountArg `embed:""`
	ClientKey  string `arg:"" help:"Idempotency key that the client sent."`
}

// Run shows the outcome.
func (oc outcomeCmd) Run(en *env, ad *adminCmd) error {
	return get(en, ad, admcli.Path("outcomes", oc.Account, oc.ClientKey), func(wr io.Writer, rc claim.Record) {
		_, _ = fmt.Fprintf(wr, "state: %s\nupstream: %s\n", rc.State, rc.Upstream)
		if rc.Outcome != nil {
			_, _ = fmt.Fprintf(wr, "status: %d\nbody: %s\n", rc.Outcome.Status, rc.Outcome.Body)
		}
	})
}
