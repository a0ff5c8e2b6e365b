package direct

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	app "github.com/balsamwood/balsamwood/internal/app/direct"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// runHolder registers the incarnation and then runs the escrow holder and the
// tasks that require a registered incarnation.
func (ro *Router) runHolder(ctx context.Context) {
	for {
		err := ro.holder.Open(ctx)
		if err == nil {
			break
		}
		ro.met.Log(evRegisterFailed, slog.String("error", err.Error()))
		if !sleep(ctx, retryDelay) {
			return
		}
	}
	var workers sync.WaitGroup
	workers.Go(func() { _ = ro.holder.Run(ctx) })
	workers.Go(func() { ro.becomeReady(ctx) })
	workers.Go(func() { ro.reclaim(ctx) })
	workers.Go(func() { ro.fleet.Run(ctx) })
	workers.Wait()
}

// reclaim frees the time-locked escrow of earlier incarnations on this VM. They
// have ended, because this process listens on their addresses.
func (ro *Router) reclaim(ctx context.Context) {
	if !ro.awaitConfig(ctx) {
		return
	}
	var refs []ident.BudgetRef
	for _, ac := range ro.configs.Load().Accounts() {
		refs = append(refs, ident.BudgetRef{Account: ac.Name, Budget: app.Prepaid})
	}
	var pending, reclaimed []ident.Incarnation
	for range maxReclaimAttempts {
		err := ro.reclaimEach(ctx, &pending, &reclaimed, refs)
		if err == nil {
			break
		}
		ro.met.Log(evReclaimFailed, slog.String("error", err.Error()))
		if !sleep(ctx, retryDelay) {
			return
		}
	}
	if len(reclaimed) > 0 && sleep(ctx, lateDrawDelay) {
		ro.reclaimLate(ctx, reclaimed, refs)
	}
}

// reclaimLate returns what the incarnations drew with writes that took effect after
// their escrow had been reclaimed.
func (ro *Router) reclaimLate(ctx context.Context, incarnations []ident.Incarnation, refs []ident.BudgetRef) {
	for _, in := range incarnations {
		tokens, err := ro.ledger.ReclaimLate(ctx, in, refs)
		if err != nil {
			ro.met.Log(evReclaimFailed, slog.String("incarnation", string(in)), slog.String("error", err.Error()))
		} else if tokens > 0 {
			ro.met.Log(evLateReclaimed, slog.String("incarnation", string(in)), slog.Int64("freed", int64(tokens)))
		}
	}
}

// sleep waits for the duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// reclaimEach frees the time-locked escrow of the pending incarnations, adds them to
// those that are reclaimed, and keeps those that failed in the list. If the list is
// empty, it is first read from the ledger.
func (ro *Router) reclaimEach(ctx context.Context, pending, reclaimed *[]ident.Incarnation, refs []ident.BudgetRef) error {
	if len(*pending) == 0 {
		all, err := ro.ledger.Incarnations(ctx)
		if err != nil {
			return err
		}
		for _, in := range all {
			if in.Row.VM == ro.settings.VM && in.ID != ro.incarnation && in.Row.State != escrow.Closed {
				*pending = append(*pending, in.ID)
			}
		}
	}
	var failed error
	var left []ident.Incarnation
	for _, in := range *pending {
		if _, err := ro.ledger.Reclaim(ctx, in, refs, ro.platform.Started, ro.met); err != nil {
			failed = errors.Join(failed, err)
			left = append(left, in)
		} else {
			*reclaimed = append(*reclaimed, in)
		}
	}
	*pending = left
	return failed
}

// becomeReady makes the router ready once a configuration is in force. No escrow
// is drawn before the first request of an account: its requests reach few
// routers, and a draw takes only two calls of 4 ms.
func (ro *Router) becomeReady(ctx context.Context) {
	if ro.awaitConfig(ctx) {
		ro.registered.Store(true)
		ro.met.Log(evReady, slog.Uint64("revision", uint64(ro.configs.Load().Revision())), slog.Int("upstreams", ro.upstreams.Load().Len()))
	}
}

// awaitConfig waits until a configuration is in force. It reports false if ctx
// ends first.
func (ro *Router) awaitConfig(ctx context.Context) bool {
	for {
		changed := ro.configs.Changed()
		if ro.configs.Load().Revision() > 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// returnEscrow returns the unused escrow to the table. If that fails, it passes a
// statement of the used tokens to other routers, which settle it later.
func (ro *Router) returnEscrow() {
	ctx, cancel := context.WithTimeout(context.Background(), escrowReturnTimeout)
	defer cancel()
	if !ro.registered.Load() {
		return
	}
	err := ro.holder.Close(ctx)
	if err == nil {
		err = ro.ledger.Retire(ctx, ro.incarnation, nil)
	}
	if err == nil {
		return
	}
	ctx, cancel = context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	ro.met.Log(evEscrowHeld, slog.String("error", err.Error()), slog.Int("statements", ro.peers.SendStatement(ctx, ro.holder.Statement())))
}
