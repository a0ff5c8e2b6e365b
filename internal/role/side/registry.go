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

var evUsageNotWritten = meter.Event{Number: 2201, Level: slog.LevelWarn, Text: "the usage could not be written during the shutdown of the sidecar"}

const (
	// usageWriteTimeout bounds the time to write the usage during the shutdown.
	usageWriteTimeout = 10 * time.Second
	// usageWriteConcurrency bounds the concurrent writes. A sidecar has links
	// with up to 380 routers, and the table accepts several hundred writes per
	// second.
	usageWriteConcurrency = 8
)

// registry records in the ledger for which router incarnations this sidecar works.
type registry struct {
	ledger *budget.Ledger
	self   ident.Incarnation
	vm     ident.VM
}

// Admit records this sidecar as a witness of the router incarnation. It returns a
// refusal if the incarnation is not open or the record cannot be written.
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

// writeUsage writes what each router incarnation used here to the table, because
// the records in memory end with the process. A sidecar that is killed cannot do
// this; then the escrow for its usage stays held if one of its routers dies later.
func (si *Sidecar) writeUsage() {
	ctx, cancel := context.WithTimeout(context.Background(), usageWriteTimeout)
	defer cancel()
	var gr errgroup.Group
	gr.SetLimit(usageWriteConcurrency)
	for _, ic := range si.service.Admitted() {
		gr.Go(func() error {
			var cr escrow.ClosureRow
			for _, us := range si.service.Used(ic) {
				cr.Used = append(cr.Used, escrow.Use{Account: us.Budget.Account, Budget: us.Budget.Budget, Tokens: us.Used})
			}
			return si.registry.ledger.ConfirmClosure(ctx, ic, si.registry.self, cr)
		})
	}
	if err := gr.Wait(); err != nil {
		si.met.Log(evUsageNotWritten, slog.String("error", err.Error()))
	}
}
