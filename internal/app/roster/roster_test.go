package roster_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/roster"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// fakeList marks v1 as leaving from leavingFrom on, and fails from downFrom to
// downUntil.
type fakeList struct{ leavingFrom, downFrom, downUntil time.Time }

func (li fakeList) List(context.Context) ([]store.VM, error) {
	now := time.Now()
	if now.After(li.downFrom) && now.Before(li.downUntil) {
		return nil, errors.New("down")
	}
	return []store.VM{{ID: "v1", Leaving: !now.Before(li.leavingFrom)}, {ID: "v2"}}, nil
}

// TestBound guards against a leaving VM that is noticed more than two seconds
// after the list marks it, and against an outage of the list that makes a VM
// live again.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 200 {
			at := time.Now().Add(10 * time.Second)
			li := fakeList{leavingFrom: at, downFrom: at.Add(3 * time.Second), downUntil: at.Add(30 * time.Second)}
			var seen time.Time
			var last map[ident.VM]bool
			wa := roster.New(li, func(le roster.LeavingVMs) {
				if last = le; le["v1"] && seen.IsZero() {
					seen = time.Now()
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			wa.Run(ctx)
			cancel()
			if late := seen.Sub(at); late < 0 || late > 2*time.Second {
				t.Fatalf("seen %v after the list marked it as leaving", late)
			}
			if !last["v1"] || last["v2"] {
				t.Fatalf("last list %v, want v1 leaving", last)
			}
		}
	})
}
