package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/feed"
)

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

// Gossip asks other routers while a feed is overdue: because its calls fail, or because
// a large row is slow to arrive.
type Gossip struct {
	feed  *Loop
	peers func() []string
	// ask updates this router's state from the router at an address.
	ask func(ctx context.Context, addr string)
}

// NewGossip returns a Gossip that updates the configuration, which lo reads from its
// feed. peers returns the addresses of other routers, and fetch requests a
// configuration from one of them.
func NewGossip(co *Config, lo *Loop, peers func() []string, fetch FetchConfig) *Gossip {
	return &Gossip{feed: lo, peers: peers, ask: func(ctx context.Context, addr string) {
		newer, ok, err := fetch(ctx, addr, co.Load().Revision())
		// An error is ignored, because the next round asks other routers.
		if err == nil && ok {
			co.Offer(newer, addr)
		}
	}}
}

// NewClosureGossip returns a Gossip that updates the closed failure domains, which lo
// reads from its feed. It is separate from that of the configuration, which may take
// long to arrive.
func NewClosureGossip(cs *Closures, lo *Loop, peers func() []string, fetch FetchClosures) *Gossip {
	return &Gossip{feed: lo, peers: peers, ask: func(ctx context.Context, addr string) {
		st, ok, err := fetch(ctx, addr)
		// An error is ignored, because the next round asks other routers.
		if err == nil && ok {
			cs.Offer(st, addr, time.Now())
		}
	}}
}

// Run asks other routers while the feed is overdue, until ctx ends.
func (gs *Gossip) Run(ctx context.Context) {
	for sleep(ctx, gossipInterval/2+rand.N(gossipInterval)) {
		if gs.feed.OverdueFor(time.Now()) < gossipDelay {
			continue
		}
		peers := gs.peers()
		for asked, ix := range rand.Perm(len(peers)) {
			if asked >= gossipFanout {
				break
			}
			gs.ask(ctx, peers[ix])
		}
	}
}
