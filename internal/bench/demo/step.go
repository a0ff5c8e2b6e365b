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

// step is one use case of the demo.
type step struct {
	name string
	run  func(ctx context.Context, dm *demo) error
}

var steps = []step{
	{name: "urgent questions during a long draft", run: questionsDuringDraft},
	{name: "voucher issued once", run: voucherOnce},
	{name: "filing whose response is lost", run: lostFiling},
	{name: "budget that is used up", run: exhaustBudget},
}

// questionsDuringDraft sends urgent questions through both routers while an engine
// generates a long batch draft.
func questionsDuringDraft(ctx context.Context, dm *demo) error {
	const count = 8
	results := make([]call.Result, count+1)
	var wg sync.WaitGroup
	wg.Go(func() {
		results[count] = dm.trent.caller.Stream(ctx, dm.router(0), call.Chat{
			Model: modelID, Prompt: "Draft a permit from this bundle. " + strings.Repeat("scaffold at the junction ", 400),
			MaxTokens: 400, Class: config.Batch,
		})
	})
	for ix := range count {
		wg.Go(func() {
			results[ix] = dm.sejin.caller.Stream(ctx, dm.router(ix), call.Chat{
				Model: modelID, Prompt: fmt.Sprintf("May child %d enter breakfast club today?", ix), MaxTokens: 64,
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

// voucherOnce issues a voucher, repeats the call with the same key through another
// router, and then sends the key with another body.
func voucherOnce(ctx context.Context, dm *demo) error {
	cl := call.Call{Service: serviceID, Method: "POST", Path: "/vouchers", Body: `{"child":"17","meal":"breakfast"}`, Key: "voucher-17"}
	first := dm.sejin.caller.CallService(ctx, dm.router(0), cl)
	dm.record(dm.sejin, "voucher", first)
	again := dm.sejin.caller.CallService(ctx, dm.router(1), cl)
	dm.record(dm.sejin, "voucher again, other router", again)
	cl.Body = `{"child":"18","meal":"breakfast"}`
	other := dm.sejin.caller.CallService(ctx, dm.router(0), cl)
	dm.record(dm.sejin, "same key, other body", other)
	switch {
	case !first.Served || !again.Served || first.Text != again.Text:
		return fmt.Errorf("the repeated call did not return the stored outcome: first %q, then %q", first.Text, again.Text)
	case other.Reason != refuse.KeyReused:
		return fmt.Errorf("key reused with another body: reason %q, want keyReused", other.Reason)
	}
	return nil
}

// lostFiling files with a service that loses its response after the filing takes
// effect, repeats the call and queries its outcome.
func lostFiling(ctx context.Context, dm *demo) error {
	if err := dm.services[0].Control(ctx, "faults", loseNext{1}); err != nil {
		return err
	}
	cl := call.Call{Service: serviceID, Method: "POST", Path: "/filings", Body: `{"site":"Friar Gate"}`, Key: "filing-1", Timeout: 5 * time.Second}
	lost := dm.trent.caller.CallService(ctx, dm.router(0), cl)
	dm.record(dm.trent, "filing, response lost", lost)
	again := dm.trent.caller.CallService(ctx, dm.router(1), cl)
	dm.record(dm.trent, "filing again", again)
	state, err := dm.trent.caller.Outcome(ctx, dm.router(1), cl.Key)
	if err != nil {
		return err
	}
	dm.printf("  outcome of %s: %s", cl.Key, state)
	if lost.Outcome != refuse.Unknown {
		return fmt.Errorf("a call with a lost response was reported as %q", lost.Outcome)
	}
	return nil
}

type loseNext struct {
	LoseNext int `json:"loseNext"`
}

// exhaustBudget sends requests until one is refused because the small budget is
// used up. Each response is charged at least its completion tokens, so a total of
// these above the prepaid tokens is overspend.
func exhaustBudget(ctx context.Context, dm *demo) error {
	completed := ident.Tokens(0)
	for ix := 0; completed <= dm.small.prepaid; ix++ {
		re := dm.small.caller.Stream(ctx, dm.router(ix), call.Chat{
			Model: modelID, Prompt: fmt.Sprintf("wording query %d", ix), MaxTokens: 64, Class: config.Urgent,
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
		completed += ident.Tokens(re.Completion)
	}
	return fmt.Errorf("responses of %d tokens were served on a budget of %d", completed, dm.small.prepaid)
}

// record prints and counts a result.
func (dm *demo) record(ac *account, label string, re call.Result) {
	dm.owners[re.Request] = ac
	dm.tally.add(re)
	if re.Served {
		dm.printf("  %-28s served   %4d tokens, first after %s, complete after %s", label, re.Completion,
			re.TimeToFirstEvent.Round(time.Millisecond), re.Total.Round(time.Millisecond))
		return
	}
	dm.printf("  %-28s refused  %s (%s) %s", label, re.Reason, re.Outcome, re.Detail)
}

// owner returns the account that sent the request.
func (dm *demo) owner(id string) *account { return dm.owners[ident.Request(id)] }
