package route_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/route"
	"github.com/balsamwood/balsamwood/internal/core/snap"
)

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

const model ident.Model = "clerk"

func demand() route.Demand {
	return route.Demand{Model: model, Class: config.Normal, Prompt: 800, Output: 100}
}

func busy(id ident.Upstream, domain ident.Domain, waiting int) route.Candidate {
	return route.NewCandidate(id, domain, model).WithLoad(route.Load{
		At: start, Running: 10, Waiting: waiting, Slots: 10,
		QueuedTokens: ident.Tokens(100 * (10 + waiting)), TokensPerSecond: 1000,
	})
}

// TestEstimate guards against estimates that ignore the age of a report, this
// router's requests that the report does not contain, a cached prefix or the
// class.
func TestEstimate(t *testing.T) {
	cases := []struct {
		name   string
		ca     route.Candidate
		change func(*route.Demand)
		age    time.Duration
		want   time.Duration
	}{
		{"waiting for a slot", busy("e", "d", 0), nil, 0, 200 * time.Millisecond},
		{"behind ten waiting", busy("e", "d", 10), nil, 0, 1200 * time.Millisecond},
		{"generated since the report", busy("e", "d", 10), nil, time.Second, 200 * time.Millisecond},
		{"sent since the report", busy("e", "d", 0).WithOwnLoad(route.OwnLoad{Requests: 10, Tokens: 1000, UnreportedRequests: 10, UnreportedTokens: 1000}), nil, 0, 1200 * time.Millisecond},
		{"own requests bound an old report", busy("e", "d", 0).WithOwnLoad(route.OwnLoad{Requests: 20, Tokens: 2000}), nil, time.Hour, 1200 * time.Millisecond},
		{"urgent passes waiting requests", busy("e", "d", 10), func(de *route.Demand) { de.Class = config.Urgent }, 0, 200 * time.Millisecond},
		{"urgent behind urgent", busy("e", "d", 10).WithOwnLoad(route.OwnLoad{Requests: 4, Tokens: 400, Urgent: 2}), func(de *route.Demand) { de.Class = config.Urgent }, 0, 750 * time.Millisecond},
		{"cached prefix", busy("e", "d", 0), func(de *route.Demand) { de.Hint = route.Hint{Upstream: "e", Tokens: 800} }, 0, 100 * time.Millisecond},
		{"prefix cached elsewhere", busy("e", "d", 0), func(de *route.Demand) { de.Hint = route.Hint{Upstream: "f", Tokens: 800} }, 0, 200 * time.Millisecond},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			de := demand()
			if ca.change != nil {
				ca.change(&de)
			}
			now := start.Add(ca.age)
			es := route.EstimateAt(ca.ca, de, now)
			if got := es.FirstToken.Sub(now); got.Round(time.Millisecond) != ca.want || !es.Known {
				t.Errorf("first token after %v (known %v), want %v", got, es.Known, ca.want)
			}
			if got := es.Finish.Sub(es.FirstToken).Round(time.Millisecond); got != time.Second {
				t.Errorf("output takes %v, want 1s", got)
			}
		})
	}
}

// TestChoose guards against sending requests to unusable upstreams, and against a
// retry in the failure domain of the first attempt while another one is usable.
func TestChoose(t *testing.T) {
	vi := route.NewView(
		route.NewCandidate("a", "d1", model).WithLeaving(true),
		route.NewCandidate("b", "d1", model).WithSuspect(start.Add(time.Minute)),
		route.NewCandidate("c", "d2", "other"),
		route.NewCandidate("d", "d2", model),
		route.NewCandidate("e", "d2", model),
		route.NewCandidate("f", "d3", model),
	)
	tried := route.Tried{}.With("d", "d2")
	cases := []struct {
		name  string
		tried route.Tried
		now   time.Time
		want  map[ident.Upstream]bool
	}{
		{"first attempt", route.Tried{}, start, map[ident.Upstream]bool{"d": true, "e": true, "f": true}},
		{"retry prefers another domain", tried, start, map[ident.Upstream]bool{"f": true}},
		{"second retry falls back", tried.With("f", "d3"), start, map[ident.Upstream]bool{"e": true}},
		{"all tried", tried.With("f", "d3").With("e", "d2"), start, map[ident.Upstream]bool{}},
		{"no longer suspect", tried.With("f", "d3").With("e", "d2"), start.Add(time.Minute), map[ident.Upstream]bool{"b": true}},
	}
	for _, name := range route.Names() {
		for _, ca := range cases {
			t.Run(string(name)+"/"+ca.name, func(t *testing.T) {
				po, err := route.New(name, route.CandidateTraits(route.NewTracker()), route.NewRand(1))
				if err != nil {
					t.Fatal(err)
				}
				de := demand()
				de.Tried = ca.tried
				got := map[ident.Upstream]bool{}
				for range 200 {
					if up, ok := po.Choose(vi.Pool(de), de, ca.now); ok {
						got[up.ID()] = true
					}
				}
				if diff := cmp.Diff(ca.want, got); diff != "" {
					t.Errorf("chosen (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestHintedChoice guards against a hint that is ignored when it helps or
// followed when the upstream is overloaded.
func TestHintedChoice(t *testing.T) {
	for _, ca := range []struct {
		waiting int
		want    bool
	}{{0, true}, {40, false}} {
		list := []route.Candidate{busy("hinted", "d1", ca.waiting)}
		for ix := range 20 {
			list = append(list, busy(ident.Upstream(fmt.Sprint("other", ix)), "d2", 0))
		}
		po, _ := route.New(route.ExpectedFinish, route.CandidateTraits(route.NewTracker()), route.NewRand(2))
		de := demand()
		de.Hint = route.Hint{Upstream: "hinted", Tokens: 700}
		up, _ := po.Choose(route.NewView(list...).Pool(de), de, start)
		if got := up.ID() == "hinted"; got != ca.want {
			t.Errorf("%d waiting: hinted chosen %v, want %v", ca.waiting, got, ca.want)
		}
	}
}

// TestTracker guards against requests that are lost or counted twice when a report
// arrives between their start and end.
func TestTracker(t *testing.T) {
	tr := route.NewTracker()
	old := tr.Sent("e", demand())
	tr.Report("e", start, start)
	young := tr.Sent("e", demand())
	if diff := cmp.Diff(route.OwnLoad{Requests: 2, Tokens: 200, UnreportedRequests: 1, UnreportedTokens: 100}, tr.OwnLoad("e")); diff != "" {
		t.Errorf("after the report (-want +got):\n%s", diff)
	}
	// A report as old as the interval covers none of the requests of the interval.
	tr.Report("e", start, start.Add(time.Second))
	if got := tr.OwnLoad("e").UnreportedRequests; got != 1 {
		t.Errorf("a late report left %d unreported requests, want 1", got)
	}
	tr.Done(young)
	tr.Done(old)
	if diff := cmp.Diff(route.OwnLoad{}, tr.OwnLoad("e")); diff != "" {
		t.Errorf("after the end (-want +got):\n%s", diff)
	}
}

// TestTrackerConcurrent guards against counts that drift when many requests and
// reports overlap.
func TestTrackerConcurrent(t *testing.T) {
	tr := route.NewTracker()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				tr.Done(tr.Sent("e", demand()))
			}
		})
	}
	for ix := range 500 {
		tr.Report("e", start, start.Add(time.Duration(ix)*time.Millisecond))
	}
	wg.Wait()
	if diff := cmp.Diff(route.OwnLoad{}, tr.OwnLoad("e")); diff != "" {
		t.Errorf("own requests after all ended (-want +got):\n%s", diff)
	}
}

// TestChooseConcurrent guards against decisions that fail or race while reports
// replace the view and events change the hints.
func TestChooseConcurrent(t *testing.T) {
	list := []route.Candidate{busy("a", "d1", 0), busy("b", "d2", 0), busy("c", "d3", 0)}
	cell, pr, tr := snap.NewCell(route.NewView(list...)), route.NewPrefixIndex(route.WithPrefixSets(8)), route.NewTracker()
	prompt := prefixes("system", "sheet")
	for _, name := range route.Names() {
		po, err := route.New(name, route.CandidateTraits(tr), route.NewRand(1))
		if err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for range 500 {
					de := demand()
					de.Hint = pr.Lookup(prompt, start)
					up, ok := po.Choose(cell.Load().Pool(de), de, start)
					if !ok {
						t.Error("no candidate")
						return
					}
					pr.RecordPrompt(up.ID(), prompt, start)
					tr.Done(tr.Sent(up.ID(), de))
				}
			})
		}
		for ix := range 200 {
			ca := list[ix%len(list)]
			tr.Report(ca.ID(), start, start.Add(time.Duration(ix)))
			pr.ApplyEvent(route.CacheEvent{Upstream: ca.ID(), Seq: uint64(ix + 1), Removed: true, Hashes: []uint64{prompt[1].Hash}}, start)
			cell.Update(func(vi route.View) (route.View, bool) {
				return vi.With(ca.WithLoad(route.Load{At: start, Slots: ix})), true
			})
		}
		wg.Wait()
	}
}

// TestView guards against a change of one candidate that reaches older views.
func TestView(t *testing.T) {
	v1 := route.NewView(busy("a", "d", 0), busy("b", "d", 0))
	v2 := v1.With(busy("a", "d", 7)).With(route.NewCandidate("c", "d", "other"))
	v3 := v2.Without("b")
	aa, _ := v1.Get("a")
	if v1.Len() != 2 || aa.Load().Waiting != 0 {
		t.Errorf("first view changed: %d candidates, %d waiting", v1.Len(), aa.Load().Waiting)
	}
	po := v2.Pool(demand())
	if len(po.Items) != 2 || po.Items[0].Load().Waiting != 7 {
		t.Errorf("the index by model was not updated")
	}
	if _, ok := v3.Get("b"); ok || v3.Len() != 2 {
		t.Errorf("b was not removed")
	}
}
