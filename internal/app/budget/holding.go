package budget

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// holding is the escrow of one budget at one holder. Requests use the atomic
// fields; rowsLock guards the other fields below it.
type holding struct {
	ref             ident.BudgetRef
	pool            escrow.Pool
	requests        atomic.Int64
	requestedTokens atomic.Int64
	avoidsOverspend atomic.Bool
	cachedRefusal   atomic.Pointer[cachedRefusal]
	// waiting is the number of tokens for which requests wait, and work what the owner of
	// the rows lock last began.
	waiting atomic.Int64
	work    atomic.Pointer[rowsWork]

	// rowsLock is held by the goroutine that writes the rows of this holding.
	// Requests wait for it only when the pool is short. It is a channel, so that
	// the wait ends with a context.
	rowsLock chan struct{}
	// grant is the last known state of the grant row.
	grant row[escrow.GrantRow]
	// issued lists the operations sent since then. While one of them may have
	// taken effect, uncertain is set and the row is read before any other write.
	issued    []ident.Op
	uncertain bool
	// closing means that Close may have deleted the grant row.
	closing bool
	// budgetRow is the last known state of the budget row, and known how many tokens were
	// committed in it.
	budgetRow escrow.BudgetRow
	known     escrow.Committed
	// era is the era of the store in which the rows are known, once they are in use.
	era   uint64
	inUse bool
	usage usage
	// lastReleaseRequest is when other holders were last asked to return
	// escrow.
	lastReleaseRequest time.Time
	// wantedByOthers is set when another holder is short of tokens of this budget.
	wantedByOthers atomic.Bool
	// lockRenewed is when a write of the grant row that extends the lock was last
	// sent. unlockSchedule is a schedule that is safe for every state that the
	// row may have now.
	lockRenewed time.Time
	// excessSince is since when more than the target of available tokens is available, and
	// shortageSince since when less is.
	excessSince, shortageSince time.Time
	unlockSchedule             unlockSchedule
	// requestingRelease is set during such a request to other holders. A holder
	// that is short itself has nothing to return, and two holders that send each
	// other requests must not wait for each other.
	requestingRelease atomic.Bool
}

// cachedRefusal is a refusal that applies until a time to all requests for at
// least the given number of tokens.
type cachedRefusal struct {
	refusal *refuse.Refusal
	until   time.Time
	tokens  ident.Tokens
}

func newHolding(rf ident.BudgetRef) *holding {
	return &holding{ref: rf, rowsLock: make(chan struct{}, 1)}
}

// recordRequest counts a request and its tokens for the rate, and records the
// preference of its client account.
func (hg *holding) recordRequest(tokens ident.Tokens, pr config.Preference) {
	hg.requests.Add(1)
	hg.requestedTokens.Add(int64(tokens))
	if avoidsOverspend := pr == config.AvoidOverspend; hg.avoidsOverspend.Load() != avoidsOverspend {
		hg.avoidsOverspend.Store(avoidsOverspend)
	}
}

func (hg *holding) preference() config.Preference {
	if hg.avoidsOverspend.Load() {
		return config.AvoidOverspend
	}
	return config.AvoidRefusal
}

func (hg *holding) lockRows(ctx context.Context) bool {
	select {
	case hg.rowsLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (hg *holding) tryLockRows() bool {
	select {
	case hg.rowsLock <- struct{}{}:
		return true
	default:
		return false
	}
}

func (hg *holding) unlockRows() { <-hg.rowsLock }

// cacheRefusal stores a refusal that applies until the given time to requests for
// at least the given number of tokens.
func (hg *holding) cacheRefusal(re *refuse.Refusal, until time.Time, tokens ident.Tokens) {
	hg.cachedRefusal.Store(&cachedRefusal{refusal: re, until: until, tokens: tokens})
}

// refusalFor returns the cached refusal that applies to a request for so many
// tokens, or nil.
func (hg *holding) refusalFor(now time.Time, tokens ident.Tokens) *refuse.Refusal {
	cr := hg.cachedRefusal.Load()
	if cr == nil || !now.Before(cr.until) || tokens < cr.tokens {
		return nil
	}
	if cr.refusal.RetryAt.IsZero() {
		return cr.refusal
	}
	// Callers that are refused for the same reason are not to retry at the same moment.
	return cr.refusal.WithRetryAt(cr.refusal.RetryAt.Add(rand.N(retrySpread)))
}

// demand describes the holding for the policy that sizes grants.
func (hd *Holder) demand(hg *holding, want ident.Tokens, prefetch bool, bud escrow.BudgetRow) escrow.Demand {
	holders := bud.Holders
	if hg.grant.val.Outstanding() == 0 {
		holders++
	}
	he := hd.opts.headroom(hg.preference())
	if left, ok := hd.timeLeft(hg); ok {
		he = he.WithTimeLeft(left)
	}
	return escrow.Demand{
		Free: bud.Free(), Holders: holders, Want: want, Prefetch: prefetch,
		Rate: hg.usage.rate, Headroom: he, Available: hg.pool.Available() + hg.pool.Counts().Locked,
	}
}

// applyRow updates the pool and the holding to the grant row of the table. Only
// this incarnation and a recovery write the row, so every difference is an effect
// of the issued operations. It reports false if the row was closed or was written
// by another process.
func (hg *holding) applyRow(ro row[escrow.GrantRow]) bool {
	old := hg.grant
	if ro.version == old.version {
		hg.grant = ro
		return ro.exists() || !old.exists()
	}
	if !ro.exists() || ro.val.Closed || !hg.wasIssued(ro.val) {
		return false
	}
	hg.record(ro)
	return true
}

// record updates the pool and the holding to a row that an issued operation has
// written.
func (hg *holding) record(ro row[escrow.GrantRow]) {
	old := hg.grant
	hg.pool.Confirm(ro.val.Settled-old.val.Settled, ro.val.Returned-old.val.Returned)
	hg.pool.ConfirmLock(ro.val.LockedTotal-old.val.LockedTotal, ro.val.UnlockedTotal-old.val.UnlockedTotal)
	hg.pool.Credit(ro.val.Drawn - old.val.Drawn)
	hg.grant, hg.issued = ro, nil
	hg.unlockSchedule = unlockScheduleOf(ro.val)
}

// recordBudget records the state of the budget row at a version.
func (hg *holding) recordBudget(br escrow.BudgetRow, version uint64) {
	hg.budgetRow, hg.known = br, br.Committed(version)
}

// wasIssued reports whether the row is the result of one of the issued
// operations.
func (hg *holding) wasIssued(gr escrow.GrantRow) bool {
	if gr.Seq != hg.grant.val.Seq+1 {
		return false
	}
	for _, op := range hg.issued {
		if op == gr.Op {
			return true
		}
	}
	return false
}
