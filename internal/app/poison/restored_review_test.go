package poison_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	app "github.com/balsamwood/balsamwood/internal/app/poison"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// loseRecords deletes all records, as a store that returns from a copy without them.
func (fl *fleet) loseRecords() {
	cl := fl.table.Client()
	items, err := cl.Scan(fl.t.Context(), app.Prefix, "", 1000)
	if err != nil {
		fl.t.Fatal(err)
	}
	for _, it := range items {
		if err := cl.Commit(fl.t.Context(), store.Write{Key: it.Key, IfVersion: it.Version, Mode: store.Delete}); err != nil {
			fl.t.Fatal(err)
		}
	}
	for _, rg := range fl.routers {
		rg.Replace(feed.Batch{Position: epoch.At(1, 1)}, time.Now())
	}
}

// TestEndAfterRestore guards against a refused part that is admitted again at all
// routers after one more end, because the count in the store has begun anew.
func TestEndAfterRestore(t *testing.T) {
	for _, trial := range []bool{false, true} {
		t.Run(fmt.Sprint("trial ", trial), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 2)
				fl.endThree(0)
				fl.loseRecords()
				got := [][]int{fl.admitted(deadly)}
				if trial {
					time.Sleep(30 * time.Second)
					fl.admitted(deadly)
				}
				fl.end(1, "u9", deadly)
				got = append(got, fl.admitted(deadly))
				if diff := cmp.Diff([][]int{{}, {}}, got); diff != "" {
					t.Errorf("trial %v: routers that admit the part after the restore and after one more end (-want +got):\n%s", trial, diff)
				}
			})
		})
	}
}
