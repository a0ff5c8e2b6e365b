package budget

import (
	"math"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// usage measures how fast a holding is used. Its rate changes once per pass.
type usage struct {
	startedAt       time.Time
	updatedAt       time.Time
	lastUse         time.Time
	lastSettled     time.Time
	lastRead        time.Time
	requests        int64
	tokens          int64
	settledRequests int64
	rate            float64
	typical         ident.Tokens
	// spent is the settled total of the budget as read at spentAt, and spendRate
	// is how fast it grows, in tokens per second.
	spent     ident.Tokens
	spentAt   time.Time
	spendRate float64
}

// observeAfter is the number of flush intervals after which a draw observes the use
// itself, because the passes do not get the rows lock.
const observeAfter = 2

const (
	// rateTime is the time constant of the moving average of a holder's rate.
	rateTime = 3 * time.Second
	// spendRateTime is the same for the use of all holders. It is longer, because
	// their settlements arrive late and together after an outage.
	spendRateTime = 10 * time.Second
)

// sampleWeight returns the weight that a sample over dt seconds has in a moving
// average with the time constant.
func sampleWeight(dt float64, constant time.Duration) float64 {
	return 1 - math.Exp(-dt/constant.Seconds())
}

// typicalSamples is the number of requests over which the typical reservation is averaged.
// With fewer, the target of available tokens changes with each request.
const typicalSamples = 8

// typicalWeight returns the weight of so many new requests in the typical reservation.
func typicalWeight(requests int64, typical ident.Tokens) float64 {
	if typical == 0 {
		return 1
	}
	return min(1, float64(requests)/typicalSamples)
}

// observe updates the rate and the typical reservation from the numbers of
// requests and of their tokens so far. If averaged is set, few requests change the
// typical reservation little, and many change the rate at once.
func (us *usage) observe(now time.Time, requests, tokens int64, averaged bool) {
	if us.updatedAt.IsZero() {
		us.startedAt, us.updatedAt, us.lastSettled, us.lastUse, us.lastRead = now, now, now, now, now
	}
	newRequests, newTokens := requests-us.requests, tokens-us.tokens
	if newRequests > 0 {
		us.lastUse = now
		weight := 1.0
		if averaged {
			weight = typicalWeight(newRequests, us.typical)
		}
		us.typical += ident.Tokens(weight * (float64(newTokens)/float64(newRequests) - float64(us.typical)))
	}
	if dt := now.Sub(us.updatedAt).Seconds(); dt > 0 {
		weight := sampleWeight(dt, rateTime)
		if averaged {
			weight = max(weight, us.startWeight(now, dt, requests))
		}
		us.rate += weight * (float64(newTokens)/dt - us.rate)
		us.updatedAt = now
	}
	us.requests, us.tokens = requests, tokens
}

// startWeight returns the weight of a sample over dt seconds with which the rate is the
// mean since the first request, so that a busy budget has its full rate at once. A few
// requests are no rate.
func (us *usage) startWeight(now time.Time, dt float64, requests int64) float64 {
	if requests < minRateRequests {
		return 0
	}
	return dt / max(now.Sub(us.startedAt).Seconds(), minRateAge.Seconds())
}

const (
	minRateRequests = 8
	minRateAge      = time.Second
)

// minSpendInterval is the shortest time between two samples of the settled total.
const minSpendInterval = time.Second

// observeSpent updates the spend rate from the settled total of the budget.
func (us *usage) observeSpent(now time.Time, spent ident.Tokens) {
	dt := now.Sub(us.spentAt).Seconds()
	switch {
	case us.spentAt.IsZero():
	case dt < minSpendInterval.Seconds():
		return
	case us.spendRate == 0:
		us.spendRate = float64(spent-us.spent) / dt
	default:
		us.spendRate += sampleWeight(dt, spendRateTime) * (float64(spent-us.spent)/dt - us.spendRate)
	}
	us.spent, us.spentAt = spent, now
}

// timeToExhaustion returns how long so many tokens last at the recent use of all
// holders, and false while that is not known.
func (us *usage) timeToExhaustion(left ident.Tokens) (time.Duration, bool) {
	if us.spendRate <= 0 {
		return 0, false
	}
	return time.Duration(min(float64(left)/us.spendRate, maxTimeToExhaustion.Seconds()) * float64(time.Second)), true
}

// maxTimeToExhaustion bounds the result of timeToExhaustion.
const maxTimeToExhaustion = 24 * time.Hour

// recordSettlement records that all requests so far were settled now.
func (us *usage) recordSettlement(now time.Time, requests int64) {
	us.lastSettled, us.settledRequests = now, requests
}
