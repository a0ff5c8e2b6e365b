package relay

import (
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// conclude notes what the row of a non-idempotent call must become. A call
// that the upstream proved not to have run is released before its refusal is
// told, so that a retry elsewhere can claim the key.
func (rn *run) conclude(ev peer.Event) {
	ou := claim.Outcome{Status: ev.Result.Status, Body: rn.body, Cut: rn.cut}
	for _, fi := range ev.Result.Header {
		ou.Header = append(ou.Header, claim.Field(fi))
	}
	switch ev.Kind {
	case peer.Refused:
		rn.owe(rn.row.WithState(claim.Released))
		if rn.replace() == nil {
			rn.paidUp()
		}
		return
	case peer.Failed:
		ou.Failure = string(ev.Refusal.Reason)
	}
	rn.owe(rn.row.WithOutcome(ou))
}

// restore ends the run with a stored outcome.
func (rn *run) restore(ou claim.Outcome) {
	rn.sv.release(rn.di)
	res := engine.Result{Status: ou.Status}
	for _, fi := range ou.Header {
		res.Header = append(res.Header, engine.Field(fi))
	}
	ev := peer.Event{Kind: peer.Final, Result: res}
	rn.mu.Lock()
	rn.replay = true
	_, err := rn.buf.Append(engine.Chunk{Data: ou.Body}, len(ou.Body))
	rn.mu.Unlock()
	switch {
	case ou.Failure != "":
		ev.Kind, ev.Refusal = peer.Failed, rn.sv.unknown(rn.di, refuse.Reason(ou.Failure), "the call ended without an answer")
	case ou.Cut || err != nil:
		ev.Kind, ev.Refusal = peer.Failed, rn.sv.unknown(rn.di, refuse.Truncated, "the call ran, but only the beginning of its answer is stored")
	}
	rn.complete(ev, 0)
	close(rn.decided)
}

// reject ends the run with a refusal.
func (rn *run) reject(rf *refuse.Refusal) {
	rn.sv.release(rn.di)
	rn.sv.keys.CompareAndDelete(keyOf(rn.di), rn)
	rn.complete(peer.Event{Kind: peer.Refused, Refusal: rf}, 0)
	close(rn.decided)
}
