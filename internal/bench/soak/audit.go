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

// audit stops the routers and compares the results with the stand-ins' records
// and the ledger.
func (so *soak) audit(ctx context.Context) error {
	ended := time.Now()
	var stops sync.WaitGroup
	for ix := range so.routers {
		stops.Go(func() {
			if err := so.routers[ix].Load().Stop(); err != nil {
				so.mu.Lock()
				defer so.mu.Unlock()
				so.res.note("router %d: %v", ix+1, err)
			}
		})
	}
	stops.Wait()
	// A request that is still on its way to a stand-in ends at its deadline.
	ti := time.NewTimer(time.Until(ended.Add(giveUpTime)))
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
	so.addServed(spent, runs)
	return so.books(ctx, spent)
}

// runs returns the tokens that an engine used for each request that it ran.
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

// effects counts the actions for each key and returns what they cost.
func (so *soak) effects(ctx context.Context) (map[*budget]ident.Tokens, error) {
	spent, seen := make(map[*budget]ident.Tokens), make(map[string]int)
	for _, sv := range so.services {
		effects, err := sv.Effects(ctx)
		if err != nil {
			return nil, err
		}
		for _, ef := range effects {
			so.res.Effects++
			spent[so.large] += actionCost
			if seen[ef.Key]++; seen[ef.Key] > 1 {
				so.res.SecondRuns++
				so.res.note("key %s: %d effects, the last one of request %s", ef.Key, seen[ef.Key], ef.Request)
			}
			so.falseNotRun(ident.Request(ef.Request))
		}
	}
	return spent, nil
}

func (so *soak) checkNotRun(runs map[ident.Request]ident.Tokens) {
	for id := range runs {
		so.falseNotRun(id)
	}
}

// falseNotRun counts a request that ran although its caller was told that it
// did not.
func (so *soak) falseNotRun(id ident.Request) {
	for _, en := range so.log {
		if en.Request == id && id != "" && !en.Served && en.Outcome == refuse.NotRun {
			so.res.FalseNotRun++
			so.res.note("request %s ran and was refused as notRun: %s %s", id, en.Reason, en.Detail)
		}
	}
}

// addServed adds what the whole answers used, each key once.
func (so *soak) addServed(spent map[*budget]ident.Tokens, runs map[ident.Request]ident.Tokens) {
	for _, en := range so.log {
		switch {
		case !en.Served:
		case en.kind == chat && !en.Replay:
			spent[en.bu] += runs[en.Request]
		case en.kind == lookup:
			spent[en.bu] += lookupCost
		}
	}
}

// books checks the ledger. The table answers again here, so every row is read.
func (so *soak) books(ctx context.Context, spent map[*budget]ident.Tokens) error {
	var all []error
	for _, bu := range so.budgets() {
		ba, err := so.de.Ledger().Balance(ctx, bu.ref)
		if err != nil {
			all = append(all, err)
			continue
		}
		over := max(0, spent[bu]-bu.prepaid, ba.Settled-bu.prepaid)
		if so.res.Overspent += over; over > 0 {
			so.res.note("budget %s: used %d, settled %d, prepaid %d", bu.ref, spent[bu], ba.Settled, bu.prepaid)
		}
		if ba.Prepaid != bu.prepaid || ba.Prepaid != ba.Settled+ba.Held+ba.Free || ba.Free < 0 || ba.Held < 0 {
			so.res.Unbalanced++
			so.res.note("books of %s do not balance: %+v", bu.ref, ba)
		}
		// What callers received whole was charged or is still held.
		if ba.Settled+ba.Held < spent[bu] {
			so.res.Unbalanced++
			so.res.note("books of %s: used %d, settled %d, held %d", bu.ref, spent[bu], ba.Settled, ba.Held)
		}
		so.res.Books = append(so.res.Books, Book{
			Budget: bu.ref.String(), Prepaid: ba.Prepaid, Used: spent[bu], Settled: ba.Settled, Held: ba.Held, Free: ba.Free,
		})
	}
	return errors.Join(all...)
}
