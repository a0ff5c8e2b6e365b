package demo

import (
	"context"
	"errors"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

// Tally holds the counts of a run.
type Tally struct {
	Served, Refused, Unknown int
	OverspentTokens          ident.Tokens
	DuplicateActions         int
	// FalseNotRun counts requests that were refused as not run although a
	// stand-in ran them, and WrongResponses responses that differ from the
	// engine's.
	FalseNotRun    int
	WrongResponses int

	notRun map[ident.Request]bool
}

func (ta *Tally) add(re call.Result) {
	switch {
	case re.Served:
		ta.Served++
		if len(re.Body) > 0 {
			if count, err := model.Check(re.Body, re.Text); err != nil || count != re.Completion {
				ta.WrongResponses++
			}
		}
	case re.Outcome == refuse.NotRun:
		ta.Refused++
		if ta.notRun == nil {
			ta.notRun = make(map[ident.Request]bool)
		}
		ta.notRun[re.Request] = true
	default:
		ta.Unknown++
	}
}

// String returns the last line of the output. The README documents its format.
func (ta Tally) String() string {
	return fmt.Sprintf("demo: served=%d refused=%d unknown=%d overspentTokens=%d duplicateActions=%d",
		ta.Served, ta.Refused, ta.Unknown, ta.OverspentTokens, ta.DuplicateActions)
}

func (ta Tally) check() error {
	if ta.OverspentTokens != 0 || ta.DuplicateActions != 0 || ta.FalseNotRun != 0 || ta.WrongResponses != 0 {
		return fmt.Errorf("faults: overspentTokens=%d duplicateActions=%d falseNotRun=%d wrongAnswers=%d",
			ta.OverspentTokens, ta.DuplicateActions, ta.FalseNotRun, ta.WrongResponses)
	}
	return nil
}

// finish stops the routers, so that they return all escrow, compares the balances
// with the stand-ins' records, and stops all processes.
func (dm *demo) finish(ctx context.Context) error {
	var all []error
	for _, ro := range dm.routers {
		all = append(all, ro.Stop())
	}
	all = append(all, dm.audit(ctx), dm.checkBalances(ctx), dm.de.Close(), dm.tally.check())
	dm.printf("%s", dm.tally)
	return errors.Join(all...)
}

// audit counts overspent tokens, duplicate actions and false refusals in the
// stand-ins' records.
func (dm *demo) audit(ctx context.Context) error {
	produced := make(map[*account]ident.Tokens)
	for _, en := range dm.engines {
		runs, err := en.Runs(ctx)
		if err != nil {
			return err
		}
		for _, ru := range runs {
			produced[dm.owner(ru.Request)] += ident.Tokens(ru.Prompt + ru.Produced)
			if dm.tally.notRun[ident.Request(ru.Request)] && ru.State != model.Refused {
				dm.tally.FalseNotRun++
			}
		}
	}
	for _, ac := range dm.accounts() {
		dm.tally.OverspentTokens += max(0, produced[ac]-ac.prepaid)
	}
	seen := make(map[string]int)
	for _, sv := range dm.services {
		effects, err := sv.Effects(ctx)
		if err != nil {
			return err
		}
		for _, ef := range effects {
			if seen[ef.Key]++; seen[ef.Key] > 1 {
				dm.tally.DuplicateActions++
			}
			if dm.tally.notRun[ident.Request(ef.Request)] {
				dm.tally.FalseNotRun++
			}
		}
	}
	return nil
}

// checkBalances prints and checks the balances. The routers have stopped, so all
// tokens are settled or free.
func (dm *demo) checkBalances(ctx context.Context) error {
	for _, ac := range dm.accounts() {
		ba, err := dm.de.Ledger().Balance(ctx, ac.ref)
		if err != nil {
			return err
		}
		dm.printf("budget %-22s prepaid=%d settled=%d held=%d free=%d", ba.Ref, ba.Prepaid, ba.Settled, ba.Held, ba.Free)
		if ba.Prepaid != ba.Settled+ba.Held+ba.Free || ba.Free < 0 {
			return fmt.Errorf("the balance of budget %s is inconsistent", ba.Ref)
		}
		dm.tally.OverspentTokens += max(0, ba.Settled-ba.Prepaid)
	}
	return nil
}
