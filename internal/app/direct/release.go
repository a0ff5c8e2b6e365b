package direct

import (
	"cmp"
	"context"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/resume"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// streamLives is the number of timeouts of its route for which a stream may be in
// progress: one until it breaks off, and one after it was taken up.
const streamLives = 2

// resumable reports whether the response is a stream that may go on at another upstream.
func (rn *run) resumable() bool { return rn.route.Kind == intent.Stream && rn.route.Resumable }

// streamsSince returns the earliest time at which a stream of the route that is in
// progress can have begun.
func (rn *run) streamsSince() time.Time {
	return rn.info.Arrived.Add(-streamLives * rn.route.Timeout)
}

// takeUp finds the software release that began the stream which the caller takes up. A
// stream whose release is not known is refused, because the rest of it may not fit.
func (rn *run) takeUp(ctx context.Context) *refuse.Refusal {
	if rn.info.LastEvent < 0 || !rn.resumable() {
		return nil
	}
	st, ok := rn.se.opts.streams.Find(ctx, resume.Query{ID: rn.info.Resumes, Service: rn.service.Name, Since: rn.streamsSince()})
	if !ok {
		return refuse.New(refuse.NoUpstream, "it is not known which software release began the stream")
	}
	for _, ta := range rn.route.Targets {
		if ta.Service == st.Service && st.Service != rn.service.Name {
			rn.useService(st.Service)
		}
	}
	rn.release.Store(&st.Release)
	return nil
}

// useService sets the service of the request.
func (rn *run) useService(name ident.Service) {
	var ok bool
	if rn.service, ok = rn.conf.Service(name); !ok {
		rn.service = intent.Service{Name: name}
	}
}

// began records that the stream to the caller begins with the response of the upstream.
func (rn *run) began(ep *place.Endpoint) {
	if !rn.resumable() {
		return
	}
	if rn.release.Load() == nil {
		rn.release.Store(&ep.Release)
	}
	rn.se.opts.streams.Began(resume.Stream{
		ID: cmp.Or(rn.info.Resumes, rn.info.ID), Service: rn.service.Name, Release: ep.Release, Deadline: rn.deadline,
	}, rn.streamsSince())
}

// mayContinue reports whether the response of the exchange fits what the caller has.
func (rn *run) mayContinue(ex *exchange) bool {
	release := rn.release.Load()
	return release == nil || *release == ex.ep.Release
}

// discard ends an exchange whose response cannot be used.
func (rn *run) discard(ex *exchange) {
	rn.runs.Add(1)
	rn.demand.Tried = append(rn.demand.Tried, ex.ep.ID)
	ex.end()
}

// noStreams is the default of Streams.
type noStreams struct{}

// Began does nothing.
func (noStreams) Began(resume.Stream, time.Time) {}

// Find returns a stream without a release, which fits upstreams that name none.
func (noStreams) Find(_ context.Context, qu resume.Query) (resume.Stream, bool) {
	return resume.Stream{ID: qu.ID, Service: qu.Service}, true
}
