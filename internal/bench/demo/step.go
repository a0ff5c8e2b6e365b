package demo

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// step is a part of the main job.
type step struct {
	name string
	run  func(ctx context.Context, dm *demo) error
}

var steps = []step{
	{name: "door questions beside a long draft", run: questions},
	{name: "voucher issued once", run: voucher},
	{name: "filing whose answer is lost", run: lostFiling},
	{name: "budget that is used up", run: exhausted},
}

// questions sends urgent questions through both routers while a batch draft is
// being written.
func questions(ctx context.Context, dm *demo) error {
	const count = 8
	results := make([]call.Result, count+1)
	var wg sync.WaitGroup
	wg.Go(func() {
		results[count] = dm.trent.caller.Stream(ctx, dm.router(0), call.Chat{
			Model: theModel, Prompt: "Draft a permit from this bundle. " + strings.Repeat("scaffold at the junction ", 400),
			MaxTokens: 400, Class: config.Batch,
		})
	})
	for ix := range count {
		wg.Go(func() {
			results[ix] = dm.sejin.caller.Stream(ctx, dm.router(ix), call.Chat{
				Model: theModel, Prompt: fmt.Sprintf("May child %d enter breakfast club today?", ix), MaxTokens: 64,
				Class: config.Urgent, Timeout: 10 * time.Second,
			})
		})
	}
	wg.Wait()
	for ix, re := range results {
		owner, label := dm.sejin, fmt.Sprintf("question %d", ix+1)
		if ix == count {
			owner, label = dm.trent, "draft"
		}
		dm.record(owner, label, re)
		if !re.Served {
			return fmt.Errorf("%s was not served: %s %s", label, re.Reason, re.Detail)
		}
	}
	return nil
}

// voucher issues a voucher, repeats the call with the same key, and with
// another body.
func voucher(ctx context.Context, dm *demo) error {
	cl := call.Call{Service: desk, Method: "POST", Path: "/vouchers", Body: `{"child":"17","meal":"breakfast"}`, Key: "voucher-17"}
	first := dm.sejin.caller.Service(ctx, dm.router(0), cl)
	dm.record(dm.sejin, "voucher", first)
	again := dm.sejin.caller.Service(ctx, dm.router(1), cl)
	dm.record(dm.sejin, "voucher again, other router", again)
	cl.Body = `{"child":"18","meal":"breakfast"}`
	other := dm.sejin.caller.Service(ctx, dm.router(0), cl)
	dm.record(dm.sejin, "same key, other body", other)
	switch {
	case !first.Served || !again.Served || first.Text != again.Text:
		return fmt.Errorf("the repeated call was not answered with the stored outcome: %q, then %q", first.Text, again.Text)
	case other.Reason != refuse.KeyReused:
		return fmt.Errorf("the reused key was not refused: %s", other.Reason)
	}
	return nil
}

// lostFiling loses the service's answer after the filing took effect.
func lostFiling(ctx context.Context, dm *demo) error {
	if err := dm.services[0].Control(ctx, "faults", loseNext{1}); err != nil {
		return err
	}
	cl := call.Call{Service: desk, Method: "POST", Path: "/filings", Body: `{"site":"Friar Gate"}`, Key: "filing-1", Timeout: 5 * time.Second}
	lost := dm.trent.caller.Service(ctx, dm.router(0), cl)
	dm.record(dm.trent, "filing, answer lost", lost)
	again := dm.trent.caller.Service(ctx, dm.router(1), cl)
	dm.record(dm.trent, "filing again", again)
	state, err := dm.trent.caller.Outcome(ctx, dm.router(1), cl.Key)
	if err != nil {
		return err
	}
	dm.printf("  outcome of %s: %s", cl.Key, state)
	if lost.Outcome != refuse.Unknown {
		return fmt.Errorf("a lost answer was reported as %q", lost.Outcome)
	}
	return nil
}

type loseNext struct {
	LoseNext int `json:"loseNext"`
}

// exhausted asks until a small budget refuses. Each answer charges at least its
// completion tokens, so more answers than these allow are overspend.
func exhausted(ctx context.Context, dm *demo) error {
	answered := ident.Tokens(0)
	for ix := 0; answered <= dm.small.prepaid; ix++ {
		re := dm.small.caller.Stream(ctx, dm.router(ix), call.Chat{
			Model: theModel, Prompt: fmt.Sprintf("wording query %d", ix), MaxTokens: 64, Class: config.Urgent,
		})
		dm.record(dm.small, fmt.Sprintf("query %d", ix+1), re)
		if re.Reason == refuse.OverBudget {
			return nil
		}
		if !re.Served {
			return fmt.Errorf("query %d: %s %s", ix+1, re.Reason, re.Detail)
		}
		if re.Completion <= 0 {
			return fmt.Errorf("query %d: served without tokens", ix+1)
		}
		answered += ident.Tokens(re.Completion)
	}
	return fmt.Errorf("%d tokens were answered on a budget of %d", answered, dm.small.prepaid)
}

// record prints a result and counts it.
func (dm *demo) record(ac *account, label string, re call.Result) {
	dm.owners[re.Request] = ac
	dm.tally.add(re)
	if re.Served {
		dm.printf("  %-28s served   %4d tokens, first after %s, whole after %s", label, re.Completion,
			re.First.Round(time.Millisecond), re.Total.Round(time.Millisecond))
		return
	}
	dm.printf("  %-28s refused  %s (%s) %s", label, re.Reason, re.Outcome, re.Detail)
}

// owner returns the account that sent the request.
func (dm *demo) owner(id string) *account { return dm.owners[ident.Request(id)] }
