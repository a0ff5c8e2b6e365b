package model

import (
	"net/http"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// maxHistory bounds the past reports that are kept for a lag.
const maxHistory = 4096

// minTokenTime stands for a token time of zero in the reported rate.
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

// history keeps past reports, so that one of a given age can be shown.
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

// at returns the last report that is not later than the given time.
func (hi *history) at(then time.Time) (Load, bool) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	for idx := len(hi.reports) - 1; idx >= 0; idx-- {
		if !hi.reports[idx].at.After(then) {
			return hi.reports[idx].load, true
		}
	}
	return Load{}, false
}

// Load returns the present load, without lag.
func (en *Engine) Load() Load {
	running, waiting := en.sched.counts()
	per := max(en.se.tokenTime, minTokenTime).Seconds() * en.slow()
	return Load{
		Running: running, Waiting: waiting, Slots: en.se.slots, QueuedTokens: en.owed.Load(),
		TokensPerSecond: float64(en.se.slots) / per, Leaving: en.setting.Load().Leaving,
	}
}

// sample keeps the present load for readers that see it with a lag.
func (en *Engine) sample() { en.load.add(en.se.clk.Now(), en.Load()) }

func (en *Engine) serveLoad(wr http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(en.setting.Load().LoadLagMillis) * time.Millisecond
	if lag <= 0 {
		fault.WriteJSON(wr, http.StatusOK, en.Load())
		return
	}
	lo, ok := en.load.at(en.se.clk.Now().Add(-lag))
	if !ok {
		lo = Load{Slots: en.se.slots, TokensPerSecond: en.Load().TokensPerSecond}
	}
	fault.WriteJSON(wr, http.StatusOK, lo)
}
