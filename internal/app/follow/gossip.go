package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/port/feed"
)

// Newest asks one router for a configuration newer than the version.
type Newest func(ctx context.Context, addr string, after uint64) (feed.Row, bool, error)

const (
	// askAfter is how long the feed is lost before other routers are asked.
	askAfter = 300 * time.Millisecond
	// askEvery is the time between two rounds of questions, askWidth the number
	// of routers that one round asks. While a third of the routers is turned
	// away, two answers in three come from one that is not.
	askEvery = 300 * time.Millisecond
	askWidth = 2
)

// Gossip keeps the configuration up to date from other routers while the feed
// is lost.
type Gossip struct {
	config *Config
	peers  func() []string
	ask    Newest
}

// NewGossip returns a gossip. peers returns the addresses of other routers.
func NewGossip(co *Config, peers func() []string, ask Newest) *Gossip {
	return &Gossip{config: co, peers: peers, ask: ask}
}

// Run asks until ctx ends.
func (gs *Gossip) Run(ctx context.Context) {
	for sleep(ctx, askEvery/2+rand.N(askEvery)) {
		if gs.config.lostFor(time.Now()) < askAfter {
			continue
		}
		peers := gs.peers()
		for no, ix := range rand.Perm(len(peers)) {
			if no >= askWidth {
				break
			}
			ro, _ := gs.config.Row()
			newer, ok, err := gs.ask(ctx, peers[ix], ro.Version)
			// One that does not answer is no news; the next round asks others.
			if err == nil && ok {
				gs.config.Offer(newer, peers[ix])
			}
		}
	}
}
