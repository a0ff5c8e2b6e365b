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

// Peers sends requests to the other holders of a budget.
type Peers interface {
	// Release asks the holder at the address to return the escrow that it
	// does not need now, and returns how many tokens it returned.
	Release(ctx context.Context, addr string, in ident.Incarnation, rf ident.BudgetRef) (ident.Tokens, error)
}

const (
	// maxReleasePeers is the largest number of holders to which one round of
	// release requests goes.
	maxReleasePeers = 4
	// releaseTimeout bounds a round, so that a holder which does not respond
	// leaves time for the draw that follows.
	releaseTimeout = 300 * time.Millisecond
	// releaseIntervalPerHolder scales the time between two rounds with the
	// holders of a budget. Each round reads all grant rows and can cause writes
	// at other holders.
	releaseIntervalPerHolder = 20 * time.Millisecond
	// maxReleaseHolders is the largest number of holders of a budget that send
	// each other release requests. With 30 holders or more, what is released goes
	// to others that are short as well: false refusals did not fall, and table
	// writes rose.
	maxReleaseHolders = 16
	// minReleaseInterval is the shortest time between two rounds.
	minReleaseInterval = 100 * time.Millisecond
)

// requestRelease asks the holders with the most escrow to return what is
// unused. It reports whether another draw can succeed. The caller holds the rows
// lock, so one round per budget is under way at a time. Whatever the holders
// respond, all tokens move through the table.
func (hd *Holder) requestRelease(ctx context.Context, hg *holding, tokens ident.Tokens) bool {
	now, budgetRow := hd.opts.clock.Now(), hg.budgetRow
	interval := max(minReleaseInterval, time.Duration(budgetRow.Holders)*releaseIntervalPerHolder)
	others := budgetRow.Granted - hg.grant.val.Outstanding()
	if hd.opts.peers == nil || budgetRow.Holders > maxReleaseHolders {
		return false
	}
	if now.Sub(hg.lastReleaseRequest) < interval || hg.pool.Available()+budgetRow.Free()+others < tokens {
		return false
	}
	hg.lastReleaseRequest = now
	hg.requestingRelease.Store(true)
	defer hg.requestingRelease.Store(false)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	holders, err := hd.ledger.largestHolders(ctx, hg.ref, hd.inc)
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

// largestHolders returns the other incarnations with the most escrow of the
// budget.
func (le *Ledger) largestHolders(ctx context.Context, rf ident.BudgetRef, own ident.Incarnation) ([]ident.Incarnation, error) {
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
	for _, ho := range all[:min(maxReleasePeers, len(all))] {
		out = append(out, ho.in)
	}
	return out, err
}

// Release returns the available escrow of the budget to the table for another
// holder, and reports how many tokens it returned. Reservations stay. If the
// table does not respond, the escrow stays available here.
func (hd *Holder) Release(ctx context.Context, rf ident.BudgetRef) (ident.Tokens, error) {
	hg := hd.index.find(rf)
	if hg == nil || hg.requestingRelease.Load() || phase(hd.phase.Load()) != running || !hg.lockRows(ctx) {
		return 0, ctx.Err()
	}
	defer hg.unlockRows()
	taken := ident.Tokens(0)
	err := hd.execute(ctx, hg, func(hg *holding, en escrow.Entry) (escrow.Entry, error) {
		taken += hg.pool.Withdraw(hg.pool.Available())
		return applyPending(hg, en)
	})
	if err != nil && !hg.uncertain {
		// An attempt before the last one may have returned a part.
		hg.pool.Reinstate(min(taken, hg.pool.Counts().Returning))
		return 0, err
	}
	return taken, err
}
