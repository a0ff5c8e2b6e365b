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
	// race is nil if the request is not hedged.
	race *race

	emitted bool
	// nextSeq is the sequence number of the chunk that is expected next.
	nextSeq   uint64
	lastEvent peer.Event
	// usageKnown says that lastEvent is the sidecar's last event, which carries
	// the usage.
	usageKnown bool
}

// run returns nil after a complete response.
func (at *attempt) run(ctx context.Context) *refuse.Refusal {
	at.nextSeq = 1
	sent := at.sv.clk.Now()
	rf := at.stream(ctx)
	switch {
	case rf == nil:
		at.sv.hedges.Observe(at.rq, at.sv.clk.Now().Sub(sent))
		at.target.Done(AttemptResult{Output: at.lastEvent.Result.Usage.Completion})
	case ctx.Err() != nil || at.race.lost(at):
		// The result of a cancelled attempt says nothing about the upstream.
		at.target.Done(AttemptResult{})
	default:
		at.target.Done(AttemptResult{Refusal: rf})
	}
	return rf
}

// failure describes the failed attempt to the retry policy.
func (at *attempt) failure(rf *refuse.Refusal) retry.Failure {
	return retry.Failure{
		Reason: rf.Reason, Outcome: rf.Outcome, Idempotent: at.rq.Idempotent,
		Sent:          rf.Reason != refuse.Unreachable || rf.Outcome != refuse.NotRun,
		PartDelivered: at.emitted, Attempts: at.number, Deadline: at.rq.Deadline,
	}
}

// stream sends the attempt and handles its events. It continues for a grace
// period after the caller has left, because a cancelled attempt still reports
// its usage.
func (at *attempt) stream(ctx context.Context) *refuse.Refusal {
	streamCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), at.rq.Deadline.Add(settleGrace))
	defer cancel()
	st, err := at.target.Sidecar.Open(streamCtx, at.dispatch())
	if err != nil {
		return refuse.From(err)
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Cancel)
	defer stop()
	for {
		ev, err := st.Recv(streamCtx)
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
		Router: at.sv.router, Reserved: at.rq.MaxCharge(),
		Idempotent: at.rq.Idempotent, Fingerprint: at.rq.Fingerprint,
		Call: at.rq.Call,
	}
}

// handle processes one event and reports whether it was the last one.
func (at *attempt) handle(st peer.Stream, ev peer.Event) (bool, *refuse.Refusal) {
	switch ev.Kind {
	case peer.Data:
		at.nextSeq = ev.Seq + 1
		at.forward(st, ev.Chunk)
		st.Ack(ev.Seq)
		return false, nil
	case peer.Final:
		at.lastEvent, at.usageKnown = ev, true
		if !at.race.claim(at) {
			return true, refuse.New(refuse.Cancelled, "another attempt responded first")
		}
		at.ho.Settle(ev.Charged)
		return true, nil
	case peer.Refused:
		at.lastEvent, at.usageKnown = ev, true
		return true, ev.Refusal
	case peer.Failed:
		at.lastEvent, at.usageKnown = ev, true
		return true, ev.Refusal.WithOutcome(refuse.Unknown)
	default:
		return false, nil
	}
}

// forward emits the chunk, or cancels the attempt if another one has won the
// race. If the caller has left, the attempt is cancelled too, and its last event
// reports the usage.
func (at *attempt) forward(st peer.Stream, ch engine.Chunk) {
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

func (at *attempt) response() Response {
	return Response{
		Result: at.lastEvent.Result, Charged: at.lastEvent.Charged, Replay: at.lastEvent.Replay,
		Upstream: at.target.Upstream.ID, Attempts: at.number,
	}
}

// settle ends the hold of a failed request. A call that did not run is free, and
// so is an idempotent call of which the caller received nothing, unless the
// caller left early. If the usage is not known, the sidecar is asked for it in
// the background.
func (at *attempt) settle(rf *refuse.Refusal, callerGone bool) {
	free := at.rq.Idempotent && !at.emitted && !callerGone
	switch {
	case rf.Outcome == refuse.NotRun, free:
		at.ho.Release()
	case at.usageKnown:
		at.ho.Settle(at.lastEvent.Charged)
	default:
		at.resolveUsage()
	}
}

// resolveUsage asks the sidecar for the usage in the background, after the
// connection was lost. If it cannot be learned, the hold is marked as unknown and
// its escrow stays held.
func (at *attempt) resolveUsage() {
	sv := at.sv
	sv.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), sv.resolveTimeout)
		defer cancel()
		ev, ok := at.fetchLastEvent(ctx)
		if !ok {
			at.ho.MarkUnknown()
			sv.met.Log(evUnknown, slog.String("request", string(at.rq.ID)),
				slog.String("budget", at.rq.BudgetRef().String()), slog.Int64("tokens", int64(at.rq.MaxCharge())))
			return
		}
		at.ho.Settle(ev.Charged)
		sv.met.Log(evResolved, slog.String("request", string(at.rq.ID)), slog.Int64("tokens", int64(ev.Charged)))
	})
}

// fetchLastEvent resumes and cancels the attempt, and returns its last event.
func (at *attempt) fetchLastEvent(ctx context.Context) (peer.Event, bool) {
	st, err := at.target.Sidecar.Resume(ctx, at.rq.ID, uint32(at.number), at.nextSeq)
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
			// A refused resumption proves nothing about the usage.
			return ev, ev.Refusal == nil || ev.Refusal.Reason != refuse.LinkLost
		}
	}
}
