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

// hold registers the incarnation and then keeps its escrow up to date.
func (ro *Router) hold(ctx context.Context) {
	for {
		err := ro.holder.Open(ctx)
		if err == nil {
			break
		}
		ro.met.Log(evOpening, slog.String("error", err.Error()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(openPause):
		}
	}
	var workers sync.WaitGroup
	workers.Go(func() { _ = ro.holder.Run(ctx) })
	workers.Go(func() { ro.announce(ctx) })
	workers.Go(func() { ro.reclaim(ctx) })
	workers.Go(func() { ro.fleet.Run(ctx) })
	workers.Wait()
}

// reclaim frees the shelves of earlier incarnations on this VM. They are dead,
// because this one has their addresses.
func (ro *Router) reclaim(ctx context.Context) {
	if !ro.awaitConfig(ctx) {
		return
	}
	var refs []ident.BudgetRef
	for _, ac := range ro.configs.Load().Accounts() {
		refs = append(refs, ident.BudgetRef{Account: ac.Name, Budget: app.Prepaid})
	}
	var todo []ident.Incarnation
	for range reclaimTries {
		err := ro.reclaimFrom(ctx, &todo, refs)
		if err == nil {
			return
		}
		ro.met.Log(evReclaim, slog.String("error", err.Error()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(openPause):
		}
	}
}

// reclaimFrom frees the shelves of the listed incarnations and leaves those
// that failed in the list, which it reads first while it is empty.
func (ro *Router) reclaimFrom(ctx context.Context, todo *[]ident.Incarnation, refs []ident.BudgetRef) error {
	if len(*todo) == 0 {
		all, err := ro.ledger.Incarnations(ctx)
		if err != nil {
			return err
		}
		for _, in := range all {
			if in.Row.VM == ro.set.VM && in.ID != ro.in && in.Row.State != escrow.Closed {
				*todo = append(*todo, in.ID)
			}
		}
	}
	var failed error
	var left []ident.Incarnation
	for _, in := range *todo {
		if _, err := ro.ledger.Reclaim(ctx, in, refs, ro.platform.Began, ro.met); err != nil {
			failed = errors.Join(failed, err)
			left = append(left, in)
		}
	}
	*todo = left
	return failed
}

// announce makes the router ready once a configuration is known. No escrow is
// drawn before the first request of an account: its requests reach few routers,
// and a draw takes two calls of 4 ms.
func (ro *Router) announce(ctx context.Context) {
	if ro.awaitConfig(ctx) {
		ro.open.Store(true)
		ro.met.Log(evReady, slog.Uint64("revision", uint64(ro.configs.Load().Revision())), slog.Int("upstreams", ro.upstreams.Load().Len()))
	}
}

// awaitConfig waits until a configuration is in force. It reports false if ctx
// ends before.
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

// returnEscrow returns what is left, or hands the totals to other routers.
func (ro *Router) returnEscrow() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	if !ro.open.Load() {
		return
	}
	err := ro.holder.Close(ctx)
	if err == nil {
		err = ro.ledger.Retire(ctx, ro.in, nil)
	}
	if err == nil {
		return
	}
	ctx, cancel = context.WithTimeout(context.Background(), statementTime)
	defer cancel()
	ro.met.Log(evHeld, slog.String("error", err.Error()), slog.Int("statements", ro.peers.Leave(ctx, ro.holder.Statement())))
}
