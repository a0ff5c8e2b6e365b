package front

import (
	"context"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/core/retry"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// attempt is one dispatch of a request to one upstream.
type attempt struct {
	sv     *Service
	rq     Request
	ho     Hold
	emit   func(engine.Chunk) error
	number int
	target Target
	// race is set while another attempt may answer the same request.
	race *race

	emitted bool
	// next is the sequence number of the chunk that is expected next.
	next uint64
	last peer.Event
	// ended says that last is the sidecar's last event, so the usage is known.
	ended bool
}

// run returns nil after a complete answer.
func (at *attempt) run(ctx context.Context) *refuse.Refusal {
	at.next = 1
	sent := at.sv.clk.Now()
	rf := at.stream(ctx)
	switch {
	case rf == nil:
		at.sv.hedges.Observe(at.rq, at.sv.clk.Now().Sub(sent))
		at.target.Done(Verdict{Output: at.last.Result.Usage.Completion})
	case ctx.Err() != nil || at.race.lost(at):
		// The end of a cancelled attempt says nothing about the upstream.
		at.target.Done(Verdict{})
	default:
		at.target.Done(Verdict{Refusal: rf})
	}
	return rf
}

// failure describes the failed attempt to the retry policy.
func (at *attempt) failure(rf *refuse.Refusal) retry.Failure {
	return retry.Failure{
		Reason: rf.Reason, Outcome: rf.Outcome, Idempotent: at.rq.Idempotent,
		Sent:     rf.Reason != refuse.Unreachable || rf.Outcome != refuse.NotRun,
		Answered: at.emitted, Attempts: at.number, Deadline: at.rq.Deadline,
	}
}

// stream outlives the caller by a grace period, because a cancelled attempt
// still reports its usage.
func (at *attempt) stream(ctx context.Context) *refuse.Refusal {
	own, cancel := context.WithDeadline(context.WithoutCancel(ctx), at.rq.Deadline.Add(settleGrace))
	defer cancel()
	st, err := at.target.Sidecar.Open(own, at.dispatch())
	if err != nil {
		return refuse.From(err)
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Cancel)
	defer stop()
	for {
		ev, err := st.Recv(own)
		if err != nil {
			return refuse.From(err).WithOutcome(refuse.Unknown)
		}
		done, rf := at.handle(st, ev)
		if done || rf != nil {
			return rf
		}
	}
}

func (at *attempt) dispatch() peer.Dispatch {
	return peer.Dispatch{
		Request: at.rq.ID, Attempt: uint32(at.number),
		Account: at.rq.Account.ID, Budget: at.rq.Budget,
		Router: at.sv.router, Reserved: at.rq.Worst(),
		Idempotent: at.rq.Idempotent, Fingerprint: at.rq.Fingerprint,
		Call: at.rq.Call,
	}
}

// handle reports whether the event was the last one.
func (at *attempt) handle(st peer.Stream, ev peer.Event) (bool, *refuse.Refusal) {
	switch ev.Kind {
	case peer.Data:
		at.next = ev.Seq + 1
		at.pass(st, ev.Chunk)
		st.Ack(ev.Seq)
		return false, nil
	case peer.Final:
		at.last, at.ended = ev, true
		if !at.race.claim(at) {
			return true, refuse.New(refuse.Cancelled, "another attempt answered first")
		}
		at.ho.Settle(ev.Charged)
		return true, nil
	case peer.Refused:
		at.last, at.ended = ev, true
		return true, ev.Refusal
	case peer.Failed:
		at.last, at.ended = ev, true
		return true, ev.Refusal.WithOutcome(refuse.Unknown)
	default:
		return false, nil
	}
}

// pass gives the chunk to the caller unless another attempt answers. If the
// caller is gone, the attempt is stopped, and its last event tells what was
// used.
func (at *attempt) pass(st peer.Stream, ch engine.Chunk) {
	if !at.race.claim(at) {
		st.Cancel()
		return
	}
	if err := at.emit(ch); err != nil {
		st.Cancel()
		at.emit = func(engine.Chunk) error { return nil }
	}
	at.emitted = true
}

func (at *attempt) answer() Answer {
	return Answer{
		Result: at.last.Result, Charged: at.last.Charged, Replay: at.last.Replay,
		Upstream: at.target.Upstream.ID, Attempts: at.number,
	}
}

// settle ends the hold of a request that was refused. A call that did not run,
// or of which a caller who stayed received nothing, is free.
func (at *attempt) settle(rf *refuse.Refusal, callerGone bool) {
	free := at.rq.Idempotent && !at.emitted && !callerGone
	switch {
	case rf.Outcome == refuse.NotRun, free:
		at.ho.Release()
	case at.ended:
		at.ho.Settle(at.last.Charged)
	default:
		at.resolve()
	}
}

// resolve learns the usage from the sidecar after the connection was lost, in
// the background. If the sidecar does not know, the escrow stays held.
func (at *attempt) resolve() {
	sv := at.sv
	sv.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), sv.resolve)
		defer cancel()
		ev, ok := at.lastEvent(ctx)
		if !ok {
			at.ho.Keep()
			sv.met.Log(evUnknown, slog.String("request", string(at.rq.ID)),
				slog.String("budget", at.rq.Ref().String()), slog.Int64("tokens", int64(at.rq.Worst())))
			return
		}
		at.ho.Settle(ev.Charged)
		sv.met.Log(evResolved, slog.String("request", string(at.rq.ID)), slog.Int64("tokens", int64(ev.Charged)))
	})
}

func (at *attempt) lastEvent(ctx context.Context) (peer.Event, bool) {
	st, err := at.target.Sidecar.Resume(ctx, at.rq.ID, uint32(at.number), at.next)
	if err != nil {
		return peer.Event{}, false
	}
	defer st.Close()
	st.Cancel()
	for {
		ev, err := st.Recv(ctx)
		if err != nil {
			return peer.Event{}, false
		}
		switch ev.Kind {
		case peer.Data:
			st.Ack(ev.Seq)
		case peer.Final:
			return ev, true
		case peer.Failed:
			// A refused resume proves nothing about the usage.
			return ev, ev.Refusal == nil || ev.Refusal.Reason != refuse.LinkLost
		}
	}
}
