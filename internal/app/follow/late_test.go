package follow_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// lateReportEvent is the number of the event for a report that the store wrote late.
const lateReportEvent = 5129

// decodeStates decodes "STARTED SEQUENCE STATE". The address contains the lifetime.
func decodeStates(ro feed.Row) (place.Entry, error) {
	en, err := decodeReport(ro)
	en.Address, en.Leaving = fmt.Sprint(en.StartedMs), strings.HasSuffix(string(ro.Value), " leaving")
	return en, err
}

// deliver passes on the row of a version with the report, or its deletion, as a change or
// as the whole table.
func deliver(us *follow.Upstreams, version uint64, report string, whole bool, now time.Time) {
	ba := reports(1, version, report)
	switch {
	case !whole:
		us.ApplyChanges(ba, now)
	case report == "":
		us.Replace(feed.Batch{Position: ba.Position}, now)
	default:
		us.Replace(ba, now)
	}
}

// TestLateReport guards against an upstream that is used again because the store
// performs one of its earlier writes late, and against one that is not used although it
// has reported again.
func TestLateReport(t *testing.T) {
	type step struct {
		second int
		report string
	}
	for _, tc := range []struct {
		name string
		// steps are the rows in the order in which the store writes them.
		steps []step
		want  string
		late  int
	}{
		{"ready after leaving", []step{{0, "5 1 ready"}, {1, "5 3 leaving"}, {3, "5 2 ready"}}, "5 leaving", 1},
		{"several after leaving", []step{{0, "5 1 ready"}, {1, "5 4 leaving"}, {2, "5 3 ready"}, {3, "5 2 ready"}}, "5 leaving", 2},
		{"next report of one that leaves", []step{{0, "5 1 ready"}, {1, "5 3 leaving"}, {2, "5 2 ready"}, {3, "5 4 leaving"}}, "5 leaving", 1},
		{"leaving that is taken back", []step{{0, "5 1 ready"}, {1, "5 2 leaving"}, {2, "5 3 ready"}}, "5", 0},
		{"after the removal", []step{{0, "5 3 ready"}, {1, ""}, {3, "5 2 ready"}}, "", 1},
		{"after leaving and the removal", []step{{0, "5 3 leaving"}, {1, ""}, {3, "5 2 ready"}}, "", 1},
		{"after the removal, removed again", []step{{0, "5 3 ready"}, {1, ""}, {3, "5 2 ready"}, {6, ""}}, "", 1},
		{"later report after the removal", []step{{0, "5 3 ready"}, {1, ""}, {3, "5 2 ready"}, {4, "5 4 ready"}, {5, "5 5 ready"}}, "5", 1},
		{"unknown report after the removal", []step{{0, "5 3 ready"}, {1, ""}, {3, "5 4 ready"}}, "", 0},
		{"unknown report after the removal, removed again", []step{{0, "5 3 ready"}, {1, ""}, {3, "5 4 ready"}, {6, ""}, {9, "5 4 ready"}}, "", 0},
		{"unknown report after the removal that does not expire", []step{{0, "5 3 ready"}, {1, ""}, {3, "5 4 ready"}, {9, "5 4 ready"}}, "5", 0},
		{"leaving after the removal", []step{{0, "5 3 ready"}, {1, ""}, {3, "5 4 leaving"}}, "5 leaving", 0},
		{"after an unusable entry", []step{{0, "5 3 leaving"}, {1, "unusable"}, {3, "5 2 ready"}}, "", 1},
		{"after the removal and an unusable entry", []step{{0, "5 3 leaving"}, {1, ""}, {2, "unusable"}, {3, "5 2 ready"}}, "", 1},
		{"earlier lifetime", []step{{0, "5 9 ready"}, {1, "6 1 ready"}, {3, "5 8 ready"}}, "6", 1},
		{"earlier lifetime, unknown number", []step{{0, "5 9 ready"}, {1, "6 1 leaving"}, {3, "5 10 ready"}}, "6 leaving", 1},
		{"earlier lifetime after the removal", []step{{0, "6 1 ready"}, {1, ""}, {3, "5 9 ready"}}, "", 1},
		{"next lifetime", []step{{0, "5 9 leaving"}, {1, "6 1 ready"}}, "6", 0},
		{"next lifetime after a late report", []step{{0, "5 9 leaving"}, {1, "5 8 ready"}, {2, "6 1 ready"}}, "6", 1},
		{"clock of the upstream set back at its restart", []step{{0, "6 9 ready"}, {5, "5 1 ready"}, {9, "5 4 ready"}, {11, "5 6 ready"}}, "5", 2},
		{"clock set back at a restart after the removal", []step{{0, "6 9 ready"}, {4, ""}, {11, "5 1 ready"}}, "5", 0},
		{"reports without a lifetime", []step{{0, "0 3 leaving"}, {1, "0 1 ready"}}, "0", 0},
		{"report without a lifetime after one with", []step{{0, "5 3 leaving"}, {1, "0 1 ready"}}, "0", 0},
	} {
		for _, reread := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, ", reread ", reread), func(t *testing.T) {
				el := eventLog{counts: map[int]int{}}
				us := follow.NewUpstreams(decodeStates, el)
				start := time.Now()
				us.Replace(feed.Batch{Position: epoch.At(1, 1)}, start)
				for ix, st := range tc.steps {
					now := start.Add(time.Duration(st.second) * time.Second)
					us.RemoveExpired(now)
					deliver(us, uint64(ix)+2, st.report, reread, now)
				}
				got := ""
				for _, up := range us.Load().Upstreams() {
					got += up.Address
					if up.Leaving {
						got += " leaving"
					}
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Errorf("state (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tc.late, el.counts[lateReportEvent]); diff != "" {
					t.Errorf("late reports in the log (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestReturnAfterOutage guards against an upstream that is not used at once when it
// reports again after its entry has expired in an outage.
func TestReturnAfterOutage(t *testing.T) {
	us := follow.NewUpstreams(decodeStates, meter.Nop{})
	start := time.Now()
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	us.Replace(reports(1, 1, "5 3 ready"), start)
	us.Lost(at(1))
	us.Recovered(at(5))
	us.ApplyChanges(reports(1, 2, ""), at(5))
	us.RemoveExpired(at(8))
	got := []int{us.Load().Len()}
	us.ApplyChanges(reports(1, 3, "5 9 ready"), at(8))
	got = append(got, us.Load().Len())
	if diff := cmp.Diff([]int{0, 1}, got); diff != "" {
		t.Errorf("upstreams before and after the report (-want +got):\n%s", diff)
	}
}
