package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/feed"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var evPeersSilent = meter.Event{Number: 5108, Level: slog.LevelWarn, Text: "no other router responds while a feed is overdue"}

// FetchConfig requests a configuration newer than the revision after from
// the router at addr, and reports whether it has one.
type FetchConfig func(ctx context.Context, addr string, after ident.Revision) (feed.Row, bool, error)

// FetchClosures requests the closed failure domains that the router at addr knows. It
// reports false if that router does not know any state yet.
type FetchClosures func(ctx context.Context, addr string) (ClosureState, bool, error)

const (
	// gossipDelay is how long the feed is overdue before other routers are asked.
	gossipDelay = 300 * time.Millisecond
	// gossipInterval is the mean time between two rounds of requests.
	gossipInterval = 300 * time.Millisecond
	// gossipFanout is the number of routers that are asked in one round. While the
	// store refuses a third of the routers, two responses in three come from a
	// router that the store still serves.
	gossipFanout = 2
)

// Gossip asks other routers while a feed is overdue, because its calls fail or because a
// large row is slow to arrive, and while it may lack changes.
type Gossip struct {
	subject string
	feed    *Loop
	peers   func() []string
	// ask updates this router's state from the router at an address.
	ask func(ctx context.Context, addr string) error
	// logAt is when the next round without a response is logged.
	logAt time.Time
}

// NewGossip returns a Gossip that updates the configuration, which lo reads from its
// feed. peers returns the addresses of other routers, and fetch requests a
// configuration from one of them.
func NewGossip(co *Config, lo *Loop, peers func() []string, fetch FetchConfig) *Gossip {
	return &Gossip{subject: "configuration", feed: lo, peers: peers, ask: func(ctx context.Context, addr string) error {
		newer, ok, err := fetch(ctx, addr, co.Load().Revision())
		if err == nil && ok {
			co.Offer(newer, addr)
		}
		return err
	}}
}

// NewClosureGossip returns a Gossip that updates the closed failure domains, which lo
// reads from its feed. It is separate from that of the configuration, which may take
// long to arrive.
func NewClosureGossip(cs *Closures, lo *Loop, peers func() []string, fetch FetchClosures) *Gossip {
	return &Gossip{subject: "closures", feed: lo, peers: peers, ask: func(ctx context.Context, addr string) error {
		st, ok, err := fetch(ctx, addr)
		if err == nil && ok {
			cs.Offer(st, addr, time.Now())
		}
		return err
	}}
}

// Run asks other routers while the feed is overdue or may lack changes, until ctx ends.
func (gs *Gossip) Run(ctx context.Context) {
	for sleep(ctx, gossipInterval/2+rand.N(gossipInterval)) {
		if gs.feed.OverdueFor(time.Now()) >= gossipDelay || gs.feed.MayLackChanges() {
			gs.round(ctx)
		}
	}
}

// round asks gossipFanout routers at the same time, because one that does not respond
// takes long while the own link is congested. The next round asks others.
func (gs *Gossip) round(ctx context.Context) {
	peers := gs.peers()
	order := rand.Perm(len(peers))
	errs := make([]error, min(gossipFanout, len(order)))
	var calls sync.WaitGroup
	for no := range errs {
		calls.Go(func() { errs[no] = gs.ask(ctx, peers[order[no]]) })
	}
	calls.Wait()
	gs.record(errs)
}

// record counts the calls of a round and logs one without a response.
func (gs *Gossip) record(errs []error) {
	failed := slices.DeleteFunc(slices.Clone(errs), func(err error) bool { return err == nil })
	gs.feed.meter.Count("gossipCalls", "subject", gs.subject, int64(len(errs)))
	gs.feed.meter.Count("gossipErrors", "subject", gs.subject, int64(len(failed)))
	now := time.Now()
	if len(failed) == 0 || len(failed) < len(errs) || now.Before(gs.logAt) {
		return
	}
	gs.logAt = now.Add(lossLogInterval)
	gs.feed.meter.Log(evPeersSilent, slog.String("subject", gs.subject), slog.Int("asked", len(errs)),
		slog.Duration("overdue", gs.feed.OverdueFor(now)), slog.String("error", failed[0].Error()))
}
