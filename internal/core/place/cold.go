package place

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// ColdLimit bounds the requests to the cold upstreams of a service. The zero value means
// that its upstreams are never cold.
type ColdLimit struct {
	// Time is how long an upstream stays cold unless it reports otherwise.
	Time time.Duration
	// Rate is the number of requests a second that all routers together may send to one
	// cold upstream.
	Rate float64
}

// IsZero reports whether the upstreams of the service are never cold.
func (cl ColdLimit) IsZero() bool { return cl.Time <= 0 || !(cl.Rate > 0) }

// quota returns the rate that routers divide among themselves. An upstream tolerates
// 1.5 times the rate plus 5 requests in one second. Half of that allows for a change
// of the routers during which each is known only to a part of the others.
func (cl ColdLimit) quota() float64 { return min(cl.Rate, 0.75*cl.Rate+2.5) }

// ColdView gives what the capacity of cold upstreams depends on. Each value is an
// immutable snapshot.
type ColdView interface {
	// ColdLimit returns the limit of a service.
	ColdLimit(service ident.Service) ColdLimit
	// Routers returns the routers that are known.
	Routers() Routers
}

// Routers is the routers of a deployment as one of them knows them. It is immutable. The
// zero value knows none.
type Routers struct{ list *routerList }

type routerList struct {
	own    uint64
	others []uint64
	from   time.Time
}

// NewRouters returns the routers with the VMs, which include the own one. Until the time
// from, the router sends nothing to cold upstreams, because it does not know what the
// previous process on its VM has sent.
func NewRouters(own ident.VM, from time.Time, all ...ident.VM) Routers {
	rl := &routerList{own: xxhash.Sum64String(string(own)), from: from}
	for _, vm := range all {
		if vm != own {
			rl.others = append(rl.others, xxhash.Sum64String(string(vm)))
		}
	}
	return Routers{rl}
}

// share is the part of the capacity of a cold upstream that one router may use: one
// request in each interval. The interval is zero if it may send none.
type share struct {
	interval time.Duration
	// phase is the time until the first request, which keeps the routers from sending
	// theirs at the same time.
	phase time.Duration
}

// share divides the requests of each second among the routers: each gets the same whole
// number, and those that come first in the rendezvous order of upstream and router get
// one more. A rate below one request a second belongs to the first router.
func (rs Routers) share(upstream uint64, cl ColdLimit) share {
	if rs.list == nil {
		return share{}
	}
	rank, score := 0, mix(upstream^rs.list.own)
	for _, other := range rs.list.others {
		if sc := mix(upstream ^ other); sc > score || sc == score && other > rs.list.own {
			rank++
		}
	}
	quota, count := cl.quota(), len(rs.list.others)+1
	perSecond := math.Floor(quota / float64(count))
	if left := quota - perSecond*float64(count); float64(rank+1) <= left {
		perSecond++
	}
	if quota < 1 && rank == 0 {
		perSecond = quota
	}
	if perSecond <= 0 {
		return share{}
	}
	interval := float64(time.Second) / perSecond
	return share{interval: time.Duration(interval), phase: time.Duration(interval * float64(score>>11) / (1 << 53))}
}

// cold is what a router knows about whether an upstream is cold. All times are those of
// state.nanos.
type cold struct {
	// until is the end of the cold time.
	until atomic.Pointer[coldEnd]
	// nextAt is when this router may send the next request to the cold upstream.
	nextAt atomic.Int64
	// cached is the share that was computed last.
	cached atomic.Pointer[cachedShare]
}

// coldEnd is when an upstream stops being cold. exact says that the upstream reported it
// in a response.
type coldEnd struct {
	at    int64
	exact bool
}

// cachedShare is a share with what it depends on.
type cachedShare struct {
	share
	routers *routerList
	limit   ColdLimit
}

// SetCold records until when the upstream is cold according to its entry, or a time that
// has passed. An entry may have been written before a response of the upstream, so that it
// only extends what a response reported.
func (ep *Endpoint) SetCold(until, now time.Time) { ep.updateCold(until, now, false) }

// ReportedCold records until when the upstream is cold according to a response.
func (ep *Endpoint) ReportedCold(until, now time.Time) { ep.updateCold(until, now, true) }

func (ep *Endpoint) updateCold(until, now time.Time, exact bool) {
	at, st := ep.state.nanos(now), &ep.state.cold
	next := &coldEnd{at: ep.state.nanos(until), exact: exact}
	for {
		old := st.until.Load()
		if old == nil && next.at <= at || !exact && old != nil && old.exact && next.at <= old.at {
			return
		}
		if !st.until.CompareAndSwap(old, next) {
			continue
		}
		if next.at > at && (old == nil || old.at <= at) {
			ep.delayCold(at)
		}
		return
	}
}

// delayCold sets when the first request may be sent to an upstream that became cold.
func (ep *Endpoint) delayCold(at int64) {
	sh, _ := ep.share()
	first := at + int64(sh.phase)
	for old := ep.state.cold.nextAt.Load(); first > old && !ep.state.cold.nextAt.CompareAndSwap(old, first); old = ep.state.cold.nextAt.Load() {
	}
}

// assumeCold records that the upstream is cold for the time of its service unless it
// reports otherwise.
func (ep *Endpoint) assumeCold(now time.Time) {
	if ep.view == nil {
		return
	}
	if left := ep.view.ColdLimit(ep.Service).Time; left > ep.ColdLeft(now) {
		ep.SetCold(now.Add(left), now)
	}
}

// IsCold reports whether the upstream tolerates only few requests.
func (ep *Endpoint) IsCold(now time.Time) bool { return ep.ColdLeft(now) > 0 }

// ColdLeft returns how long the upstream stays cold, as far as it is known, or zero.
func (ep *Endpoint) ColdLeft(now time.Time) time.Duration {
	ce := ep.state.cold.until.Load()
	if ce == nil || ep.view == nil {
		return 0
	}
	left := time.Duration(ce.at - ep.state.nanos(now))
	if left <= 0 || ep.view.ColdLimit(ep.Service).IsZero() {
		return 0
	}
	return left
}

// share returns this router's share of the capacity of the upstream while it is cold, and
// when the router may begin to use it.
func (ep *Endpoint) share() (sh share, from time.Time) {
	if ep.view == nil {
		return share{}, time.Time{}
	}
	rs, cl := ep.view.Routers(), ep.view.ColdLimit(ep.Service)
	if rs.list == nil {
		return share{}, time.Time{}
	}
	cs := ep.state.cold.cached.Load()
	if cs == nil || cs.routers != rs.list || cs.limit != cl {
		cs = &cachedShare{share: rs.share(ep.hash, cl), routers: rs.list, limit: cl}
		ep.state.cold.cached.Store(cs)
	}
	return cs.share, rs.list.from
}

// coldWait returns how long a request to the upstream has to wait because it is cold, or
// zero. It reports false if this router may send none until the upstream is warm.
func (ep *Endpoint) coldWait(now time.Time) (wait time.Duration, ok bool) {
	left := ep.ColdLeft(now)
	if left == 0 {
		return 0, true
	}
	sh, from := ep.share()
	if sh.interval == 0 {
		return left, false
	}
	next := time.Duration(ep.state.cold.nextAt.Load() - ep.state.nanos(now))
	return min(left, max(0, next, from.Sub(now))), true
}

// Take reserves the sending of one request. It fails if the upstream is cold and this
// router has no capacity there. cold says that capacity of a cold upstream was used.
func (ep *Endpoint) Take(now time.Time) (cold, ok bool) {
	for ep.IsCold(now) {
		old := ep.state.cold.nextAt.Load()
		if wait, ok := ep.coldWait(now); !ok || wait > 0 {
			return true, false
		}
		sh, _ := ep.share()
		if sh.interval > 0 && ep.state.cold.nextAt.CompareAndSwap(old, ep.state.nanos(now)+int64(sh.interval)) {
			return true, true
		}
	}
	return false, true
}
