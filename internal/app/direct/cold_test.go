package direct_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// coldView is the view of a router without others.
type coldView struct {
	limit   place.ColdLimit
	routers place.Routers
}

// ColdLimit returns the limit.
func (cv *coldView) ColdLimit(ident.Service) place.ColdLimit { return cv.limit }

// Routers returns the known routers.
func (cv *coldView) Routers() place.Routers { return cv.routers }

// TestColdUpstreams guards against sends of any kind to cold upstreams beyond their rate:
// first ones, retries, those of a standby and those that continue a stream; against
// waiting for capacity; and against a retry time at which there is none.
func TestColdUpstreams(t *testing.T) {
	notRun := upstreamStep{err: proxy.NotRunError{Status: 503}}
	for _, tc := range []struct {
		name, path string
		script     []upstreamStep
		// want are the reasons of refusals that requests get, one after the other, and
		// sends the number of sends.
		want  []refuse.Reason
		sends int
	}{
		{"first sends", "/once/", []upstreamStep{{status: 200}}, []refuse.Reason{"", "", refuse.NoUpstream, refuse.NoUpstream}, 2},
		{"retries", "/idem/", []upstreamStep{notRun}, []refuse.Reason{refuse.NoUpstream, refuse.NoUpstream}, 2},
		{"standby", "/idem/", []upstreamStep{{silent: true}}, []refuse.Reason{refuse.TimedOut}, 2},
		{"continued stream", "/resume/", []upstreamStep{{status: 200, events: []int64{0}, end: errIncomplete}, notRun}, []refuse.Reason{refuse.UpstreamFailed, refuse.NoUpstream}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, 2, 10)
				*fx.cold = coldView{place.ColdLimit{Time: time.Minute, Rate: 0.05}, place.NewRouters("edge", time.Now(), "edge")}
				for _, ep := range fx.ups.Service("s") {
					ep.ReportedCold(time.Now().Add(time.Minute), time.Now())
				}
				// The first capacity of this router comes at any time within its interval.
				time.Sleep(20 * time.Second)
				ca := &fakeCaller{script: tc.script}
				var got []refuse.Reason
				for range tc.want {
					start := time.Now()
					_, re := fx.svc.Serve(t.Context(), newRequest(tc.path), ca, ca)
					if re == nil {
						got = append(got, "")
						continue
					}
					got = append(got, re.Reason)
					if re.Reason == refuse.NoUpstream && (time.Since(start) > 0 || re.RetryAt.Before(start)) {
						t.Errorf("refused after %v, retry after %v", time.Since(start), time.Until(re.RetryAt))
					}
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Errorf("refusals (-want +got):\n%s", diff)
				}
				if len(ca.attempts) != tc.sends || fmt.Sprint(ca.attempts[0].Upstream) == fmt.Sprint(ca.attempts[1].Upstream) {
					t.Errorf("%d sends, want %d to two upstreams", len(ca.attempts), tc.sends)
				}
			})
		})
	}
}
