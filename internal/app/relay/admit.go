package relay

import (
	"bytes"
	"context"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// find returns the run that the attempt belongs to, if one is known by the
// attempt or by its key. A refusal of known work never says notRun.
func (sv *Service) find(ctx context.Context, di peer.Dispatch) (*run, *refuse.Refusal) {
	if it, ok := sv.attempts.Load(idOf(di)); ok {
		return it.(*run), sv.barred(di)
	}
	rn := sv.byKey(di)
	if rn == nil {
		return nil, nil
	}
	if !bytes.Equal(rn.di.Fingerprint, di.Fingerprint) {
		return nil, refuse.New(refuse.KeyReused, "the key belongs to another request")
	}
	if rf := sv.barred(di); rf != nil {
		return nil, rf
	}
	if !rn.join(di) {
		// A call that is being cancelled cannot be attached to, and it must
		// have ended before the key runs again.
		select {
		case <-rn.over:
			return nil, nil
		case <-ctx.Done():
			return nil, sv.unknown(di, refuse.InProgress, "the call is being cancelled")
		}
	}
	sv.attempts.LoadOrStore(idOf(di), rn)
	return rn, nil
}

// barred refuses known work of a closed incarnation.
func (sv *Service) barred(di peer.Dispatch) *refuse.Refusal {
	if !sv.books.gate(di.Router).closed() {
		return nil
	}
	return sv.unknown(di, refuse.ClosedIncarnation, "router incarnation %s is closed", di.Router)
}

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
// when a concurrent dispatch became known first. Only work that is not known
// yet is checked with the registry, so a refusal of it is notRun.
func (sv *Service) start(ctx context.Context, di peer.Dispatch) (*run, *refuse.Refusal) {
	if rf := sv.vouch(ctx, di.Router); rf != nil {
		return nil, rf
	}
	if rf := sv.admit(di); rf != nil {
		return nil, rf
	}
	var credit ident.Tokens
	prev := sv.byKey(di)
	if prev != nil {
		credit = prev.paid()
	}
	rn := newRun(sv, di, credit)
	if !sv.publish(rn, prev) {
		rn.cancel(nil)
		sv.release(di)
		sv.leaving.leave()
		sv.life.leave()
		return nil, nil
	}
	go rn.work()
	return rn, nil
}

// publish makes the run known and reports whether it is the only one.
func (sv *Service) publish(rn, prev *run) bool {
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

// admit checks the conditions for new work. Without a refusal, the attempt
// holds an entry in each gate and a place among the running calls.
func (sv *Service) admit(di peer.Dispatch) *refuse.Refusal {
	if di.Call.Key == "" && !di.Idempotent {
		return refuse.New(refuse.KeyRequired, "a call that must not run twice needs an idempotency key")
	}
	if sv.late(di) {
		return refuse.New(refuse.DeadlinePassed, "deadline %s", di.Call.Deadline)
	}
	if sv.load.Load().load.Leaving {
		return refuse.New(refuse.Leaving, "upstream %s is leaving", sv.upstream.ID)
	}
	if !sv.life.enter() {
		return refuse.New(refuse.Leaving, "the sidecar of %s has stopped", sv.upstream.ID)
	}
	if !sv.leaving.enter() {
		sv.life.leave()
		return refuse.New(refuse.Leaving, "the sidecar of %s is leaving", sv.upstream.ID)
	}
	rf := sv.reserve(di)
	if rf != nil {
		sv.leaving.leave()
		sv.life.leave()
	}
	return rf
}

// reserve takes what release gives back.
func (sv *Service) reserve(di peer.Dispatch) *refuse.Refusal {
	if !sv.books.gate(di.Router).enter() {
		return refuse.New(refuse.ClosedIncarnation, "router incarnation %s is closed", di.Router)
	}
	if sv.running.Add(1) > sv.maxRunning {
		sv.release(di)
		return refuse.New(refuse.Busy, "%d calls run at %s", sv.maxRunning, sv.upstream.ID)
	}
	return nil
}

// release ends the attempt's part in the running calls and in the work of its
// router incarnation.
func (sv *Service) release(di peer.Dispatch) {
	sv.running.Add(-1)
	sv.books.gate(di.Router).leave()
}

// late reports whether the deadline has passed.
func (sv *Service) late(di peer.Dispatch) bool {
	return !di.Call.Deadline.IsZero() && !sv.clk.Now().Before(di.Call.Deadline)
}
