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
	evMissing   = meter.Event{Number: 3103, Level: slog.LevelWarn, Text: "escrow of a dead incarnation stays held because evidence is missing"}
	evFailed    = meter.Event{Number: 3104, Level: slog.LevelWarn, Text: "recovery failed and will be retried"}
	evUncovered = meter.Event{Number: 3105, Level: slog.LevelError, Text: "a dead incarnation used more than its escrow"}
)

// recover declares the incarnation dead, collects the evidence and frees the
// escrow that was not used. The order matters: after the declaration no sidecar
// accepts work of the incarnation, so the list of witnesses is final.
func (re *Recoverer) recover(ctx context.Context, in budget.Incarnation) error {
	if in.Row.State == escrow.Open {
		if err := re.ledger.DeclareDead(ctx, in.ID); err != nil {
			return fmt.Errorf("declare %s: %w", in.ID, err)
		}
		re.opts.meter.Log(evDeclared, slog.String("incarnation", string(in.ID)), slog.String("vm", string(in.Row.VM)))
	}
	witnesses, err := re.ledger.Witnesses(ctx, in.ID)
	if err != nil {
		return fmt.Errorf("witnesses of %s: %w", in.ID, err)
	}
	for _, wi := range witnesses {
		// The VM may have been removed from the list before this router started.
		re.view = re.view.WithRegistered(member.ListedVM{ID: wi.VM})
	}
	connected := re.connectedSidecars()
	re.collectConfirmations(ctx, in.ID, witnesses, connected)
	cl, ev := re.evaluateEvidence(in.ID, witnesses, connected)
	if _, complete := cl.Reclaimable(); !complete {
		re.logMissing(cl)
		return nil
	}
	return re.freeEscrow(ctx, in.ID, ev)
}

func (re *Recoverer) connectedSidecars() map[ident.Incarnation]Sidecar {
	connected := make(map[ident.Incarnation]Sidecar)
	for _, si := range re.sidecars.Connected() {
		connected[si.Incarnation()] = si
	}
	return connected
}

// collectConfirmations requests the missing confirmations from the connected
// sidecars and records them in the ledger.
func (re *Recoverer) collectConfirmations(ctx context.Context, router ident.Incarnation, witnesses []budget.Witness, connected map[ident.Incarnation]Sidecar) {
	ctx, cancel := context.WithTimeout(ctx, re.opts.closeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for ix := range witnesses {
		wi := &witnesses[ix]
		si, linked := connected[wi.Sidecar]
		if wi.Confirmed || !linked {
			continue
		}
		wg.Go(func() {
			cr, err := si.Close(ctx, router)
			if err == nil {
				err = re.ledger.ConfirmClosure(ctx, router, wi.Sidecar, cr)
			}
			if err != nil {
				re.logFailure(router, err)
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

// evaluateEvidence builds the closure and the evidence from the witnesses. A VM
// may have run several sidecars one after the other; each must have confirmed.
// A sidecar that was restarted or whose VM is gone will never confirm.
func (re *Recoverer) evaluateEvidence(router ident.Incarnation, witnesses []budget.Witness, connected map[ident.Incarnation]Sidecar) (member.Closure, escrow.Evidence) {
	current := make(map[ident.VM]ident.Incarnation)
	for id, si := range connected {
		current[si.VM()] = id
	}
	cl, ev := member.NewClosure(router, 0), escrow.Evidence{}.WithComplete()
	used := make(map[ident.VM]ident.Tokens)
	unconfirmed := make(map[ident.VM]bool)
	for _, wi := range witnesses {
		cl, ev = cl.WithSidecar(wi.VM), ev.WithSidecar(wi.Sidecar)
		used[wi.VM] += wi.Used
		if wi.Confirmed {
			continue
		}
		unconfirmed[wi.VM] = true
		cur, linked := current[wi.VM]
		switch {
		case linked && cur != wi.Sidecar:
			cl = cl.WithConfirmation(member.Confirmation{Sidecar: wi.VM})
		case re.view.State(wi.VM) == member.Gone:
			cl = cl.WithGone(wi.VM, true)
		}
	}
	for vm, total := range used {
		if !unconfirmed[vm] {
			cl = cl.WithConfirmation(member.Confirmation{Sidecar: vm, Used: total, Complete: true})
		}
	}
	return cl, ev
}

// freeEscrow records the evidence in the ledger, which frees the escrow. Another
// router may have done so in the meantime.
func (re *Recoverer) freeEscrow(ctx context.Context, router ident.Incarnation, ev escrow.Evidence) error {
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

// logMissing logs which evidence is missing, if it has changed since the last log
// record.
func (re *Recoverer) logMissing(cl member.Closure) {
	evidence := fmt.Sprintf("awaiting %v, lost %v", cl.Awaiting(), cl.Missing())
	rv := re.recoveries[cl.Router()]
	if rv.evidence == evidence {
		return
	}
	rv.evidence = evidence
	re.opts.meter.Log(evMissing, slog.String("incarnation", string(cl.Router())), slog.String("evidence", evidence))
}

func (re *Recoverer) logFailure(router ident.Incarnation, err error) {
	re.opts.meter.Log(evFailed, slog.String("incarnation", string(router)), slog.String("error", err.Error()))
}
