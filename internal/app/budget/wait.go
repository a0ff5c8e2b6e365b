package budget

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

const (
	// callsPerDraw is the number of calls to the table in a draw: a read and a commit.
	callsPerDraw = 2
	// workTimeoutFactor scales the time after which a draw is given up with its expected
	// time.
	workTimeoutFactor = 2
	// retrySpread is the shortest time over which the retries of refused requests are
	// spread.
	retrySpread = 100 * time.Millisecond
)

// rowsWork is what the owner of a rows lock is doing. It is immutable.
type rowsWork struct {
	// endsAt is the expected end.
	endsAt time.Time
	// planned means that requests which arrive now are not served by it.
	planned bool
	// perToken is the time in which one more token becomes available, if tokens unlock
	// by expiry.
	perToken float64
}

// waitFor returns how long a request that arrives now waits for its tokens. waiting is
// the number of tokens for which requests wait, and draw the time of a draw.
func (rw rowsWork) waitFor(now time.Time, waiting ident.Tokens, draw time.Duration) time.Duration {
	wait := max(0, rw.endsAt.Sub(now)) + time.Duration(rw.perToken*float64(waiting))
	if rw.planned {
		wait += draw
	}
	return wait
}

// drawTime returns the expected time of a draw.
func (hd *Holder) drawTime() time.Duration { return callsPerDraw * hd.table.usual() }

// workTimeout returns the time after which a draw or a pass is given up. It leaves time
// for a slow table, whose draws take longer than a request may wait.
func (hd *Holder) workTimeout() time.Duration {
	return max(hd.opts.drawTimeout, workTimeoutFactor*hd.drawTime())
}

// startWork publishes that the owner of the rows lock makes so many calls.
func (hd *Holder) startWork(hg *holding, calls int, planned bool) {
	ends := hd.opts.clock.Now().Add(time.Duration(calls) * hd.table.usual())
	hg.work.Store(&rowsWork{endsAt: ends, planned: planned})
}

// endsBefore reports whether ctx ends within the time.
func (hd *Holder) endsBefore(ctx context.Context, wait time.Duration) bool {
	deadline, limited := ctx.Deadline()
	return limited && hd.opts.clock.Now().Add(wait).After(deadline)
}

// lockInTime locks the rows for a request. It reports false, at once if that can be
// foreseen, if the request cannot have its tokens before ctx ends.
func (hd *Holder) lockInTime(ctx context.Context, hg *holding) bool {
	if hg.tryLockRows() {
		return true
	}
	if rw := hg.work.Load(); rw != nil {
		if hd.endsBefore(ctx, rw.waitFor(hd.opts.clock.Now(), ident.Tokens(hg.waiting.Load()), hd.drawTime())) {
			return false
		}
	}
	return hg.lockRows(ctx)
}

// refuseLate returns the refusal of a request whose tokens cannot be available in time.
func (hd *Holder) refuseLate(detail string) *refuse.Refusal {
	draw := hd.drawTime()
	return refuse.New(refuse.EscrowUnavailable, "%s", detail).WithRetryAt(hd.opts.clock.Now().Add(draw + rand.N(draw+retrySpread)))
}

// drawResult is the result of a draw for a request.
type drawResult struct {
	err error
	// left means that the request did not wait for the end. The draw goes on for later
	// requests, and releases the rows lock.
	left bool
}

// drawWithin gets tokens for the request and those that wait behind it. The draw does not
// end with the request. The caller holds the rows lock.
func (hd *Holder) drawWithin(ctx context.Context, hg *holding, tokens ident.Tokens) drawResult {
	drawCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), hd.workTimeout())
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	calls := callsPerDraw
	if hd.coveredByLocked(hg, hg.wanted(tokens)) {
		calls = 1
	}
	hd.startWork(hg, calls, false)
	if hd.endsBefore(ctx, time.Duration(calls)*hd.table.usual()) {
		leave()
	}
	results := make(chan error)
	go func() {
		defer stop()
		err := hd.unlockOrDraw(drawCtx, hg, tokens)
		select {
		case results <- err:
		case <-ctx.Done():
			if err != nil {
				// Those that wait are not to try the same again.
				_ = hd.refuseDraw(hg, tokens, err)
			}
			hg.unlockRows()
		}
	}()
	select {
	case err := <-results:
		return drawResult{err: err}
	case <-ctx.Done():
		return drawResult{left: true}
	}
}

// coveredByLocked reports whether so many tokens can be unlocked with a write of the
// grant row alone.
func (hd *Holder) coveredByLocked(hg *holding, tokens ident.Tokens) bool {
	_, ok := hd.opts.timeLock.clock()
	return ok && hg.pool.Counts().Locked >= tokens
}

// wanted returns the tokens that the waiting requests lack, at least those that one of
// them does.
func (hg *holding) wanted(tokens ident.Tokens) ident.Tokens {
	return max(tokens, ident.Tokens(hg.waiting.Load())) - hg.pool.Available()
}

// drawSize returns how many tokens are drawn for a request that lacks missing ones and for
// all that wait, which lack wanted ones together. It is zero if too few are free for the
// request.
func (hd *Holder) drawSize(hg *holding, br escrow.BudgetRow, missing, wanted ident.Tokens) ident.Tokens {
	de := hd.demand(hg, max(0, missing), false, br)
	size := ident.Tokens(0)
	if missing > 0 {
		if size = hd.opts.grantSizer.GrantSize(de); size <= 0 {
			return 0
		}
	}
	// The others share the free tokens with those of other routers.
	return max(size, min(wanted, br.Free()/max(1, de.Headroom.Parts)))
}
