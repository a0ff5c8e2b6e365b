package faults

import (
	"context"
	"errors"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

// Runs returns the runs that all engines have recorded.
func (to *Topology) Runs(ctx context.Context) ([]model.Run, error) {
	var all []model.Run
	for _, en := range to.EngineNodes {
		runs, err := en.Runs(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// UsedTokens returns the tokens used by all runs, and those used by completed
// runs. Refused runs use none.
func UsedTokens(runs []model.Run) (all, completed ident.Tokens) {
	for _, ru := range runs {
		if ru.State == model.Refused {
			continue
		}
		to := ident.Tokens(ru.Prompt + ru.Produced)
		all += to
		if ru.State == model.Completed {
			completed += to
		}
	}
	return all, completed
}

// Audit compares the balance of the budget and the responses that callers
// received with the engines' records. It returns the balance.
func (to *Topology) Audit(ctx context.Context) (budget.Balance, error) {
	ba, err := to.Ledger().Balance(ctx, to.Ref)
	if err != nil {
		return ba, err
	}
	runs, err := to.Runs(ctx)
	if err != nil {
		return ba, err
	}
	var all []error
	if ba.Prepaid != to.Prepaid || ba.Prepaid != ba.Settled+ba.Held+ba.Free || ba.Free < 0 || ba.Held < 0 {
		all = append(all, fmt.Errorf("the balance is inconsistent: %+v", ba))
	}
	used, completed := UsedTokens(runs)
	if used > ba.Prepaid {
		all = append(all, fmt.Errorf("engines used %d of %d prepaid tokens", used, ba.Prepaid))
	}
	if completed > ba.Settled+ba.Held {
		all = append(all, fmt.Errorf("complete responses used %d tokens, but only %d are settled and %d held", completed, ba.Settled, ba.Held))
	}
	return ba, errors.Join(append(all, to.checkResponses(runs))...)
}

// checkResponses compares the responses that callers received with the engines'
// records.
func (to *Topology) checkResponses(runs []model.Run) error {
	ran := make(map[ident.Request]bool)
	for _, ru := range runs {
		ran[ident.Request(ru.Request)] = ru.State != model.Refused || ran[ident.Request(ru.Request)]
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	var all []error
	for _, re := range to.results {
		if re.Outcome == refuse.NotRun && ran[re.Request] {
			all = append(all, fmt.Errorf("request %s was refused as not run (reason %s), but an engine ran it", re.Request, re.Reason))
		}
		if !re.Served {
			continue
		}
		if count, err := model.Check(re.Body, re.Text); err != nil || count != re.Completion {
			all = append(all, fmt.Errorf("request %s: wrong response of %d tokens: %w", re.Request, count, err))
		}
	}
	return errors.Join(all...)
}
