package hedge_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/hedge"
)

// TestSlowTable guards against giving up calls on all access paths of a table that
// responds, because each path takes longer than usual.
func TestSlowTable(t *testing.T) {
	for _, took := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(took.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet("a", "b", "c")
				tb := hedge.NewTable(fl.direct, fl)
				if err := tb.Commit(t.Context(), put("k", 0)); err != nil {
					t.Fatal(err)
				}
				slow := func(ctx context.Context) error {
					select {
					case <-ctx.Done():
						return ctx.Err()
					case <-time.After(took):
						return nil
					}
				}
				fl.direct.SetPause(slow)
				for _, cl := range fl.others {
					cl.SetPause(slow)
				}
				if _, _, err := tb.Get(t.Context(), "k"); err != nil {
					t.Errorf("read: %v", err)
				}
			})
		})
	}
}
