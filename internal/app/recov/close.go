package recov

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/member"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Events of this package.
var (
	evDeclared  = meter.Event{Number: 3101, Level: slog.LevelWarn, Text: "router incarnation was declared dead"}
	evRecovered = meter.Event{Number: 3102, Level: slog.LevelInfo, Text: "escrow of a dead incarnation was recovered"}
	evMissing   = meter.Event{Number: 3103, Level: slog.LevelWarn, Text: "escrow of a dead incarnation stays held for lack of evidence"}
	evFailed    = meter.Event{Number: 3104, Level: slog.LevelWarn, Text: "recovery could not go on and is tried again"}
	evUncovered = meter.Event{Number: 3105, Level: slog.LevelError, Text: "a dead incarnation used more than its escrow"}
)

// recover declares the incarnation dead, collects the evidence and frees what
// was not used. The order matters: after the declaration no sidecar takes up
// work of the incarnation, so the list of witnesses is final.
func (re *Recoverer) recover(ctx context.Context, in budget.Incarnation) error {
	if in.Row.State == escrow.Open {
		if err := re.ledger.Declare(ctx, in.ID); err != nil {
			return fmt.Errorf("declare %s: %w", in.ID, err)
		}
		re.opts.meter.Log(evDeclared, slog.String("incarnation", string(in.ID)), slog.String("vm", string(in.Row.VM)))
	}
	witnesses, err := re.ledger.Witnesses(ctx, in.ID)
	if err != nil {
		return fmt.Errorf("witnesses of %s: %w", in.ID, err)
	}
	sides := re.bySidecar()
	re.ask(ctx, in.ID, witnesses, sides)
	cl, ev := re.closure(in.ID, witnesses, sides)
	if _, whole := cl.Free(); !whole {
		re.missing(cl)
		return nil
	}
	return re.free(ctx, in.ID, ev)
}

func (re *Recoverer) bySidecar() map[ident.Incarnation]Sidecar {
	sides := make(map[ident.Incarnation]Sidecar)
	for _, si := range re.sidecars.Connected() {
		sides[si.Incarnation()] = si
	}
	return sides
}

// ask collects the confirmations that are missing and can be had.
func (re *Recoverer) ask(ctx context.Context, router ident.Incarnation, witnesses []budget.Witness, sides map[ident.Incarnation]Sidecar) {
	ctx, cancel := context.WithTimeout(ctx, re.opts.ask)
	defer cancel()
	var wg sync.WaitGroup
	for ix := range witnesses {
		wi := &witnesses[ix]
		si, linked := sides[wi.Sidecar]
		if wi.Confirmed || !linked {
			continue
		}
		wg.Go(func() {
			cr, err := si.Close(ctx, router)
			if err == nil {
				err = re.ledger.Confirm(ctx, router, wi.Sidecar, cr)
			}
			if err != nil {
				re.failed(router, err)
				return
			}
			wi.Confirmed = true
			for _, us := range cr.Used {
				wi.Used += us.Tokens
			}
		})
	}
	wg.Wait()
}

// closure weighs the evidence. A VM may have run several sidecars one after the
// other; each must have confirmed. One that was restarted or whose VM is gone
// will never confirm.
func (re *Recoverer) closure(router ident.Incarnation, witnesses []budget.Witness, sides map[ident.Incarnation]Sidecar) (member.Closure, escrow.Evidence) {
	restarted := make(map[ident.VM]ident.Incarnation)
	for id, si := range sides {
		restarted[si.VM()] = id
	}
	cl, ev := member.NewClosure(router, 0), escrow.Evidence{}.WithWhole()
	used := make(map[ident.VM]ident.Tokens)
	open := make(map[ident.VM]bool)
	for _, wi := range witnesses {
		cl, ev = cl.WithSidecar(wi.VM), ev.WithSidecar(wi.Sidecar)
		used[wi.VM] += wi.Used
		if wi.Confirmed {
			continue
		}
		open[wi.VM] = true
		now, linked := restarted[wi.VM]
		switch {
		case linked && now != wi.Sidecar:
			cl = cl.WithConfirmation(member.Confirmation{Sidecar: wi.VM})
		case re.view.State(wi.VM) == member.Gone:
			cl = cl.WithGone(wi.VM, true)
		}
	}
	for vm, to := range used {
		if !open[vm] {
			cl = cl.WithConfirmation(member.Confirmation{Sidecar: vm, Used: to, Complete: true})
		}
	}
	return cl, ev
}

// free books the evidence. Another router may have done it meanwhile.
func (re *Recoverer) free(ctx context.Context, router ident.Incarnation, ev escrow.Evidence) error {
	st, err := re.ledger.State(ctx, router)
	if err != nil || st == escrow.Closed {
		return err
	}
	rec, err := re.ledger.Recover(ctx, router, ev)
	if err != nil {
		return fmt.Errorf("recover %s: %w", router, err)
	}
	for _, gr := range rec.Grants {
		re.opts.meter.Log(evRecovered, slog.String("incarnation", string(router)), slog.String("budget", gr.Ref.String()),
			slog.Int64("charged", int64(gr.Charged)), slog.Int64("freed", int64(gr.Freed)))
		if gr.Uncovered > 0 {
			re.opts.meter.Log(evUncovered, slog.String("incarnation", string(router)),
				slog.String("budget", gr.Ref.String()), slog.Int64("tokens", int64(gr.Uncovered)))
		}
	}
	return nil
}

// missing reports the evidence that is missing whenever it changes.
func (re *Recoverer) missing(cl member.Closure) {
	told := fmt.Sprintf("awaiting %v, lost %v", cl.Awaiting(), cl.Lost())
	do := re.cases[cl.Router()]
	if do.told == told {
		return
	}
	do.told = told
	re.opts.meter.Log(evMissing, slog.String("incarnation", string(cl.Router())), slog.String("evidence", told))
}

func (re *Recoverer) failed(router ident.Incarnation, err error) {
	re.opts.meter.Log(evFailed, slog.String("incarnation", string(router)), slog.String("error", err.Error()))
}
