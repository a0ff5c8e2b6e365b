package side

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var evUnwritten = meter.Event{Number: 2201, Level: slog.LevelWarn, Text: "the usage could not be written at the end of the sidecar"}

const (
	// testifyTime bounds the writing of the usage at the end.
	testifyTime = 10 * time.Second
	// testifyAtOnce bounds the writes at once. One sidecar has a link with up to
	// 380 routers, and the table takes several hundred writes a second.
	testifyAtOnce = 8
)

// registry looks up router incarnations in the ledger.
type registry struct {
	ledger *budget.Ledger
	self   ident.Incarnation
	vm     ident.VM
}

// Admit records this sidecar as a witness of the incarnation.
func (rg registry) Admit(ctx context.Context, ic ident.Incarnation) *refuse.Refusal {
	err := rg.ledger.Witness(ctx, ic, rg.self, escrow.WitnessRow{VM: rg.vm})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, escrow.ErrClosed), errors.Is(err, budget.ErrUnknownIncarnation):
		return refuse.New(refuse.ClosedIncarnation, "router incarnation %s is not open", ic)
	default:
		return refuse.New(refuse.StoreUnavailable, "the state of router incarnation %s is not known: %v", ic, err)
	}
}

// testify writes what each router incarnation used here, because the books end
// with the process. A sidecar that is killed cannot do this; its usage stays
// held when one of its routers dies later.
func (si *Sidecar) testify() {
	ctx, cancel := context.WithTimeout(context.Background(), testifyTime)
	defer cancel()
	var gr errgroup.Group
	gr.SetLimit(testifyAtOnce)
	for _, ic := range si.sv.Admitted() {
		gr.Go(func() error {
			var cr escrow.ClosureRow
			for _, us := range si.sv.Used(ic) {
				cr.Used = append(cr.Used, escrow.Use{Account: us.Budget.Account, Budget: us.Budget.Budget, Tokens: us.Used})
			}
			return si.registry.ledger.Confirm(ctx, ic, si.registry.self, cr)
		})
	}
	if err := gr.Wait(); err != nil {
		si.met.Log(evUnwritten, slog.String("error", err.Error()))
	}
}
