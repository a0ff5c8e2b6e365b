package direct

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/peers"
	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evRotationLeft     = meter.Event{Number: 9333, Level: slog.LevelWarn, Text: "the router leaves the rotation for a time, its link is congested and others have capacity"}
	evRotationReturned = meter.Event{Number: 9334, Level: slog.LevelInfo, Text: "the router returns to the rotation"}
)

const (
	// askInterval is the shortest time between two rounds of calls to other routers while
	// the link is congested, and usedAskInterval while it is in use: on a congested link
	// answers come too late. maxAsked is the number of routers that are asked in a round.
	askInterval     = 500 * time.Millisecond
	usedAskInterval = time.Second
	maxAsked        = 4
	// maxOut bounds the absence that another router may report.
	maxOut = time.Minute
)

// rotation takes a router with a congested link out of the rotation of the balancer while
// other routers of its failure domain have capacity. Its methods are called by the
// goroutine that watches the link, except out.
type rotation struct {
	ro    *Router
	state *snap.Cell[shed.Rotation]
	// answers receives the answers of each round.
	answers chan []shed.Answer
	rounds  sync.WaitGroup
	// nextRound is the earliest time of the next round.
	nextRound time.Time
	isOut     bool
}

func newRotation(ro *Router) *rotation {
	return &rotation{ro: ro, state: snap.NewCell(shed.Rotation{}), answers: make(chan []shed.Answer)}
}

// out reports whether the router is out of the rotation. It is safe for concurrent use.
func (rn *rotation) out(now time.Time) bool { return rn.state.Load().Out(now) }

// check decides whether the router leaves or returns.
func (rn *rotation) check(ctx context.Context, now time.Time) {
	if rn.ro.leaving.Load() {
		return
	}
	before := rn.state.Load()
	near := rn.near()
	after := before.WithPeers(len(near)).WithLink(rn.ro.link.Busy(now), now)
	rn.state.Store(after)
	switch is := after.Out(now); {
	case is && !rn.isOut:
		rn.leave(after, before.CongestedSince(), now)
	case !is && rn.isOut:
		rn.enter()
	}
	interval, due := usedAskInterval, rn.ro.link.InUse(now)
	if !after.CongestedSince().IsZero() {
		interval, due = askInterval, true
	}
	if due && !now.Before(rn.nextRound) {
		rn.nextRound = now.Add(interval)
		rn.rounds.Go(func() { rn.ask(ctx, choose(near, after), now) })
	}
}

func (rn *rotation) leave(rt shed.Rotation, since, now time.Time) {
	rn.isOut = true
	rn.ro.entry.CloseKept(true)
	pc := rt.Counts(now)
	rn.ro.met.Gauge("outOfRotation", "", "", 1)
	rn.ro.met.Log(evRotationLeft, slog.Duration("congested", now.Sub(since)), slog.Time("until", rt.OutUntil()),
		slog.Int("asked", pc.Asked), slog.Int("answered", pc.Answered), slog.Int("busy", pc.Busy), slog.Int("connections", rn.ro.entry.OpenConns()))
}

func (rn *rotation) enter() {
	rn.isOut = false
	rn.ro.entry.CloseKept(false)
	rn.ro.met.Gauge("outOfRotation", "", "", 0)
	rn.ro.met.Log(evRotationReturned)
}

// ask asks other routers for their load.
func (rn *rotation) ask(ctx context.Context, asked []follow.Peer, now time.Time) {
	answers := make([]shed.Answer, len(asked))
	var calls sync.WaitGroup
	for ix, pe := range asked {
		calls.Go(func() {
			lo, err := rn.ro.peers.FetchLoad(ctx, pe.Address)
			answers[ix] = answerOf(pe.VM, lo, err, now)
		})
	}
	calls.Wait()
	select {
	case rn.answers <- answers:
	case <-ctx.Done():
	}
}

// answerOf returns the answer of a router that was asked at the time.
func answerOf(vm ident.VM, lo peers.Load, err error, askedAt time.Time) shed.Answer {
	an := shed.Answer{From: vm, AskedAt: askedAt, Silent: err != nil, Congested: lo.Congested, OutOfRotation: lo.OutOfRotation}
	if lo.OutMs > 0 {
		an.OutUntil = askedAt.Add(min(maxOut, time.Duration(lo.OutMs)*time.Millisecond))
	}
	return an
}

// near returns the other routers of the failure domain.
func (rn *rotation) near() []follow.Peer {
	own := rn.ro.settings.Domain
	return slices.DeleteFunc(slices.Clone(rn.ro.fleet.Peers()), func(pe follow.Peer) bool { return pe.Domain != own })
}

// choose returns random routers, those first about which least is known.
func choose(near []follow.Peer, rt shed.Rotation) []follow.Peer {
	rand.Shuffle(len(near), func(one, two int) { near[one], near[two] = near[two], near[one] })
	slices.SortStableFunc(near, func(one, two follow.Peer) int { return rt.KnownUntil(one.VM).Compare(rt.KnownUntil(two.VM)) })
	return near[:min(len(near), maxAsked)]
}

// record records the answers of a round.
func (rn *rotation) record(answers []shed.Answer) {
	rn.state.Store(rn.state.Load().WithAnswers(answers...))
}

// wait waits until no round is in progress.
func (rn *rotation) wait() { rn.rounds.Wait() }

// load returns what other routers are told about this one.
func (ro *Router) load() peers.Load {
	now := time.Now()
	return peers.Load{
		Congested: ro.link != nil && ro.link.Busy(now), OutOfRotation: ro.readiness() != nil,
		OutMs: max(0, ro.rotation.state.Load().OutUntil().Sub(now).Milliseconds()),
	}
}
