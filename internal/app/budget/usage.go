package budget

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// usage measures how fast a holding is used. It changes once per pass.
type usage struct {
	at       time.Time
	lastUse  time.Time
	lastSent time.Time
	looked   time.Time
	requests int64
	asked    int64
	sent     int64
	rate     float64
	typical  ident.Tokens
}

// decay is the weight of the latest pass in the moving averages.
const decay = 0.3

// observe updates the averages from the cumulative counters.
func (us *usage) observe(now time.Time, requests, asked int64) {
	if us.at.IsZero() {
		us.at, us.lastSent, us.lastUse, us.looked = now, now, now, now
	}
	newRequests, newAsked := requests-us.requests, asked-us.asked
	if newRequests > 0 {
		us.lastUse = now
		us.typical = ident.Tokens(newAsked / newRequests)
	}
	if dt := now.Sub(us.at).Seconds(); dt > 0 {
		us.rate += decay * (float64(newAsked)/dt - us.rate)
		us.at = now
	}
	us.requests, us.asked = requests, asked
}

// settled records that everything up to now was settled.
func (us *usage) settled(now time.Time, requests int64) {
	us.lastSent, us.sent = now, requests
}
