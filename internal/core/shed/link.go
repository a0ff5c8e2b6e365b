// Package shed keeps the link of a router from being overloaded: it decides which
// requests are refused before their bodies are read, and whether a timeout can be
// caused by the link. Its decisions are pure: time is a parameter.
package shed

import (
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/admit"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// goalDivisor gives the part of the time until the latency goal that a request may
	// wait for the link. The rest is for its own bytes, the upstream and a retry.
	goalDivisor = 4
	// minLimit and maxLimit bound that wait. Requests arrive in bursts, so that a link
	// that is used to 90 % has waits of up to minLimit. A connection to an upstream is
	// given up after 300 ms, and its handshake waits in the same queue.
	minLimit = 60 * time.Millisecond
	maxLimit = 160 * time.Millisecond
	// rankStep is the part of the limit that each rank below the most urgent one
	// loses, down to lowestRankShare.
	rankStep        = 0.05
	lowestRankShare = 0.6
	// smallBody is the size up to which a body hardly delays others. Requests of that
	// size may wait smallFactor times as long.
	smallBody   = 2 << 10
	smallFactor = 1.4
	// dominantFactor lowers the limit of an account that uses more than half of the
	// bytes.
	dominantFactor = 0.5
	// unknownBody stands for the size of a body that is sent in chunks, and
	// maxReserved bounds what one body reserves: a large one shares the link with
	// others as it arrives.
	unknownBody = 8 << 10
	maxReserved = 32 << 10
	// headBytes is the size of a header, which is forwarded.
	headBytes = 512
	// maxQueue bounds each virtual queue, so that an error of the model ends soon.
	maxQueue = 2 * time.Second
	// spreadFactor is the multiple of the time of a response for which the link may be
	// committed, and maxCommitted bounds the time beyond it: requests that fail after
	// their admission do not need what they were expected to.
	spreadFactor = 2
	maxCommitted = 500 * time.Millisecond
	// shareWindow is the time after which the bytes of an account count less.
	shareWindow = time.Second
	// congestedWait is the wait from which the link counts as congested. A call that
	// ends with a timeout began at most congestionHold ago, when the link may have
	// been congested.
	congestedWait  = 50 * time.Millisecond
	congestionHold = 600 * time.Millisecond
	// saturationShare is the used part of the link that counts as saturated if it
	// lasts: bytes that arrive wait on the other side of the link, where the router
	// does not see them.
	saturationShare = 0.92
	saturatedWait   = 60 * time.Millisecond
	maxSaturation   = 100 * time.Millisecond
	// guaranteedShare is the part of the link up to which requests are admitted
	// whatever a round trip has shown, so that a router that refuses is in use.
	guaranteedShare = 0.5
	// minRetryDelay and maxRetryDelay bound the time after which the caller of a
	// refused request may retry it, and retryDivisor that time relative to the
	// caller's remaining time.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 120 * time.Millisecond
	retryDivisor  = 4
)

// direction is one direction of the link.
type direction struct {
	// moved is the queue of the bytes that were written, and announced that of the bodies
	// that were admitted, with all other bytes.
	moved, announced bucket
	// committed is the queue of the bodies and the expected responses of the requests
	// that were admitted.
	committed bucket
	// saturation drains at saturationShare of the rate. It fills up if the link is
	// used to more than that for long.
	saturation bucket
	// probed is the queue that a round trip has shown. The bytes in it wait on the other
	// side of the link. It counts only while the link is saturated: the target may have
	// taken the time.
	probed bucket
}

func newDirection(bytesPerSecond float64) *direction {
	ns := 1e9 / bytesPerSecond
	return &direction{
		moved: bucket{nsPerByte: ns}, announced: bucket{nsPerByte: ns},
		committed: bucket{nsPerByte: ns}, saturation: bucket{nsPerByte: ns / saturationShare},
	}
}

// count counts bytes that were read or written. Others than bodies add at most the limit
// to the queue.
func (di *direction) count(bytes int64, so Source, now int64, limit time.Duration) {
	di.saturation.add(bytes, now, maxSaturation)
	if so == Others {
		di.announced.add(bytes, now, limit)
	}
}

// wait returns how long the next byte waits behind those that are known.
func (di *direction) wait(now int64) time.Duration {
	wait := max(di.moved.wait(now), di.announced.wait(now))
	if di.saturated(now) {
		wait = max(wait, di.probed.wait(now))
	}
	return wait
}

func (di *direction) saturated(now int64) bool { return di.saturation.wait(now) >= saturatedWait }

func (di *direction) congested(now int64) bool {
	return di.wait(now) >= congestedWait || di.saturated(now)
}

// reserve adds an admitted request whose response takes the time spread.
func (di *direction) reserve(body, response, now int64, spread time.Duration) {
	di.announced.add(body+headBytes, now, maxQueue)
	di.committed.add(body+headBytes+response, now, spreadFactor*spread+maxCommitted)
}

// Link is the network link of a router, which carries the same rate in each
// direction. Its methods are safe for concurrent use.
type Link struct {
	start    time.Time
	in, out  *direction
	shares   shares
	timeouts timeouts
	repeats  repeats
	// guaranteed is the queue of the admitted requests at guaranteedShare of the rate.
	guaranteed bucket
	// bytes and seconds are the mean size and duration of the responses of each route.
	bytes, seconds *admit.MovingMeans[string]
	// congestedUntil is the time until which timeouts are taken for the link's.
	congestedUntil bucket
	random         func() float64
}

// Option configures a Link.
type Option func(*Link)

// WithRandom sets the source of random numbers from 0 to 1, for the times after which
// callers retry. The default is that of math/rand.
func WithRandom(random func() float64) Option { return func(li *Link) { li.random = random } }

// NewLink returns an unused link of a rate in megabits per second, which is above 0.
func NewLink(mbps float64, start time.Time, opts ...Option) *Link {
	rate := mbps * 1e6 / 8
	li := &Link{
		start: start, in: newDirection(rate), out: newDirection(rate),
		guaranteed: bucket{nsPerByte: 1e9 / (rate * guaranteedShare)},
		bytes:      admit.NewMovingMeans[string](0), seconds: admit.NewMovingMeans[string](0), random: rand.Float64,
	}
	for _, opt := range opts {
		opt(li)
	}
	return li
}

func (li *Link) nanos(now time.Time) int64 { return int64(now.Sub(li.start)) }

// Source says whose bytes are counted.
type Source int

const (
	// Bodies are bytes of requests, whose bodies were counted when they were admitted.
	Bodies Source = iota
	// Others are all other bytes: responses, calls to the store and to other routers.
	Others
)

// Received counts bytes that arrived over the link. They wait no more, so that they are
// no reason for a refusal if they arrived faster than the link is said to carry them.
func (li *Link) Received(bytes int, so Source, now time.Time) {
	ns := li.nanos(now)
	li.in.count(int64(bytes), so, ns, congestedWait)
	li.recordCongestion(ns)
}

// Sent counts bytes that were handed to the link, and returns how long the first of
// them waits there.
func (li *Link) Sent(bytes int, so Source, now time.Time) time.Duration {
	ns := li.nanos(now)
	li.out.count(int64(bytes), so, ns, maxQueue)
	wait := li.out.moved.add(int64(bytes), ns, maxQueue)
	li.recordCongestion(ns)
	return wait
}

// Probe is a round trip in progress that is short without a queue, such as the opening of
// a connection.
type Probe struct {
	link *Link
	// dueAt is when the round trip has passed the queue of the bytes that were sent
	// before it.
	dueAt time.Time
}

// Probe starts a round trip.
func (li *Link) Probe(now time.Time) Probe {
	return Probe{li, now.Add(li.out.wait(li.nanos(now)))}
}

// End records the end of the round trip, or that it was given up. The time that the bytes
// sent by the router don't explain was spent in the queue of the other direction.
func (pr Probe) End(now time.Time) {
	queue := min(max(0, now.Sub(pr.dueAt)), maxQueue)
	ns := pr.link.nanos(now)
	pr.link.in.probed.emptyAt.Store(ns + int64(queue))
	pr.link.recordCongestion(ns)
}

// Demand is what is known about a request when its header has arrived.
type Demand struct {
	Route   string
	Account ident.Account
	// Rank is the urgency; zero is the most urgent.
	Rank int
	// Body is the announced size of the body in bytes, or -1 if it is not known.
	Body int64
	// Goal is the time by which the request is to be responded to, and Deadline the
	// time when the caller stops waiting.
	Goal, Deadline time.Time
}

// bodyBytes returns the bytes of the body that are reserved.
func (de Demand) bodyBytes() int64 {
	if de.Body < 0 {
		return unknownBody
	}
	return min(de.Body, maxReserved)
}

// Decision is the result of an admission.
type Decision struct {
	Admitted bool
	// Wait is how long the bytes of the request are expected to wait, and Limit how
	// long they may.
	Wait, Limit time.Duration
	// RetryAt is the time at which the caller of a refused request may retry it.
	RetryAt time.Time
}

// Admit decides on a request by its header. The bodies wait on both directions of the
// link one after the other, and while they wait on the first, the second drains, so
// that the longer wait counts.
func (li *Link) Admit(de Demand, now time.Time) Decision {
	ns, window := li.nanos(now), li.window(now)
	body, response := de.bodyBytes(), int64(li.bytes.Mean(de.Route))
	wait, limit := max(li.in.wait(ns), li.out.wait(ns)), li.limit(de, now)
	// A response is spread over its time, so that the requests in progress may have
	// more bytes left than the link carries within the limit.
	spread := time.Duration(li.seconds.Mean(de.Route) * float64(time.Second))
	committed := max(li.in.committed.wait(ns), li.out.committed.wait(ns)) - spreadFactor*spread
	if expected := max(wait, committed); expected > limit && li.guaranteed.wait(ns) > 0 {
		// The bodies of refused requests may use the link unread.
		li.congestedUntil.emptyAt.Store(ns + int64(congestionHold))
		return Decision{Wait: expected, Limit: limit, RetryAt: now.Add(li.retryDelay(de, now))}
	}
	li.guaranteed.add(body+headBytes+response, ns, limit)
	li.in.reserve(body, response, ns, spread)
	li.out.reserve(body, response, ns, spread)
	li.shares.add(de.Account, body+headBytes+response, window)
	li.recordCongestion(ns)
	return Decision{Admitted: true, Wait: wait, Limit: limit}
}

func (li *Link) window(now time.Time) int64 { return li.nanos(now) / int64(shareWindow) }

// limit returns how long the request may wait for the link.
func (li *Link) limit(de Demand, now time.Time) time.Duration {
	limit := maxLimit
	for _, by := range []time.Time{de.Goal, de.Deadline} {
		if !by.IsZero() {
			limit = min(limit, by.Sub(now)/goalDivisor)
		}
	}
	factor := max(lowestRankShare, 1-rankStep*float64(de.Rank))
	if de.Body >= 0 && de.Body <= smallBody {
		factor *= smallFactor
	}
	if li.shares.dominates(de.Account, li.window(now)) {
		factor *= dominantFactor
	}
	return max(minLimit, time.Duration(float64(limit)*factor))
}

// retryDelay returns a random time after which the caller may retry. Its retry reaches
// another router, which need not become free.
func (li *Link) retryDelay(de Demand, now time.Time) time.Duration {
	longest := maxRetryDelay
	if !de.Deadline.IsZero() {
		longest = min(longest, max(0, de.Deadline.Sub(now)/retryDivisor))
	}
	shortest := min(minRetryDelay, longest)
	return shortest + time.Duration(li.random()*float64(longest-shortest))
}

// Responded records the size of a response and the time that it took.
func (li *Link) Responded(route string, bytes int64, took time.Duration) {
	li.bytes.Add(route, float64(bytes))
	li.seconds.Add(route, took.Seconds())
}

// Waits returns how long the next byte of each direction is expected to wait.
func (li *Link) Waits(now time.Time) (in, out time.Duration) {
	ns := li.nanos(now)
	return li.in.wait(ns), li.out.wait(ns)
}

// recordCongestion records whether the link is congested.
func (li *Link) recordCongestion(ns int64) {
	if li.in.congested(ns) || li.out.congested(ns) {
		li.congestedUntil.emptyAt.Store(ns + int64(congestionHold))
	}
}

// Congested reports whether a timeout that occurs now can be caused by the link: its
// queue was long within the time of a call, or several targets have timed out and none
// has responded in between.
func (li *Link) Congested(now time.Time) bool {
	return li.Busy(now) || li.timeouts.simultaneous(now)
}

// InUse reports whether admitted requests would still be on the link if it carried half
// of its rate.
func (li *Link) InUse(now time.Time) bool { return li.guaranteed.wait(li.nanos(now)) > 0 }

// Busy reports whether the queue of the link was long within the time of a call.
func (li *Link) Busy(now time.Time) bool {
	ns := li.nanos(now)
	li.recordCongestion(ns)
	return li.congestedUntil.wait(ns) > 0
}
