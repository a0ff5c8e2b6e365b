package relay

import (
	"context"
	"errors"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// maxClaimWrites bounds the writes for one claim. A lost response uses up one
// of them.
const maxClaimWrites = 5

// acquireClaim claims the key and reports whether the call may run. Otherwise
// the run has ended with a refusal or with the stored outcome.
func (rn *run) acquireClaim(ctx context.Context) bool {
	rn.row = claim.New(rn.di.Fingerprint, rn.claimant, rn.sv.clk.Now())
	ex, rf := rn.claim(ctx)
	if rf == nil && ex == nil {
		rf = rn.recheckConditions()
	}
	switch {
	case rf != nil:
		rn.reject(rf)
	case ex != nil:
		rn.replayOutcome(*ex.Outcome)
	default:
		return true
	}
	return false
}

// claim writes the claim. It returns the record if an outcome is stored, and
// neither a record nor a refusal if the run holds the claim.
func (rn *run) claim(ctx context.Context) (*claim.Record, *refuse.Refusal) {
	var ex *claim.Record
	// uncertain means that a claim may have been written; contended means that
	// the key is or was in use.
	uncertain, contended := false, false
	for try := range maxClaimWrites {
		switch claim.Decide(ex, rn.di.Fingerprint, rn.claimant) {
		case claim.Run:
			return nil, nil
		case claim.Replay:
			return ex, nil
		case claim.KeyReused:
			return nil, refuse.New(refuse.KeyReused, "the idempotency key belongs to a different request")
		case claim.Refused:
			return nil, refuse.New(refuse.Cancelled, "the idempotency key was cancelled before the call ran")
		case claim.InProgress:
			return nil, rn.sv.unknownOutcome(rn.di, refuse.InProgress, "request %s at upstream %s holds the idempotency key", ex.Request, ex.Upstream)
		case claim.Insert:
		}
		err := rn.write(ctx)
		if err == nil {
			rn.version++
			return nil, nil
		}
		if notExecuted(err) && !uncertain && !contended {
			return nil, refuse.New(refuse.StoreUnavailable, "the claim was not written: %v", err)
		}
		contended = contended || errors.Is(err, store.ErrConflict)
		uncertain = uncertain || !notExecuted(err) && !errors.Is(err, store.ErrConflict)
		if ex, err = rn.readBack(ctx, try); err != nil {
			break
		}
	}
	return nil, rn.claimUnresolved(uncertain)
}

// claimUnresolved returns the refusal of a call whose claim could not be
// resolved at the table. A claim that may have been written is released by
// persist, so that the key can be used again.
func (rn *run) claimUnresolved(uncertain bool) *refuse.Refusal {
	if uncertain {
		rn.setPendingRow(rn.row.WithState(claim.Released))
	}
	return rn.sv.unknownOutcome(rn.di, refuse.StoreUnavailable, "it is not known who holds the idempotency key")
}

// readBack reads the row until a read succeeds, the tries are used up or ctx
// ends.
func (rn *run) readBack(ctx context.Context, try int) (*claim.Record, error) {
	for {
		ex, err := rn.read(ctx)
		if err == nil {
			return ex, nil
		}
		try++
		if try >= maxClaimWrites || !rn.pause(ctx, try) {
			return nil, err
		}
	}
}

// recheckConditions checks the conditions for new work again, because the claim
// may have taken long. If the call may no longer run, its claim is cancelled
// before the refusal is returned.
func (rn *run) recheckConditions() *refuse.Refusal {
	var rf *refuse.Refusal
	switch {
	case rn.sv.deadlinePassed(rn.di):
		rf = refuse.New(refuse.DeadlinePassed, "deadline %s passed during the claim", rn.di.Call.Deadline)
	case rn.sv.drain.closed():
		rf = refuse.New(refuse.Leaving, "the sidecar of %s is leaving", rn.sv.upstream.ID)
	case rn.sv.incarnations.gate(rn.di.Router).closed():
		rf = refuse.New(refuse.ClosedIncarnation, "router incarnation %s is closed", rn.di.Router)
	default:
		return nil
	}
	rn.setPendingRow(rn.row.WithState(claim.Cancelled))
	if rn.replace() != nil {
		out := rn.sv.unknownOutcome(rn.di, rf.Reason, "%s, and the claim could not be cancelled yet", rf.Detail)
		return out
	}
	rn.markStored()
	return rf
}

// setPendingRow makes rc the record that has to be written.
func (rn *run) setPendingRow(rc claim.Record) {
	rn.row = rc
	rn.mu.Lock()
	rn.stored = false
	rn.mu.Unlock()
}

// markStored records that no write of the row is pending.
func (rn *run) markStored() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.stored = true
	rn.leaveDrain()
}

// writePending reports whether the row must still be written.
func (rn *run) writePending() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return !rn.stored
}

// persist retries the pending write of the row until the row is decided or the
// service stops.
func (rn *run) persist() {
	for try := 0; rn.writePending(); try++ {
		err := rn.replace()
		if err == nil || errors.Is(err, errClaimLost) {
			rn.markStored()
			return
		}
		rn.sv.mtr.Count("outcomeRetries", "", "", 1)
		if !rn.pause(rn.sv.base, try) {
			rn.sv.mtr.Count("outcomesLost", "", "", 1)
			return
		}
	}
}

// replace writes the row in place of the run's own claim. After an error that
// leaves the effect of the write open, it reads the row to find out. It returns
// errClaimLost if the row cannot be replaced any more.
func (rn *run) replace() error {
	err := rn.write(rn.sv.base)
	if err == nil || notExecuted(err) {
		return err
	}
	ex, rerr := rn.read(rn.sv.base)
	switch {
	case rerr != nil:
		return rerr
	case ex == nil:
		return err
	case !ex.HeldBy(rn.claimant):
		return errClaimLost
	case ex.State == rn.row.State:
		return nil
	case ex.State != claim.Claimed:
		return errClaimLost
	}
	return err
}

// write writes the row if it still has the version that was read last.
func (rn *run) write(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, rn.sv.storeTimeout)
	defer stop()
	return rn.sv.claims.write(ctx, claim.RowKey(rn.di.Account, rn.di.Call.Key), rn.row, rn.version)
}

// read returns the record in the table, or nil, and remembers its version.
func (rn *run) read(ctx context.Context) (*claim.Record, error) {
	ctx, stop := context.WithTimeout(ctx, rn.sv.storeTimeout)
	defer stop()
	ex, version, err := rn.sv.claims.read(ctx, claim.RowKey(rn.di.Account, rn.di.Call.Key))
	if err == nil {
		rn.version = version
	}
	return ex, err
}

// pause waits for the backoff of the given try. It reports false if ctx ended.
func (rn *run) pause(ctx context.Context, try int) bool {
	tm := time.NewTimer(rn.sv.backoff << min(try, 6))
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
