package relay

import (
	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// recordOutcome sets the pending row of a non-idempotent call that has ended. If
// the upstream proved that the call did not run, the claim is released before
// the refusal is published, so that a retry elsewhere can claim the key.
func (rn *run) recordOutcome(ev peer.Event) {
	ou := claim.Outcome{Status: ev.Result.Status, Body: rn.body, Truncated: rn.truncated}
	for _, fi := range ev.Result.Header {
		ou.Header = append(ou.Header, claim.Field(fi))
	}
	switch ev.Kind {
	case peer.Refused:
		rn.setPendingRow(rn.row.WithState(claim.Released))
		if rn.replace() == nil {
			rn.markStored()
		}
		return
	case peer.Failed:
		ou.Failure = string(ev.Refusal.Reason)
	}
	rn.setPendingRow(rn.row.WithOutcome(ou))
}

// replayOutcome ends the run with a stored outcome.
func (rn *run) replayOutcome(ou claim.Outcome) {
	rn.sv.endCall(rn.di)
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
		ev.Kind, ev.Refusal = peer.Failed, rn.sv.unknownOutcome(rn.di, refuse.Reason(ou.Failure), "the call ended without a complete response")
	case ou.Truncated || err != nil:
		ev.Kind, ev.Refusal = peer.Failed, rn.sv.unknownOutcome(rn.di, refuse.Truncated, "the call ran, but only the beginning of its response is stored")
	}
	rn.complete(ev, 0)
	close(rn.decided)
}

// reject ends the run with a refusal.
func (rn *run) reject(rf *refuse.Refusal) {
	rn.sv.endCall(rn.di)
	rn.sv.keys.CompareAndDelete(keyOf(rn.di), rn)
	rn.complete(peer.Event{Kind: peer.Refused, Refusal: rf}, 0)
	close(rn.decided)
}
