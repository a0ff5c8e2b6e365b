package cmdln

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/admcli"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// adminCmd holds the operators' commands and the flags that they share.
type adminCmd struct {
	URL     string        `required:"" env:"BALSAMWOOD_ADMIN_URL" placeholder:"URL" help:"Base URL of a router's administration address, for example https://10.0.1.1:9443."`
	Key     string        `required:"" env:"BALSAMWOOD_ADMIN_KEY" placeholder:"KEY" help:"Administration key. The environment keeps it out of the list of processes."`
	CA      string        `type:"path" placeholder:"FILE" help:"PEM file with the certificate authority of the router (default: the system's)."`
	Output  string        `enum:"text,json" default:"text" help:"Form of the result: text or json (default ${default})."`
	Timeout time.Duration `default:"30s" help:"Time allowed for the command (default ${default})."`

	Account  accountCmd  `cmd:"" help:"Client accounts: their limits and weight."`
	APIKey   apiKeyCmd   `cmd:"" name:"key" help:"API keys of client accounts."`
	Budget   budgetCmd   `cmd:"" help:"Prepaid budgets, their balance and top-ups."`
	Upstream upstreamCmd `cmd:"" help:"Model engines and processes of plain services."`
	Slot     slotCmd     `cmd:"" help:"Slots for loads from the weight store."`
	Domain   domainCmd   `cmd:"" help:"Failure domains: close one so that its upstreams get no new work, or open it."`
	Service  serviceCmd  `cmd:"" help:"Plain services and their routes."`
	Config   configCmd   `cmd:"" help:"The whole configuration and its history."`
	Node     nodeCmd     `cmd:"" help:"List which revision is in force at each router and its sidecars."`
	Held     heldCmd     `cmd:"" help:"Escrow held by router incarnations."`
	Outcome  outcomeCmd  `cmd:"" help:"Show the stored outcome of a client's idempotency key."`
}

// changeFlags are the flags of all commands that change the configuration.
type changeFlags struct {
	Base   *uint64 `placeholder:"REVISION" help:"Refuse the change unless this revision is current. Without it the change applies to the revision that the router reads."`
	DryRun bool    `help:"Check the change and show its difference without accepting it."`
	opFlag `embed:""`
}

// opFlag sets the id of an operation.
type opFlag struct {
	Op string `placeholder:"ID" help:"Operation id. A command that is repeated with the same id counts once (default: a new id)."`
}

func (of opFlag) query() url.Values {
	op := of.Op
	if op == "" {
		op = string(ident.NewOp())
	}
	return url.Values{"op": {op}}
}

func (cf changeFlags) query() url.Values {
	qu := cf.opFlag.query()
	if cf.Base != nil {
		qu.Set("base", strconv.FormatUint(*cf.Base, 10))
	}
	if cf.DryRun {
		qu.Set("dryRun", "true")
	}
	return qu
}

// sendAndPrint sends the request and prints the response, either as indented JSON
// or as text by the given function.
func sendAndPrint[T any](en *env, ad *adminCmd, rq admcli.Request, text func(io.Writer, T)) error {
	var opts []admcli.Option
	if ad.CA != "" {
		pem, err := os.ReadFile(ad.CA)
		if err != nil {
			return errs.Usage.Wrap(err, "--ca")
		}
		opts = append(opts, admcli.WithCA(pem))
	}
	ctx, cancel := context.WithTimeout(en.ctx, ad.Timeout)
	defer cancel()
	data, err := admcli.New(ad.URL, ad.Key, opts...).Do(ctx, rq)
	if err != nil {
		return err
	}
	if ad.Output == "json" {
		var out bytes.Buffer
		if err := json.Indent(&out, data, "", "  "); err != nil {
			return errs.Internal.Wrap(err, "decode the response")
		}
		_, err = fmt.Fprintln(en.out, out.String())
		return err
	}
	var val T
	if err := json.Unmarshal(data, &val); err != nil {
		return errs.Internal.Wrap(err, "decode the response")
	}
	text(en.out, val)
	return nil
}

// get requests the path and prints the response.
func get[T any](en *env, ad *adminCmd, path string, text func(io.Writer, T)) error {
	return sendAndPrint(en, ad, admcli.Request{Method: http.MethodGet, Path: path}, text)
}

// change sends a change of the configuration and prints the differences that it
// makes.
func change(en *env, ad *adminCmd, method, path string, cf changeFlags, body any) error {
	return sendAndPrint(en, ad, admcli.Request{Method: method, Path: path, Query: cf.query(), Body: body}, printChange)
}

func printChange(wr io.Writer, ch admin.ChangeResult) {
	switch {
	case ch.Repeated:
		_, _ = fmt.Fprintf(wr, "already accepted as revision %d (op %s)\n", ch.Revision, ch.Op)
	case ch.DryRun:
		_, _ = fmt.Fprintf(wr, "dry run on revision %d, nothing was accepted\n", ch.Revision)
	default:
		_, _ = fmt.Fprintf(wr, "accepted as revision %d (op %s)\n", ch.Revision, ch.Op)
	}
	for _, it := range ch.Changes {
		_, _ = fmt.Fprintf(wr, "  %s\n", it)
	}
}

// printTable prints a heading and rows in aligned columns.
func printTable(wr io.Writer, head string, rows func(row func(cells ...any))) {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, head)
	rows(func(cells ...any) {
		for ix, ce := range cells {
			if ix > 0 {
				_, _ = fmt.Fprint(tw, "\t")
			}
			_, _ = fmt.Fprint(tw, ce)
		}
		_, _ = fmt.Fprintln(tw)
	})
	_ = tw.Flush()
}
