package hedge_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/hedge"
)

// TestCongestedLink guards against giving up calls that wait for the router's own link,
// against sending each of them again on other access paths, which use the same link, and
// against taking the table for unreachable.
func TestCongestedLink(t *testing.T) {
	for _, congested := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet("a", "b", "c")
			tb := hedge.NewTable(fl.direct, fl, hedge.WithCongestion(func(time.Time) bool { return congested }))
			if err := tb.Commit(t.Context(), put("k", 0)); err != nil {
				t.Fatal(err)
			}
			var calls atomic.Int64
			slow := func(took time.Duration) func(ctx context.Context) error {
				return func(ctx context.Context) error {
					calls.Add(1)
					select {
					case <-ctx.Done():
						return ctx.Err()
					case <-time.After(took):
						return nil
					}
				}
			}
			fl.direct.SetPause(slow(450 * time.Millisecond))
			for _, cl := range fl.others {
				cl.SetPause(slow(450 * time.Millisecond))
			}
			_, _, err := tb.Get(t.Context(), "k")
			if served := err == nil && calls.Load() == 1; served != congested {
				t.Errorf("congested %v: %d calls, error %v", congested, calls.Load(), err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if _, _, err := tb.Get(ctx, "k"); err == nil {
				t.Error("a call of 450ms was served within 100ms")
			}
			fl.direct.SetPause(nil)
			if _, _, err := tb.DirectTable().Get(t.Context(), "k"); (err == nil) != congested {
				t.Errorf("congested %v: call for another router: %v", congested, err)
			}
		})
	}
}
