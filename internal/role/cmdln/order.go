package cmdln

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/admcli"
	adapt "github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

type upstreamOrder struct {
	upstreamArg `embed:""`
	Kind        string `required:"" enum:"loadModel,loadAdapter,changeRole" help:"What is ordered: loadModel, loadAdapter or changeRole."`
	Subject     string `required:"" placeholder:"NAME" help:"Model, adapter or role."`
	Supersede   uint64 `placeholder:"NUMBER" help:"Replace the order in progress that has this fencing number."`
	DryRun      bool   `help:"Check the order and show its number without issuing it."`
	opFlag      `embed:""`
}

// Run issues the order.
func (uo upstreamOrder) Run(en *env, ad *adminCmd) error {
	qu := uo.query()
	if uo.DryRun {
		qu.Set("dryRun", "true")
	}
	rq := admcli.Request{Method: http.MethodPost, Path: admcli.Path("upstreams", uo.Upstream, "orders"), Query: qu,
		Body: adapt.Order{Kind: engine.OrderKind(uo.Kind), Subject: uo.Subject, Supersede: ident.Fence(uo.Supersede)}}
	return sendAndPrint(en, ad, rq, printOrder)
}

func printOrder(wr io.Writer, re orders.Result) {
	switch {
	case re.DryRun:
		_, _ = fmt.Fprintf(wr, "dry run, the order would have the fencing number %d\n", re.Fence)
	case re.Repeated:
		_, _ = fmt.Fprintf(wr, "order %d was issued before: %s (op %s)\n", re.Fence, re.State, re.Op)
	default:
		_, _ = fmt.Fprintf(wr, "order %d: %s (op %s)\n", re.Fence, re.State, re.Op)
	}
}

type upstreamOrders struct {
	upstreamArg `embed:""`
}

// Run lists the latest orders.
func (uo upstreamOrders) Run(en *env, ad *adminCmd) error {
	return get(en, ad, admcli.Path("upstreams", uo.Upstream, "orders"), func(wr io.Writer, li adapt.List[orders.Entry]) {
		printTable(wr, "NUMBER\tKIND\tSUBJECT\tSTATE\tBY\tAT\tOP\tDETAIL", func(row func(...any)) {
			for _, it := range li.Items {
				row(it.Fence, it.Kind, it.Subject, it.State, it.By, it.At.Format(time.RFC3339), it.Op, it.Detail)
			}
		})
	})
}

type slotCmd struct {
	List slotList `cmd:"" help:"List the held slots."`
	Free slotFree `cmd:"" help:"Free a slot. Its upstream must not load any more."`
}

type slotList struct{}

// Run lists the slots.
func (slotList) Run(en *env, ad *adminCmd) error {
	return get(en, ad, "/slots", func(wr io.Writer, li adapt.List[orders.Slot]) {
		printTable(wr, "SLOT\tUPSTREAM\tORDER\tBY", func(row func(...any)) {
			for _, sl := range li.Items {
				row(sl.Number, sl.Upstream, sl.Fence, sl.By)
			}
		})
	})
}

type slotFree struct {
	Slot     int    `arg:"" help:"Slot, as slot list prints it."`
	Upstream string `arg:"" help:"Upstream that holds it, as confirmation that it no longer loads."`
}

// Run frees the slot.
func (sf slotFree) Run(en *env, ad *adminCmd) error {
	rq := admcli.Request{Method: http.MethodDelete, Path: admcli.Path("slots", strconv.Itoa(sf.Slot), sf.Upstream)}
	return sendAndPrint(en, ad, rq, printDone)
}
