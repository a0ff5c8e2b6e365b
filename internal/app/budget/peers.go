package budget

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Peers reaches the other holders of a budget.
type Peers interface {
	// Release asks the holder at the address to return what it does not need
	// now, and returns how much it did.
	Release(ctx context.Context, addr string, in ident.Incarnation, rf ident.BudgetRef) (ident.Tokens, error)
}

const (
	// maxAsked bounds the holders that are asked in one round.
	maxAsked = 4
	// askTimeout bounds a round, so that a holder which does not answer leaves
	// time for the draw that follows.
	askTimeout = 300 * time.Millisecond
	// askPerHolder scales the time between two rounds with the holders of a
	// budget. Each round reads all grant rows and can cause writes at other
	// holders.
	askPerHolder = 20 * time.Millisecond
	// maxAskHolders is the largest number of holders of a budget that ask each
	// other. With 30 holders or more, what is released goes to others that are
	// short as well: false refusals did not fall, and table writes rose.
	maxAskHolders = 16
	// minAskPause is the shortest time between two rounds.
	minAskPause = 100 * time.Millisecond
)

// ask asks the holders with the most unused escrow to return it. It reports
// whether the budget is worth another draw. The caller has the turn, so one
// round per budget is under way at a time. Whatever the holders answer, all
// tokens move through the table.
func (hd *Holder) ask(ctx context.Context, hg *holding, tokens ident.Tokens) bool {
	now, seen := hd.opts.clock.Now(), hg.seen
	pause := max(minAskPause, time.Duration(seen.Holders)*askPerHolder)
	others := seen.Granted - hg.grant.val.Outstanding()
	if hd.opts.peers == nil || seen.Holders > maxAskHolders {
		return false
	}
	if now.Sub(hg.lastAsked) < pause || hg.pool.Available()+seen.Free()+others < tokens {
		return false
	}
	hg.lastAsked = now
	hg.asking.Store(true)
	defer hg.asking.Store(false)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	holders, err := hd.ledger.largest(ctx, hg.ref, hd.inc)
	if err != nil {
		return false
	}
	var wg sync.WaitGroup
	for _, in := range holders {
		wg.Go(func() {
			ir, err := hd.ledger.incarnation(ctx, in)
			if err == nil && ir.val.State == escrow.Open && ir.val.PeerAddress != "" {
				_, _ = hd.opts.peers.Release(ctx, ir.val.PeerAddress, in, hg.ref)
			}
		})
	}
	wg.Wait()
	return len(holders) > 0
}

// largest returns the other incarnations with the most escrow of the budget.
func (le *Ledger) largest(ctx context.Context, rf ident.BudgetRef, own ident.Incarnation) ([]ident.Incarnation, error) {
	type holder struct {
		in  ident.Incarnation
		has ident.Tokens
	}
	var all []holder
	prefix := grantPrefix(rf)
	err := scan(ctx, le.table, prefix, func(it store.Item) error {
		gr, err := le.codecs.Grant.Decode(it.Value)
		if err != nil {
			return fmt.Errorf("budget: row %s: %w", it.Key, err)
		}
		in := ident.Incarnation(strings.TrimPrefix(it.Key, prefix))
		if has := gr.Outstanding(); in != own && has > 0 && !gr.Closed {
			all = append(all, holder{in, has})
		}
		return nil
	})
	slices.SortFunc(all, func(aa, bb holder) int { return cmp.Compare(bb.has, aa.has) })
	var out []ident.Incarnation
	for _, ho := range all[:min(maxAsked, len(all))] {
		out = append(out, ho.in)
	}
	return out, err
}

// Release returns the budget's available escrow to the table for another
// holder, and reports how much. Reservations stay. If the table does not
// answer, the escrow stays available here.
func (hd *Holder) Release(ctx context.Context, rf ident.BudgetRef) (ident.Tokens, error) {
	hg := hd.index.find(rf)
	if hg == nil || hg.asking.Load() || phase(hd.phase.Load()) != running || !hg.lock(ctx) {
		return 0, ctx.Err()
	}
	defer hg.unlock()
	taken := ident.Tokens(0)
	err := hd.execute(ctx, hg, func(hg *holding, en escrow.Entry) (escrow.Entry, error) {
		taken += hg.pool.Withdraw(hg.pool.Available())
		return pending(hg, en)
	})
	if err != nil && !hg.doubt {
		// A try before the last one may have returned a part.
		hg.pool.Reinstate(min(taken, hg.pool.Counts().Returning))
		return 0, err
	}
	return taken, err
}
