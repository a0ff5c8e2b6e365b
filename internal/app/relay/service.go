// Package relay is the use case of the sidecar: the last hop before an
// upstream and the authority on whether a request ran.
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
	upstream config.Upstream
	self     ident.Incarnation
	engine   engine.Upstream
	books    books
	lookups  singleflight.Group
	// leaving counts work that must be delivered before the process may end;
	// life counts the goroutines of runs.
	leaving  *gate
	life     *gate
	agenda   *agenda
	running  atomic.Int64
	load     *snap.Cell[loaded]
	attempts sync.Map // attemptID to *run
	keys     sync.Map // keyID to *run
	base     context.Context
	stop     context.CancelFunc
	owned    sync.WaitGroup
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

// loaded is the latest load report, if one has arrived.
type loaded struct {
	load engine.Load
	at   time.Time
	ok   bool
}

var _ peer.Sidecar = (*Service)(nil)

// NewService returns a service for the upstream. incarnation identifies this
// start of the sidecar. Close stops it.
func NewService(up config.Upstream, incarnation ident.Incarnation, eng engine.Upstream, opts ...Option) *Service {
	sv := &Service{
		settings: defaults(), upstream: up, self: incarnation, engine: eng,
		leaving: newGate(), life: newGate(), load: snap.NewCell(loaded{}),
	}
	for _, opt := range opts {
		opt(&sv.settings)
	}
	for _, ic := range sv.closed {
		sv.books.gate(ic).close()
	}
	sv.agenda = newAgenda(sv.clk)
	sv.base, sv.stop = context.WithCancel(context.Background())
	sv.owned.Go(func() { sv.agenda.run(sv.base.Done()) })
	sv.owned.Go(sv.poll)
	return sv
}

// Open runs the attempt, or attaches to its run if the attempt or its key is
// known. For a non-idempotent call it returns when the claim is decided.
func (sv *Service) Open(ctx context.Context, di peer.Dispatch) (peer.Stream, error) {
	rn, rf := sv.find(ctx, di)
	for rf == nil && rn == nil {
		if rn, rf = sv.start(ctx, di); rf == nil && rn == nil {
			rn, rf = sv.find(ctx, di)
		}
	}
	if rf != nil {
		return nil, sv.refused(rf)
	}
	select {
	case <-rn.decided:
	case <-ctx.Done():
		rn.detach(idOf(di))
		return nil, sv.refused(sv.unknown(di, refuse.InProgress, "the claim is not decided yet"))
	}
	st, rf := rn.open(idOf(di))
	if rf != nil {
		return nil, sv.refused(rf)
	}
	return st, nil
}

// Resume continues the output of an attempt on a new stream. The stream that
// delivered it before ends.
func (sv *Service) Resume(ctx context.Context, re ident.Request, attempt uint32, nextSeq uint64) (peer.Stream, error) {
	id := attemptID{request: re, attempt: attempt}
	it, ok := sv.attempts.Load(id)
	if !ok {
		return nil, sv.refused(refuse.New(refuse.Truncated, "attempt %s/%d is not held here", re, attempt))
	}
	rn := it.(*run)
	select {
	case <-rn.decided:
	case <-ctx.Done():
		return nil, sv.refused(refuse.New(refuse.InProgress, "the claim is not decided yet"))
	}
	st, rf := rn.resume(id, max(nextSeq, 1))
	if rf != nil {
		return nil, sv.refused(rf)
	}
	return st, nil
}

// Report returns the latest load of the upstream and the calls that run here.
func (sv *Service) Report() (peer.Report, bool) {
	ld := sv.load.Load()
	rp := peer.Report{
		Upstream: sv.upstream.ID, VM: sv.upstream.VM, Domain: sv.upstream.Domain, Sidecar: sv.self,
		Revision: sv.revision(), Load: ld.load, Received: ld.at, Leaving: sv.leaving.closed() || ld.load.Leaving,
	}
	// The upstream's own count lags, so calls that started since then are
	// known only here.
	rp.Load.Running = max(rp.Load.Running, int(sv.running.Load()))
	rp.Load.Leaving = rp.Leaving
	return rp, ld.ok
}

// Leave refuses new work from now on. Work that runs here continues.
func (sv *Service) Leave() { sv.leaving.close() }

// Wait returns after Leave when every attempt is finished, its last event was
// received or its reader is lost, and its outcome is stored.
func (sv *Service) Wait(ctx context.Context) error {
	select {
	case <-sv.leaving.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cancels all work and waits until every goroutine of the service has
// ended. For a shutdown that interrupts nothing, call Leave and Wait first.
func (sv *Service) Close() {
	sv.leaving.close()
	sv.life.close()
	sv.stop()
	<-sv.life.empty
	sv.owned.Wait()
}

// poll keeps the load report up to date.
func (sv *Service) poll() {
	tk := time.NewTicker(sv.loadEvery)
	defer tk.Stop()
	for {
		ctx, cancel := context.WithTimeout(sv.base, sv.loadEvery)
		ld, err := sv.engine.Load(ctx)
		cancel()
		if err == nil {
			sv.load.Store(loaded{load: ld, at: sv.clk.Now(), ok: true})
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

func (sv *Service) refused(rf *refuse.Refusal) *refuse.Refusal {
	sv.mtr.Count("refusals", "reason", string(rf.Reason), 1)
	return rf
}

// unknown returns a refusal of a call that may have run.
func (sv *Service) unknown(di peer.Dispatch, re refuse.Reason, format string, args ...any) *refuse.Refusal {
	rf := refuse.New(re, format, args...).WithOutcome(refuse.Unknown)
	if di.Call.Key != "" && !di.Idempotent {
		rf = rf.WithAskAt(sv.askAt(di.Account, di.Call.Key))
	}
	return rf
}

func idOf(di peer.Dispatch) attemptID {
	return attemptID{request: di.Request, attempt: di.Attempt}
}

func keyOf(di peer.Dispatch) keyID { return keyID{account: di.Account, key: di.Call.Key} }
