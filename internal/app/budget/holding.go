package budget

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// holding is the escrow of one budget at one holder. Requests use the atomic
// fields; the fields below turn belong to whoever holds the turn.
type holding struct {
	ref      ident.BudgetRef
	pool     escrow.Pool
	requests atomic.Int64
	asked    atomic.Int64
	careful  atomic.Bool
	verdict  atomic.Pointer[verdict]

	// turn is held by the one goroutine that writes the rows of this holding.
	// Requests wait for it only when the pool is short.
	turn chan struct{}
	// grant is the last known state of the grant row.
	grant row[escrow.GrantRow]
	// issued lists the operations sent since then. While one of them may have
	// taken effect, doubt is set and the row is read before any other write.
	issued []ident.Op
	doubt  bool
	// ending means that Close may have deleted the grant row.
	ending bool
	// seen is the budget row as last read or written.
	seen  escrow.BudgetRow
	usage usage
	// lastAsked is when other holders were last asked for escrow.
	lastAsked time.Time
	// wanted is set when another holder is short of this budget.
	wanted atomic.Bool
	// renewed is when the row was last sent with a time for the shelf, and
	// opening how the shelf opens by the row as it may be now.
	renewed time.Time
	opening opening
	// asking is set while they are asked. A holder that is short itself has
	// nothing to release, and two that ask each other must not wait.
	asking atomic.Bool
}

// verdict is a refusal that stands for a short time.
type verdict struct {
	refusal *refuse.Refusal
	until   time.Time
	tokens  ident.Tokens
}

func newHolding(rf ident.BudgetRef) *holding {
	return &holding{ref: rf, turn: make(chan struct{}, 1)}
}

// note records a request for the rate and the weight.
func (hg *holding) note(tokens ident.Tokens, we config.Weight) {
	hg.requests.Add(1)
	hg.asked.Add(int64(tokens))
	if careful := we == config.WeighOverspend; hg.careful.Load() != careful {
		hg.careful.Store(careful)
	}
}

func (hg *holding) weight() config.Weight {
	if hg.careful.Load() {
		return config.WeighOverspend
	}
	return config.WeighRefusal
}

func (hg *holding) lock(ctx context.Context) bool {
	select {
	case hg.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (hg *holding) tryLock() bool {
	select {
	case hg.turn <- struct{}{}:
		return true
	default:
		return false
	}
}

func (hg *holding) unlock() { <-hg.turn }

// stand makes a refusal stand until the given time for requests of at least
// this size.
func (hg *holding) stand(re *refuse.Refusal, until time.Time, tokens ident.Tokens) {
	hg.verdict.Store(&verdict{refusal: re, until: until, tokens: tokens})
}

// standing returns the refusal that applies to a request of this size.
func (hg *holding) standing(now time.Time, tokens ident.Tokens) *refuse.Refusal {
	ve := hg.verdict.Load()
	if ve == nil || !now.Before(ve.until) || tokens < ve.tokens {
		return nil
	}
	return ve.refusal
}

// demand describes the holding for the grant size policy.
func (hd *Holder) demand(hg *holding, want ident.Tokens, ahead bool, bud escrow.BudgetRow) escrow.Demand {
	holders := bud.Holders
	if hg.grant.val.Outstanding() == 0 {
		holders++
	}
	return escrow.Demand{
		Free: bud.Free(), Holders: holders, Want: want, Ahead: ahead,
		Rate: hg.usage.rate, Cover: hd.opts.cover(hg.weight()), Available: hg.pool.Available() + hg.pool.Counts().Shelf,
	}
}

// adopt takes over the grant row as the table has it. Only this incarnation
// and a recovery write the row, so every difference is an effect of the
// issued operations. It reports false if the row was closed or is not ours.
func (hg *holding) adopt(ro row[escrow.GrantRow]) bool {
	old := hg.grant
	if ro.version == old.version {
		hg.grant = ro
		return ro.exists() || !old.exists()
	}
	if !ro.exists() || ro.val.Closed || !hg.sent(ro.val) {
		return false
	}
	hg.pool.Confirm(ro.val.Settled-old.val.Settled, ro.val.Returned-old.val.Returned)
	hg.pool.ConfirmShelf(ro.val.Shelved-old.val.Shelved, ro.val.Armed-old.val.Armed)
	hg.pool.Credit(ro.val.Drawn - old.val.Drawn)
	hg.grant, hg.issued = ro, nil
	hg.opening = openingOf(ro.val)
	return true
}

// sent reports whether the row is the result of one issued operation.
func (hg *holding) sent(gr escrow.GrantRow) bool {
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
