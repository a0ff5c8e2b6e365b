package model

import (
	"net/http"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// maxHistory bounds the number of past load reports that are kept. The oldest ones
// are dropped.
const maxHistory = 4096

// minTokenTime replaces a token time of zero in the reported rate, which would be
// infinite otherwise.
const minTokenTime = time.Microsecond

// Load is the load report of an engine.
type Load struct {
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	Slots           int     `json:"slots"`
	QueuedTokens    int64   `json:"queuedTokens"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
	Leaving         bool    `json:"leaving"`
}

// history holds past load reports, so that the report of a given age can be
// returned.
type history struct {
	mu      sync.Mutex
	reports []pastLoad
}

type pastLoad struct {
	at   time.Time
	load Load
}

func (hi *history) add(now time.Time, lo Load) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if len(hi.reports) == maxHistory {
		hi.reports = append(hi.reports[:0], hi.reports[1:]...)
	}
	hi.reports = append(hi.reports, pastLoad{at: now, load: lo})
}

// latestAt returns the latest report that is not later than the given time.
func (hi *history) latestAt(then time.Time) (Load, bool) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	for idx := len(hi.reports) - 1; idx >= 0; idx-- {
		if !hi.reports[idx].at.After(then) {
			return hi.reports[idx].load, true
		}
	}
	return Load{}, false
}

// Load returns the current load, without lag.
func (en *Engine) Load() Load {
	running, waiting := en.sched.counts()
	per := max(en.se.tokenTime, minTokenTime).Seconds() * en.slowFactor()
	return Load{
		Running: running, Waiting: waiting, Slots: en.se.slots, QueuedTokens: en.pendingTokens.Load(),
		TokensPerSecond: float64(en.se.slots) / per, Leaving: en.setting.Load().Leaving,
	}
}

// recordLoad adds the current load to the history.
func (en *Engine) recordLoad() { en.load.add(en.se.clk.Now(), en.Load()) }

func (en *Engine) serveLoad(wr http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(en.setting.Load().LoadLagMillis) * time.Millisecond
	if lag <= 0 {
		fault.WriteJSON(wr, http.StatusOK, en.Load())
		return
	}
	lo, ok := en.load.latestAt(en.se.clk.Now().Add(-lag))
	if !ok {
		lo = Load{Slots: en.se.slots, TokensPerSecond: en.Load().TokensPerSecond}
	}
	fault.WriteJSON(wr, http.StatusOK, lo)
}
