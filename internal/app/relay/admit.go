package relay

import (
	"bytes"
	"context"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// find returns the run that the attempt belongs to, if the attempt or its key
// is known. Work that is known may have run, so its refusal never says notRun
// unless the key belongs to a different request.
func (sv *Service) find(ctx context.Context, di peer.Dispatch) (*run, *refuse.Refusal) {
	if it, ok := sv.attempts.Load(idOf(di)); ok {
		return it.(*run), sv.checkNotClosed(di)
	}
	rn := sv.byKey(di)
	if rn == nil {
		return nil, nil
	}
	if !bytes.Equal(rn.di.Fingerprint, di.Fingerprint) {
		return nil, refuse.New(refuse.KeyReused, "the idempotency key belongs to a different request")
	}
	if rf := sv.checkNotClosed(di); rf != nil {
		return nil, rf
	}
	if !rn.addReader(di) {
		// A call that is being cancelled accepts no further readers, and it must
		// have ended before a call with its key may run again.
		select {
		case <-rn.ended:
			return nil, nil
		case <-ctx.Done():
			return nil, sv.unknownOutcome(di, refuse.InProgress, "the call is being cancelled")
		}
	}
	sv.attempts.LoadOrStore(idOf(di), rn)
	return rn, nil
}

// checkNotClosed returns a refusal for known work if its router incarnation is
// closed.
func (sv *Service) checkNotClosed(di peer.Dispatch) *refuse.Refusal {
	if !sv.incarnations.gate(di.Router).closed() {
		return nil
	}
	return sv.unknownOutcome(di, refuse.ClosedIncarnation, "router incarnation %s is closed", di.Router)
}

// byKey returns the run that is registered under the dispatch's key, or nil.
func (sv *Service) byKey(di peer.Dispatch) *run {
	if di.Call.Key == "" {
		return nil
	}
	it, ok := sv.keys.Load(keyOf(di))
	if !ok {
		return nil
	}
	return it.(*run)
}

// start admits the attempt and runs it. It returns neither a run nor a refusal
// if a concurrent dispatch of the attempt or key was registered first. Only
// work that is not known yet is checked with the registry, so the registry's
// refusal means notRun.
func (sv *Service) start(ctx context.Context, di peer.Dispatch) (*run, *refuse.Refusal) {
	if rf := sv.checkRegistry(ctx, di.Router); rf != nil {
		return nil, rf
	}
	if rf := sv.admit(di); rf != nil {
		return nil, rf
	}
	var credit ident.Tokens
	prev := sv.byKey(di)
	if prev != nil {
		credit = prev.totalCharged()
	}
	rn := newRun(sv, di, credit)
	if !sv.register(rn, prev) {
		rn.cancel(nil)
		sv.endCall(di)
		sv.drain.leave()
		sv.workers.leave()
		return nil, nil
	}
	go rn.work()
	return rn, nil
}

// register registers the run under its attempt and key. It reports false if
// another run is registered there and must not be replaced.
func (sv *Service) register(rn, prev *run) bool {
	id := idOf(rn.di)
	if rn.di.Call.Key == "" {
		_, known := sv.attempts.LoadOrStore(id, rn)
		return !known
	}
	if prev != nil {
		if !prev.repeatable() || !sv.keys.CompareAndSwap(keyOf(rn.di), prev, rn) {
			return false
		}
	} else if _, known := sv.keys.LoadOrStore(keyOf(rn.di), rn); known {
		return false
	}
	sv.attempts.Store(id, rn)
	return true
}

// admit checks the conditions for new work. Without a refusal, the attempt has
// entered the gates of the service and of its router incarnation, and is
// counted among the running calls.
func (sv *Service) admit(di peer.Dispatch) *refuse.Refusal {
	if di.Call.Key == "" && !di.Idempotent {
		return refuse.New(refuse.KeyRequired, "a non-idempotent call needs an idempotency key")
	}
	if sv.deadlinePassed(di) {
		return refuse.New(refuse.DeadlinePassed, "deadline %s has passed", di.Call.Deadline)
	}
	if sv.load.Load().load.Leaving {
		return refuse.New(refuse.Leaving, "upstream %s is leaving", sv.upstream.ID)
	}
	if !sv.workers.enter() {
		return refuse.New(refuse.Leaving, "the sidecar of %s has stopped", sv.upstream.ID)
	}
	if !sv.drain.enter() {
		sv.workers.leave()
		return refuse.New(refuse.Leaving, "the sidecar of %s is leaving", sv.upstream.ID)
	}
	rf := sv.startCall(di)
	if rf != nil {
		sv.drain.leave()
		sv.workers.leave()
	}
	return rf
}

// startCall enters the gate of the router incarnation and counts the call as
// running. endCall undoes both.
func (sv *Service) startCall(di peer.Dispatch) *refuse.Refusal {
	if !sv.incarnations.gate(di.Router).enter() {
		return refuse.New(refuse.ClosedIncarnation, "router incarnation %s is closed", di.Router)
	}
	if sv.running.Add(1) > sv.maxRunning {
		sv.endCall(di)
		return refuse.New(refuse.Busy, "the limit of %d running calls at upstream %s is reached", sv.maxRunning, sv.upstream.ID)
	}
	return nil
}

// endCall removes the attempt from the running calls and from the gate of its
// router incarnation.
func (sv *Service) endCall(di peer.Dispatch) {
	sv.running.Add(-1)
	sv.incarnations.gate(di.Router).leave()
}

// deadlinePassed reports whether the call has a deadline that has passed.
func (sv *Service) deadlinePassed(di peer.Dispatch) bool {
	return !di.Call.Deadline.IsZero() && !sv.clk.Now().Before(di.Call.Deadline)
}
