package soak

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

// audit stops the routers and compares the results of the requests with the
// stand-ins' records and the ledger.
func (so *soak) audit(ctx context.Context) error {
	ended := time.Now()
	var stops sync.WaitGroup
	for ix := range so.routers {
		stops.Go(func() {
			if err := so.routers[ix].Load().Stop(); err != nil {
				so.mu.Lock()
				defer so.mu.Unlock()
				so.res.addNote("router %d: %v", ix+1, err)
			}
		})
	}
	stops.Wait()
	// Requests that are still in flight to a stand-in end at their deadline.
	ti := time.NewTimer(time.Until(ended.Add(callerTimeout)))
	defer ti.Stop()
	select {
	case <-ti.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	runs, err := so.runs(ctx)
	if err != nil {
		return err
	}
	spent, err := so.effects(ctx)
	if err != nil {
		return err
	}
	so.checkNotRun(runs)
	so.addServedTokens(spent, runs)
	return so.checkBalances(ctx, spent)
}

// runs returns the tokens that engines used for each request that they ran.
func (so *soak) runs(ctx context.Context) (map[ident.Request]ident.Tokens, error) {
	out := make(map[ident.Request]ident.Tokens)
	for _, en := range so.engines {
		runs, err := en.Runs(ctx)
		if err != nil {
			return nil, err
		}
		for _, ru := range runs {
			if ru.State != model.Refused {
				so.res.Runs++
				out[ident.Request(ru.Request)] = ident.Tokens(ru.Prompt + ru.Produced)
			}
		}
	}
	return out, nil
}

// effects counts the recorded effects, also for each key, and returns their cost.
func (so *soak) effects(ctx context.Context) (map[*budget]ident.Tokens, error) {
	spent, seen := make(map[*budget]ident.Tokens), make(map[string]int)
	for _, sv := range so.services {
		effects, err := sv.Effects(ctx)
		if err != nil {
			return nil, err
		}
		for _, ef := range effects {
			so.res.Effects++
			spent[so.large] += voucherCost
			if seen[ef.Key]++; seen[ef.Key] > 1 {
				so.res.RepeatedEffects++
				so.res.addNote("key %s: %d effects, the latest one by request %s", ef.Key, seen[ef.Key], ef.Request)
			}
			so.countFalseNotRun(ident.Request(ef.Request))
		}
	}
	return spent, nil
}

func (so *soak) checkNotRun(runs map[ident.Request]ident.Tokens) {
	for id := range runs {
		so.countFalseNotRun(id)
	}
}

// countFalseNotRun counts the request, which a stand-in ran, if its caller was
// told that it was not run.
func (so *soak) countFalseNotRun(id ident.Request) {
	for _, en := range so.entries {
		if en.Request == id && id != "" && !en.Served && en.Outcome == refuse.NotRun {
			so.res.FalseNotRun++
			so.res.addNote("request %s was run and refused as notRun: %s %s", id, en.Reason, en.Detail)
		}
	}
}

// addServedTokens adds the use of requests with a complete response. Replayed
// responses are left out, so that each key counts once.
func (so *soak) addServedTokens(spent map[*budget]ident.Tokens, runs map[ident.Request]ident.Tokens) {
	for _, en := range so.entries {
		switch {
		case !en.Served:
		case en.requestKind == chat && !en.Replay:
			spent[en.bu] += runs[en.Request]
		case en.requestKind == lookup:
			spent[en.bu] += lookupCost
		}
	}
}

// checkBalances compares the balances in the ledger with the tokens that were
// used. All failures have ended, so every row can be read.
func (so *soak) checkBalances(ctx context.Context, spent map[*budget]ident.Tokens) error {
	var all []error
	for _, bu := range so.budgets() {
		ba, err := so.de.Ledger().Balance(ctx, bu.ref)
		if err != nil {
			all = append(all, err)
			continue
		}
		over := max(0, spent[bu]-bu.prepaid, ba.Settled-bu.prepaid)
		if so.res.Overspent += over; over > 0 {
			so.res.addNote("budget %s: used %d, settled %d, prepaid %d", bu.ref, spent[bu], ba.Settled, bu.prepaid)
		}
		if ba.Prepaid != bu.prepaid || ba.Prepaid != ba.Settled+ba.Held+ba.Free || ba.Free < 0 || ba.Held < 0 {
			so.res.Unbalanced++
			so.res.addNote("budget %s: inconsistent balance %+v", bu.ref, ba)
		}
		// The use of complete responses is settled or still held.
		if ba.Settled+ba.Held < spent[bu] {
			so.res.Unbalanced++
			so.res.addNote("budget %s: used %d, but settled only %d and held %d", bu.ref, spent[bu], ba.Settled, ba.Held)
		}
		so.res.Balances = append(so.res.Balances, Balance{
			Budget: bu.ref.String(), Prepaid: ba.Prepaid, Used: spent[bu], Settled: ba.Settled, Held: ba.Held, Free: ba.Free,
		})
	}
	return errors.Join(all...)
}
