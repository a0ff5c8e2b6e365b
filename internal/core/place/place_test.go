package place_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

const engines = 18

var now = time.Unix(1_700_000_000, 0)

func fleet(n int) place.Map {
	var ups []place.Upstream
	for no := range n {
		ups = append(ups, place.Upstream{
			ID: ident.Upstream(fmt.Sprintf("i-%02d", no)), Address: fmt.Sprintf("10.0.0.%d:1", no), Service: "llm", Slots: 64,
		})
	}
	return place.Map{}.WithUpstreams(ups...)
}

func long(thing int) place.Demand {
	pr := place.Prompt{Input: 9000}.WithPart(fmt.Sprint("head", thing%4), 2520).WithPart(fmt.Sprint("thing", thing), 3780)
	return place.Demand{Prompt: pr}
}

// TestAgreement guards against routers that read the same prompt parts on
// different engines: without messages they must mostly agree.
func TestAgreement(t *testing.T) {
	const things, routers = 120, 12
	same := 0
	mp := fleet(engines)
	for thing := range things {
		seen := map[ident.Upstream]int{}
		for range routers {
			st, _ := place.NewEngines().Choose(mp.Service("llm"), long(thing), now)
			seen[st.ID]++
		}
		for _, times := range seen {
			if times == routers {
				same++
			}
		}
	}
	if same != things {
		t.Errorf("%d of %d prompts had all routers agree on idle engines", same, things)
	}
}

// TestSpread guards against engines that get many times the prompts of others.
func TestSpread(t *testing.T) {
	mp, en := fleet(engines), place.NewEngines()
	got := map[ident.Upstream]int{}
	const things = 1800
	for thing := range things {
		st, unread := en.Choose(mp.Service("llm"), long(thing), now)
		got[st.ID]++
		st.Sent(unread)
	}
	most := 0
	for _, times := range got {
		most = max(most, times)
	}
	if mean := float64(things) / engines; float64(most) > 1.3*mean {
		t.Errorf("the busiest engine got %d prompts, the mean is %.0f", most, mean)
	}
}

// TestLoadBeatsAffinity guards against a queue at the preferred engine while
// others are idle.
func TestLoadBeatsAffinity(t *testing.T) {
	mp, en := fleet(engines), place.NewEngines()
	first, _ := en.Choose(mp.Service("llm"), long(1), now)
	en.Read(first, long(1).Prompt, now)
	for range 40 {
		first.Sent(9000)
	}
	if st, _ := en.Choose(mp.Service("llm"), long(1), now); st.ID == first.ID {
		t.Errorf("a queue of 40 prompts did not move the choice from %s", st.ID)
	}
}

// TestKnownPrefix guards against reading again what an engine has read.
func TestKnownPrefix(t *testing.T) {
	mp, en := fleet(engines), place.NewEngines()
	st, unread := en.Choose(mp.Service("llm"), long(5), now)
	if unread != 9000 {
		t.Errorf("%d tokens to read on a cold engine, want 9000", unread)
	}
	en.Read(st, long(5).Prompt, now)
	again, unread := en.Choose(mp.Service("llm"), long(5), now.Add(time.Second))
	if again.ID != st.ID || unread != 2700 {
		t.Errorf("second choice %s with %d tokens to read, want %s with 2700", again.ID, unread, st.ID)
	}
	if _, unread := en.Choose(mp.Service("llm"), long(5), now.Add(time.Hour)); unread != 9000 {
		t.Errorf("%d tokens to read an hour later, want 9000", unread)
	}
}

// TestExcluded guards against new work for leaving, tried and suspect
// upstreams, and against refusing while only suspect ones are left.
func TestExcluded(t *testing.T) {
	mp := fleet(3)
	ups := mp.Upstreams()
	ups[0] = ups[0].WithLeaving(true)
	mp = mp.WithUpstreams(ups...)
	suspect, _ := mp.Station("i-01")
	suspect.Failed(now)
	pl := place.NewPlain()
	var got []string
	for _, tried := range [][]ident.Upstream{nil, {"i-02"}, {"i-01", "i-02"}} {
		id := "none"
		if st := pl.Choose(mp.Service("llm"), place.Demand{Tried: tried}, now); st != nil {
			id = string(st.ID)
		}
		got = append(got, id)
	}
	if diff := cmp.Diff([]string{"i-02", "i-01", "none"}, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
	if suspect.Suspect(now.Add(time.Minute)) {
		t.Error("the suspicion does not end")
	}
}

// TestLeastLoaded guards against a full upstream beside an idle one.
func TestLeastLoaded(t *testing.T) {
	mp := fleet(3)
	for no, running := range []int{6, 2, 6} {
		st, _ := mp.Station(ident.Upstream(fmt.Sprintf("i-%02d", no)))
		st.Reported(running, 0, 6, now)
	}
	if st := place.NewPlain().Choose(mp.Service("llm"), place.Demand{}, now); st.ID != "i-01" {
		t.Errorf("%s was chosen", st.ID)
	}
	full, _ := mp.Station("i-01")
	full.Full(now)
	if st := place.NewPlain().Choose(mp.Service("llm"), place.Demand{}, now); st.ID == "i-01" {
		t.Error("an upstream that refused for lack of a place was chosen")
	}
}

// TestCountersSurvive guards against losing own work when an entry changes,
// and against keeping it when the address serves another instance.
func TestCountersSurvive(t *testing.T) {
	mp := fleet(2)
	st, _ := mp.Station("i-00")
	st.Sent(100)
	ups := mp.Upstreams()
	ups[0] = ups[0].WithLeaving(true)
	same, _ := mp.WithUpstreams(ups...).Station("i-00")
	ups[0].Address = "10.9.9.9:1"
	moved, _ := mp.WithUpstreams(ups...).Station("i-00")
	if diff := cmp.Diff([]int{1, 0}, []int{same.InFlight(), moved.InFlight()}); diff != "" {
		t.Errorf("requests in flight (-want +got):\n%s", diff)
	}
}

// TestSilent guards against taking an upstream for silent that just sent bytes
// for another request.
func TestSilent(t *testing.T) {
	st := place.NewStation(place.Upstream{ID: "i"})
	st.Heard(now)
	if got := st.Silent(now.Add(-time.Minute), now.Add(time.Second)); math.Abs(got.Seconds()-1) > 0.01 {
		t.Errorf("silent for %s, want 1s", got)
	}
}
