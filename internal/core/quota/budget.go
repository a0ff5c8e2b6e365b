package quota

import (
	"sync"
	"sync/atomic"
	"time"
)

// reserveDivisor divides the limit; the quotient is the reserve, which only some fixed
// claims may use. Without it, claims that never give way could keep all others out.
const reserveDivisor = 4

// Budget divides an amount among claims. It is safe for concurrent use.
type Budget[O Order] struct {
	limit int64
	order O

	mu     sync.Mutex
	used   int64
	fixed  int64
	leases []*Lease
	shares map[string]*share
}

// share is what the claims of one owner hold together.
type share struct {
	owner        string
	held, leases int64
}

// New returns a budget of the amount. Without a limit above zero, all claims fit.
func New[O Order](limit int64, order O) *Budget[O] {
	return &Budget[O]{limit: limit, order: order, shares: map[string]*share{}}
}

// Lease is a claim in a budget. One goroutine changes it; the budget may evict it at
// any time.
type Lease struct {
	claim Claim
	evict func()
	share *share
	// index is the place of the lease in the budget, or -1.
	index int
	// evicted is set before evict is called.
	evicted atomic.Bool
}

// Evicted reports whether the lease had to give way.
func (le *Lease) Evicted() bool { return le.evicted.Load() }

// Claim returns the claim as its owner last set it.
func (le *Lease) Claim() Claim { return le.claim }

func (le *Lease) standing() Standing { return Standing{Claim: le.claim, Share: le.share.held} }

// Used returns the amount in use.
func (bu *Budget[O]) Used() int64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.used
}

// Admits reports whether a claim for the amount that is left in it could be met, from
// what is free and from claims that would give way to it.
func (bu *Budget[O]) Admits(cl Claim, now time.Time) bool {
	if bu.limit <= 0 {
		return true
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if !bu.order.MayUseReserve(cl) && bu.fixed+cl.Left > bu.limit-bu.limit/reserveDivisor {
		return false
	}
	available := bu.limit - bu.used
	if available >= cl.Left {
		return true
	}
	st := Standing{Claim: cl, Share: cl.Left}
	own := bu.shares[cl.Owner]
	if own != nil {
		st.Share += own.held
	}
	for _, le := range bu.leases {
		other := le.standing()
		if le.share == own {
			other.Share = st.Share
		}
		if !le.claim.Fixed && bu.order.Before(other, st, now) {
			available += le.claim.Held
		}
	}
	return available >= cl.Left
}

// Open adds a claim. evict is called once if the claim has to give way; it must not
// block and not use the budget. The lease must be closed. Open returns nil if the claim
// itself gives way.
func (bu *Budget[O]) Open(cl Claim, evict func(), now time.Time) *Lease {
	le := &Lease{evict: evict}
	bu.mu.Lock()
	bu.add(le, cl.Owner)
	victims := bu.set(le, cl, now)
	bu.mu.Unlock()
	return finish(le, victims)
}

// Set replaces the claim of a lease. Other claims give way until it fits. Set reports
// false if the lease itself has given way, now or before. A claim gives way instead of
// becoming fixed if the fixed ones would use the reserve.
func (bu *Budget[O]) Set(le *Lease, cl Claim, now time.Time) bool {
	bu.mu.Lock()
	if le.Evicted() {
		bu.mu.Unlock()
		return false
	}
	victims := bu.set(le, cl, now)
	bu.mu.Unlock()
	return finish(le, victims) != nil
}

// Close removes the claim of a lease.
func (bu *Budget[O]) Close(le *Lease) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.remove(le)
}

// finish calls evict for all victims but the lease itself, and returns nil if that is
// among them.
func finish(le *Lease, victims []*Lease) *Lease {
	kept := le
	for _, vi := range victims {
		if vi == le {
			kept = nil
			continue
		}
		vi.evict()
	}
	return kept
}

// set changes the claim, but not its owner, and returns the leases that give way.
func (bu *Budget[O]) set(le *Lease, cl Claim, now time.Time) (victims []*Lease) {
	cl.Owner = le.share.owner
	bu.charge(le.share, le.claim, cl)
	le.claim = cl
	if cl.Fixed && bu.limit > 0 && bu.fixed > bu.limit-bu.limit/reserveDivisor && !bu.order.MayUseReserve(cl) {
		le.evicted.Store(true)
		bu.remove(le)
		return []*Lease{le}
	}
	for bu.limit > 0 && bu.used > bu.limit {
		vi := bu.first(now)
		if vi == nil {
			vi = le
		}
		vi.evicted.Store(true)
		bu.remove(vi)
		victims = append(victims, vi)
		if vi == le {
			break
		}
	}
	return victims
}

// first returns the lease that gives way first, or nil if all are fixed.
func (bu *Budget[O]) first(now time.Time) *Lease {
	var first *Lease
	for _, le := range bu.leases {
		if !le.claim.Fixed && (first == nil || bu.order.Before(le.standing(), first.standing(), now)) {
			first = le
		}
	}
	return first
}

func (bu *Budget[O]) add(le *Lease, owner string) {
	sh := bu.shares[owner]
	if sh == nil {
		sh = &share{owner: owner}
		bu.shares[owner] = sh
	}
	sh.leases++
	le.share, le.index = sh, len(bu.leases)
	bu.leases = append(bu.leases, le)
}

func (bu *Budget[O]) remove(le *Lease) {
	if le.index < 0 {
		return
	}
	bu.charge(le.share, le.claim, Claim{})
	last := bu.leases[len(bu.leases)-1]
	bu.leases[le.index], last.index = last, le.index
	bu.leases[len(bu.leases)-1] = nil
	bu.leases, le.index = bu.leases[:len(bu.leases)-1], -1
	if le.share.leases--; le.share.leases == 0 {
		delete(bu.shares, le.share.owner)
	}
}

// charge replaces a claim by another one of the same owner in the sums.
func (bu *Budget[O]) charge(sh *share, old, next Claim) {
	bu.used += next.Held - old.Held
	sh.held += next.Held - old.Held
	if old.Fixed {
		bu.fixed -= old.Held
	}
	if next.Fixed {
		bu.fixed += next.Held
	}
}
