// Package relay implements the sidecar: the last proxy before an upstream. The
// sidecar decides whether a request runs and knows whether it ran.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// Service runs attempts at one upstream. It implements peer.Sidecar.
type Service struct {
	settings
	upstream     config.Upstream
	self         ident.Incarnation
	engine       engine.Upstream
	incarnations incarnations
	lookups      singleflight.Group
	// drain counts runs whose output must be delivered and whose outcome must
	// be stored before the process may end. It is closed once the sidecar is
	// leaving. workers counts the goroutines of runs and of registry lookups.
	drain      *gate
	workers    *gate
	scheduler  *scheduler
	running    atomic.Int64
	load       *snap.Cell[loadReport]
	attempts   sync.Map // attemptID to *run
	keys       sync.Map // keyID to *run
	base       context.Context
	stop       context.CancelFunc
	background sync.WaitGroup
}

// attemptID identifies one attempt across all routers.
type attemptID struct {
	request ident.Request
	attempt uint32
}

// keyID identifies an idempotency key across all client accounts.
type keyID struct {
	account ident.Account
	key     ident.Key
}

// loadReport is the latest load of the upstream. ok is false until the first
// one has arrived.
type loadReport struct {
	load engine.Load
	at   time.Time
	ok   bool
}

var _ peer.Sidecar = (*Service)(nil)

// NewService starts a service for the upstream. incarnation identifies this
// start of the sidecar. Close stops the service.
func NewService(up config.Upstream, incarnation ident.Incarnation, eng engine.Upstream, opts ...Option) *Service {
	sv := &Service{
		settings: defaults(), upstream: up, self: incarnation, engine: eng,
		drain: newGate(), workers: newGate(), load: snap.NewCell(loadReport{}),
	}
	for _, opt := range opts {
		opt(&sv.settings)
	}
	for _, ic := range sv.closedAtStart {
		sv.incarnations.gate(ic).close()
	}
	sv.scheduler = newScheduler(sv.clk)
	sv.base, sv.stop = context.WithCancel(context.Background())
	sv.background.Go(func() { sv.scheduler.run(sv.base.Done()) })
	sv.background.Go(sv.pollLoad)
	return sv
}

// Open starts the attempt, or attaches to the existing run if the attempt or
// its idempotency key is known. For a non-idempotent call it returns once the
// claim on the key is decided.
func (sv *Service) Open(ctx context.Context, di peer.Dispatch) (peer.Stream, error) {
	rn, rf := sv.find(ctx, di)
	for rf == nil && rn == nil {
		if rn, rf = sv.start(ctx, di); rf == nil && rn == nil {
			rn, rf = sv.find(ctx, di)
		}
	}
	if rf != nil {
		return nil, sv.countRefusal(rf)
	}
	select {
	case <-rn.decided:
	case <-ctx.Done():
		rn.detach(idOf(di))
		return nil, sv.countRefusal(sv.unknownOutcome(di, refuse.InProgress, "the claim on the idempotency key is not decided yet"))
	}
	st, rf := rn.open(idOf(di))
	if rf != nil {
		return nil, sv.countRefusal(rf)
	}
	return st, nil
}

// Resume continues the output of an attempt on a new stream, which replaces the
// attempt's previous stream.
func (sv *Service) Resume(ctx context.Context, re ident.Request, attempt uint32, nextSeq uint64) (peer.Stream, error) {
	id := attemptID{request: re, attempt: attempt}
	it, ok := sv.attempts.Load(id)
	if !ok {
		return nil, sv.countRefusal(refuse.New(refuse.Truncated, "attempt %s/%d is not known to this sidecar", re, attempt))
	}
	rn := it.(*run)
	select {
	case <-rn.decided:
	case <-ctx.Done():
		return nil, sv.countRefusal(refuse.New(refuse.InProgress, "the claim on the idempotency key is not decided yet"))
	}
	st, rf := rn.resume(id, max(nextSeq, 1))
	if rf != nil {
		return nil, sv.countRefusal(rf)
	}
	return st, nil
}

// Report returns the latest load of the upstream, and whether one has arrived.
func (sv *Service) Report() (peer.Report, bool) {
	ld := sv.load.Load()
	rp := peer.Report{
		Upstream: sv.upstream.ID, VM: sv.upstream.VM, Domain: sv.upstream.Domain, Sidecar: sv.self,
		Revision: sv.revision(), Load: ld.load, Received: ld.at, Leaving: sv.drain.closed() || ld.load.Leaving,
	}
	// The upstream's own count lags; it lacks calls that the sidecar started
	// since the upstream was last polled.
	rp.Load.Running = max(rp.Load.Running, int(sv.running.Load()))
	rp.Load.Leaving = rp.Leaving
	return rp, ld.ok
}

// Leave makes the service refuse new work. Running calls continue.
func (sv *Service) Leave() { sv.drain.close() }

// Wait returns after Leave once every call has ended, each of its readers has
// received the last event or was dropped, and its outcome is stored.
func (sv *Service) Wait(ctx context.Context) error {
	select {
	case <-sv.drain.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cancels all work and waits until every goroutine of the service has
// ended. For a graceful shutdown, call Leave and Wait first.
func (sv *Service) Close() {
	sv.drain.close()
	sv.workers.close()
	sv.stop()
	<-sv.workers.empty
	sv.background.Wait()
}

// pollLoad reads the load of the upstream at a fixed interval until the service
// stops.
func (sv *Service) pollLoad() {
	tk := time.NewTicker(sv.loadInterval)
	defer tk.Stop()
	for {
		ctx, cancel := context.WithTimeout(sv.base, sv.loadInterval)
		ld, err := sv.engine.Load(ctx)
		cancel()
		if err == nil {
			sv.load.Store(loadReport{load: ld, at: sv.clk.Now(), ok: true})
		} else {
			sv.mtr.Count("loadFailures", "", "", 1)
		}
		select {
		case <-tk.C:
		case <-sv.base.Done():
			return
		}
	}
}

// countRefusal counts the refusal in the metrics and returns it.
func (sv *Service) countRefusal(rf *refuse.Refusal) *refuse.Refusal {
	sv.mtr.Count("refusals", "reason", string(rf.Reason), 1)
	return rf
}

// unknownOutcome returns a refusal with the outcome unknown, for a call that may
// have run. With the key of a non-idempotent call, the refusal names the path
// at which the stored outcome can be read.
func (sv *Service) unknownOutcome(di peer.Dispatch, re refuse.Reason, format string, args ...any) *refuse.Refusal {
	rf := refuse.New(re, format, args...).WithOutcome(refuse.Unknown)
	if di.Call.Key != "" && !di.Idempotent {
		rf = rf.WithOutcomePath(sv.outcomePath(di.Account, di.Call.Key))
	}
	return rf
}

func idOf(di peer.Dispatch) attemptID {
	return attemptID{request: di.Request, attempt: di.Attempt}
}

func keyOf(di peer.Dispatch) keyID { return keyID{account: di.Account, key: di.Call.Key} }
