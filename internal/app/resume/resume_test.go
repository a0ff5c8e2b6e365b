package resume_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/app/resume"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
)

// life is the time for which a stream may be in progress.
const life = 10 * time.Second

// fleet is a number of routers that reach each other in memory.
type fleet struct {
	t *testing.T
	// routers holds a *resume.Registry for each name.
	routers sync.Map
	// messages counts the messages with records.
	messages atomic.Int64
}

// startFleet starts routers that know no upstreams yet.
func startFleet(t *testing.T, count int) *fleet {
	fl := &fleet{t: t}
	for no := range count {
		fl.start(fmt.Sprint("r", no))
	}
	return fl
}

// start starts a router, or replaces it by one that knows nothing.
func (fl *fleet) start(name string) {
	re := resume.NewRegistry(func() []follow.Peer {
		var others []follow.Peer
		for other := range fl.routers.Range {
			if other != name {
				others = append(others, follow.Peer{VM: ident.VM(other.(string)), Address: other.(string)})
			}
		}
		return others
	}, fl)
	fl.routers.Store(name, re)
	go re.Run(fl.t.Context())
}

// router returns a router, or nil if it is down.
func (fl *fleet) router(name string) *resume.Registry {
	re, _ := fl.routers.Load(name)
	rt, _ := re.(*resume.Registry)
	return rt
}

// SendStreams gives records to a router.
func (fl *fleet) SendStreams(_ context.Context, addr string, streams []resume.Stream) error {
	fl.messages.Add(1)
	if re := fl.router(addr); re != nil {
		re.Add(streams)
		return nil
	}
	return errors.New("router is down")
}

// FetchStream asks a router.
func (fl *fleet) FetchStream(_ context.Context, addr string, qu resume.Query) (resume.Stream, bool, error) {
	re := fl.router(addr)
	if re == nil {
		return resume.Stream{}, false, errors.New("router is down")
	}
	st, ok := re.Lookup(qu)
	return st, ok, nil
}

// observe shows upstreams of the releases to all routers.
func (fl *fleet) observe(releases ...string) {
	var ups []place.Upstream
	for no, release := range releases {
		ups = append(ups, place.Upstream{ID: ident.Upstream(fmt.Sprint("e", no)), Service: "s", Release: release})
	}
	for _, re := range fl.routers.Range {
		re.(*resume.Registry).Observe(place.EndpointMap{}.WithUpstreams(ups...), true)
	}
}

// observeLong shows upstreams of the releases to all routers for longer than the life of a
// stream.
func (fl *fleet) observeLong(releases ...string) {
	fl.observe(releases...)
	time.Sleep(2 * life)
	fl.observe(releases...)
}

// begin begins a stream at a router.
func (fl *fleet) begin(name string, id ident.Request, release string) {
	now := time.Now()
	fl.router(name).Began(resume.Stream{ID: id, Service: "s", Release: release, Deadline: now.Add(life)}, now.Add(-life))
	time.Sleep(100 * time.Millisecond)
}

// find returns the release that a router finds, or a question mark.
func (fl *fleet) find(name string, id ident.Request) string {
	st, ok := fl.router(name).Find(fl.t.Context(), resume.Query{ID: id, Service: "s", Since: time.Now().Add(-life)})
	if !ok {
		return "?"
	}
	return st.Release
}

// TestTakenUp guards against streams that are joined from two software releases, and
// against streams of a known release that are refused.
func TestTakenUp(t *testing.T) {
	for _, tc := range []struct {
		name string
		// play begins the stream x at r0.
		play func(fl *fleet)
		want string
	}{
		{"two releases", func(fl *fleet) {
			fl.observe("v1", "v2")
			fl.begin("r0", "x", "v1")
		}, "v1"},
		{"the router was killed", func(fl *fleet) {
			fl.observe("v1", "v2")
			fl.begin("r0", "x", "v1")
			fl.routers.Delete("r0")
		}, "v1"},
		{"the second release came after the stream", func(fl *fleet) {
			fl.observeLong("v1")
			fl.begin("r0", "x", "v1")
			fl.observe("v1", "v2")
			time.Sleep(100 * time.Millisecond)
			fl.routers.Delete("r0")
		}, "v1"},
		{"all routers were killed", func(fl *fleet) {
			fl.observeLong("v1")
			fl.begin("r0", "x", "v1")
			for name := range fl.routers.Range {
				fl.start(name.(string))
			}
			fl.observe("v2")
		}, "?"},
		{"one router was started again", func(fl *fleet) {
			fl.observeLong("v1")
			fl.begin("r0", "x", "v1")
			fl.start("r1")
			fl.observe("v1")
		}, "v1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := startFleet(t, 6)
				tc.play(fl)
				if diff := cmp.Diff(tc.want, fl.find("r1", "x")); diff != "" {
					t.Errorf("release (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestBoundMessages guards against messages for each stream while there is one release.
func TestBoundMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := startFleet(t, 6)
		fl.observeLong("v1")
		for no := range 50 {
			fl.begin("r0", ident.Request(fmt.Sprint(no)), "v1")
		}
		if sent := fl.messages.Load(); sent != 0 {
			t.Errorf("%d messages were sent, want none", sent)
		}
	})
}
