package follow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/port/feed"
)

// coldServices is the view of a router whose services have cold upstreams for 10 s.
type coldServices struct{}

// ColdLimit returns the limit of each service.
func (coldServices) ColdLimit(ident.Service) place.ColdLimit {
	return place.ColdLimit{Time: 10 * time.Second, Rate: 1}
}

// Routers returns none.
func (coldServices) Routers() place.Routers { return place.Routers{} }

// decodeColdReport decodes "STARTED SECONDS", where SECONDS is for how long the upstream
// stays cold, or -1 if it does not say.
func decodeColdReport(ro feed.Row) (place.Entry, error) {
	en, sec := place.Entry{Upstream: place.Upstream{ID: ident.Upstream(ro.Key), Service: "s", Domain: "a"}}, 0
	_, err := fmt.Sscan(string(ro.Value), &en.StartedMs, &sec)
	if sec >= 0 {
		en.ColdKnown, en.ColdLeft = true, time.Duration(sec)*time.Second
	}
	return en, err
}

// TestColdEntries guards against a cold upstream that counts as warm, and against one that
// stays cold: by what its entry says, by a lifetime that begins while the router runs, and
// by the end of a closure.
func TestColdEntries(t *testing.T) {
	type change func(us *follow.Upstreams, now time.Time)
	changes := func(version uint64, report string) change {
		return func(us *follow.Upstreams, now time.Time) { us.ApplyChanges(reports(1, version, report), now) }
	}
	reread := func(version uint64, report string) change {
		return func(us *follow.Upstreams, now time.Time) { us.Replace(reports(1, version, report), now) }
	}
	closed := func(domains ...ident.Domain) change {
		return func(us *follow.Upstreams, now time.Time) { us.SetClosed(place.NewDomainSet(domains...), now) }
	}
	response := func(sec int) change {
		return func(us *follow.Upstreams, now time.Time) {
			ep, _ := us.Load().Endpoint("u")
			ep.ReportedCold(now.Add(time.Duration(sec)*time.Second), now)
		}
	}
	for _, tc := range []struct {
		name, first string
		// changes are made one second after the other, from second 1 on.
		changes []change
		// want is how long the upstream stays cold in seconds, a moment after the last
		// change.
		want int
	}{
		{"warm at the start", "5 0", nil, 0},
		{"nothing said at the start", "5 -1", nil, 0},
		{"cold at the start", "5 4", nil, 4},
		{"read again", "5 4", []change{reread(1, "5 4")}, 3},
		{"written again", "5 4", []change{changes(2, "5 3")}, 3},
		{"written again without a time", "5 4", []change{changes(2, "5 -1")}, 3},
		{"becomes cold", "5 0", []change{changes(2, "5 7")}, 7},
		{"new lifetime", "5 -1", []change{changes(2, "6 -1")}, 10},
		{"new lifetime, written again", "5 -1", []change{changes(2, "6 -1"), changes(3, "6 -1")}, 9},
		{"new lifetime, known to be warm", "5 -1", []change{changes(2, "6 -1"), response(0), changes(3, "6 -1")}, 0},
		{"new lifetime that says how long", "5 0", []change{changes(2, "6 2")}, 2},
		{"same lifetime after a removal", "5 4", []change{changes(2, ""), changes(3, "5 -1")}, 2},
		{"domain opened", "5 0", []change{closed("a"), closed()}, 10},
		{"domain opened, reported warm", "5 0", []change{closed("a"), closed(), changes(2, "5 0")}, 0},
		{"other domain opened", "5 0", []change{closed("b"), closed()}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			el := eventLog{counts: map[int]int{}}
			us := follow.NewUpstreams(decodeColdReport, el, follow.WithColdView(coldServices{}))
			now := time.Now()
			us.Replace(reports(1, 1, tc.first), now)
			us.CheckCold(now)
			for _, ch := range tc.changes {
				now = now.Add(time.Second)
				ch(us, now)
				us.CheckCold(now)
			}
			ep, _ := us.Load().Endpoint("u")
			if diff := cmp.Diff(time.Duration(tc.want)*time.Second, ep.ColdLeft(now)); diff != "" {
				t.Errorf("cold time left (-want +got):\n%s", diff)
			}
			us.CheckCold(now.Add(time.Minute))
			if el.counts[5126] != el.counts[5127] || tc.want > 0 && el.counts[5126] == 0 {
				t.Errorf("%d times cold and %d times warm in the log", el.counts[5126], el.counts[5127])
			}
		})
	}
}

// TestConfigFaults guards against a figure that cannot be used and takes the place of the
// one in force.
func TestConfigFaults(t *testing.T) {
	decode := func(ro feed.Row) (intent.Config, bool, error) {
		se := intent.Service{Name: "s", ColdTime: time.Second, ColdRate: 2}
		if ro.Position.Version > 1 {
			se = intent.Service{Name: "s", ColdTime: time.Hour, Fault: "bad"}
		}
		return intent.New(ident.Revision(ro.Position.Version), intent.Limits{}).WithServices(se), true, nil
	}
	el := eventLog{counts: map[int]int{}}
	co := follow.NewConfig(decode, el)
	for version := range uint64(3) {
		co.Offer(row(version+1, ""), "store")
	}
	se, _ := co.Load().Service("s")
	if diff := cmp.Diff(intent.Service{Name: "s", ColdTime: time.Second, ColdRate: 2, Fault: "bad"}, se); diff != "" || co.Load().Revision() != 3 || el.counts[5113] != 2 {
		t.Errorf("revision %d, %d events, service (-want +got):\n%s", co.Load().Revision(), el.counts[5113], diff)
	}
}
