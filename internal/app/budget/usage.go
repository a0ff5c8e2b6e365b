package budget

import (
	"math"
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
	// spent is what all holders had settled when the budget row was last read,
	// at spentAt, and drain is how fast that grows.
	spent   ident.Tokens
	spentAt time.Time
	drain   float64
}

const (
	// rateTime is the time constant of the moving average of a holder's rate.
	rateTime = 3 * time.Second
	// drainTime is the same for the use of all holders, whose settlements arrive
	// late and together after an outage.
	drainTime = 10 * time.Second
)

// weight returns the weight of what was measured for dt seconds in a moving
// average with the time constant.
func weight(dt float64, constant time.Duration) float64 {
	return 1 - math.Exp(-dt/constant.Seconds())
}

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
		us.rate += weight(dt, rateTime) * (float64(newAsked)/dt - us.rate)
		us.at = now
	}
	us.requests, us.asked = requests, asked
}

// drainPause is the shortest time between two readings of what was spent.
const drainPause = time.Second

// drained takes a reading of what all holders have settled.
func (us *usage) drained(now time.Time, spent ident.Tokens) {
	dt := now.Sub(us.spentAt).Seconds()
	switch {
	case us.spentAt.IsZero():
	case dt < drainPause.Seconds():
		return
	case us.drain == 0:
		us.drain = float64(spent-us.spent) / dt
	default:
		us.drain += weight(dt, drainTime) * (float64(spent-us.spent)/dt - us.drain)
	}
	us.spent, us.spentAt = spent, now
}

// lasts returns how long so many tokens last at the recent use of all holders,
// and false while that is not known.
func (us *usage) lasts(left ident.Tokens) (time.Duration, bool) {
	if us.drain <= 0 {
		return 0, false
	}
	return time.Duration(min(float64(left)/us.drain, maxLasts.Seconds()) * float64(time.Second)), true
}

// maxLasts bounds what lasts returns.
const maxLasts = 24 * time.Hour

// settled records that everything up to now was settled.
func (us *usage) settled(now time.Time, requests int64) {
	us.lastSent, us.sent = now, requests
}
