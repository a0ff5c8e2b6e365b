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

// Runs returns what all engines have recorded.
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

// Used returns the tokens that the engines have used, and those of the calls
// that they completed.
func Used(runs []model.Run) (all, completed ident.Tokens) {
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

// Audit compares the books and the answers with the engines' records. It
// returns the balance.
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
		all = append(all, fmt.Errorf("the books do not balance: %+v", ba))
	}
	used, completed := Used(runs)
	if used > ba.Prepaid {
		all = append(all, fmt.Errorf("engines used %d of %d prepaid tokens", used, ba.Prepaid))
	}
	if completed > ba.Settled+ba.Held {
		all = append(all, fmt.Errorf("complete answers used %d tokens, %d are settled and %d held", completed, ba.Settled, ba.Held))
	}
	return ba, errors.Join(append(all, to.answers(runs))...)
}

// answers checks what callers were told.
func (to *Topology) answers(runs []model.Run) error {
	ran := make(map[ident.Request]bool)
	for _, ru := range runs {
		ran[ident.Request(ru.Request)] = ru.State != model.Refused || ran[ident.Request(ru.Request)]
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	var all []error
	for _, re := range to.ended {
		if re.Outcome == refuse.NotRun && ran[re.Request] {
			all = append(all, fmt.Errorf("request %s was refused as not run (%s), but it ran", re.Request, re.Reason))
		}
		if !re.Served {
			continue
		}
		if count, err := model.Check(re.Body, re.Text); err != nil || count != re.Completion {
			all = append(all, fmt.Errorf("request %s: wrong answer of %d tokens: %w", re.Request, count, err))
		}
	}
	return errors.Join(all...)
}
