package relay

import (
	"context"
	"errors"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// claimTries bounds the writes for one claim. A lost answer costs one try.
const claimTries = 5

// acquire claims the key and reports whether the call may run. Otherwise the
// run has ended with a refusal or with the stored outcome.
func (rn *run) acquire(ctx context.Context) bool {
	rn.row = claim.New(rn.di.Fingerprint, rn.as, rn.sv.clk.Now())
	ex, rf := rn.claim(ctx)
	if rf == nil && ex == nil {
		rf = rn.recheck()
	}
	switch {
	case rf != nil:
		rn.reject(rf)
	case ex != nil:
		rn.restore(*ex.Outcome)
	default:
		return true
	}
	return false
}

// claim writes the claim. It returns the record if an outcome is stored.
func (rn *run) claim(ctx context.Context) (*claim.Record, *refuse.Refusal) {
	var ex *claim.Record
	// sent means that a claim may have been written; met means that the key is
	// or was in use.
	sent, met := false, false
	for try := range claimTries {
		switch claim.Decide(ex, rn.di.Fingerprint, rn.as) {
		case claim.Run:
			return nil, nil
		case claim.Replay:
			return ex, nil
		case claim.KeyReused:
			return nil, refuse.New(refuse.KeyReused, "the key belongs to another request")
		case claim.Refused:
			return nil, refuse.New(refuse.Cancelled, "the key was cancelled before the call ran")
		case claim.InProgress:
			return nil, rn.sv.unknown(rn.di, refuse.InProgress, "request %s holds the key at %s", ex.Request, ex.Upstream)
		case claim.Insert:
		}
		err := rn.write(ctx)
		if err == nil {
			rn.version++
			return nil, nil
		}
		if unsent(err) && !sent && !met {
			return nil, refuse.New(refuse.StoreUnavailable, "the claim was not written: %v", err)
		}
		met = met || errors.Is(err, store.ErrConflict)
		sent = sent || !unsent(err) && !errors.Is(err, store.ErrConflict)
		if ex, err = rn.readBack(ctx, try); err != nil {
			break
		}
	}
	return nil, rn.unresolved(sent)
}

// unresolved returns the refusal when the table stopped answering. A claim
// that may have been written is given up in the background, so that the key
// can be used again.
func (rn *run) unresolved(sent bool) *refuse.Refusal {
	if sent {
		rn.owe(rn.row.WithState(claim.Released))
	}
	return rn.sv.unknown(rn.di, refuse.StoreUnavailable, "the table did not say who holds the key")
}

// readBack reads the row until the table answers or the call's time is over.
func (rn *run) readBack(ctx context.Context, try int) (*claim.Record, error) {
	for {
		ex, err := rn.read(ctx)
		if err == nil {
			return ex, nil
		}
		try++
		if try >= claimTries || !rn.pause(ctx, try) {
			return nil, err
		}
	}
}

// recheck tests the conditions for new work again, because the claim may have
// taken long. A call that may not run any more gives its claim up first.
func (rn *run) recheck() *refuse.Refusal {
	var rf *refuse.Refusal
	switch {
	case rn.sv.late(rn.di):
		rf = refuse.New(refuse.DeadlinePassed, "deadline %s passed during the claim", rn.di.Call.Deadline)
	case rn.sv.leaving.closed():
		rf = refuse.New(refuse.Leaving, "the sidecar of %s is leaving", rn.sv.upstream.ID)
	case rn.sv.books.gate(rn.di.Router).closed():
		rf = refuse.New(refuse.ClosedIncarnation, "router incarnation %s is closed", rn.di.Router)
	default:
		return nil
	}
	rn.owe(rn.row.WithState(claim.Cancelled))
	if rn.replace() != nil {
		out := rn.sv.unknown(rn.di, rf.Reason, "%s, and the claim could not be cancelled yet", rf.Detail)
		return out
	}
	rn.paidUp()
	return rf
}

// owe notes that the row must become rc.
func (rn *run) owe(rc claim.Record) {
	rn.row = rc
	rn.mu.Lock()
	rn.stored = false
	rn.mu.Unlock()
}

// paidUp notes that the row is as it must be.
func (rn *run) paidUp() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.stored = true
	rn.settle()
}

// owes reports whether the row must still be written.
func (rn *run) owes() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return !rn.stored
}

// persist writes the row until the table has it or the service stops.
func (rn *run) persist() {
	for try := 0; rn.owes(); try++ {
		err := rn.replace()
		if err == nil || errors.Is(err, errTaken) {
			rn.paidUp()
			return
		}
		rn.sv.mtr.Count("outcomeRetries", "", "", 1)
		if !rn.pause(rn.sv.base, try) {
			rn.sv.mtr.Count("outcomesLost", "", "", 1)
			return
		}
	}
}

// replace writes the row in place of the run's own claim.
func (rn *run) replace() error {
	err := rn.write(rn.sv.base)
	if err == nil || unsent(err) {
		return err
	}
	ex, rerr := rn.read(rn.sv.base)
	switch {
	case rerr != nil:
		return rerr
	case ex == nil:
		return err
	case !ex.HeldBy(rn.as):
		return errTaken
	case ex.State == rn.row.State:
		return nil
	case ex.State != claim.Claimed:
		return errTaken
	}
	return err
}

// write puts the row if it still has the version that was read last.
func (rn *run) write(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, rn.sv.storeWait)
	defer stop()
	return rn.sv.claims.write(ctx, claim.Row(rn.di.Account, rn.di.Call.Key), rn.row, rn.version)
}

// read returns the record and notes its version.
func (rn *run) read(ctx context.Context) (*claim.Record, error) {
	ctx, stop := context.WithTimeout(ctx, rn.sv.storeWait)
	defer stop()
	ex, version, err := rn.sv.claims.read(ctx, claim.Row(rn.di.Account, rn.di.Call.Key))
	if err == nil {
		rn.version = version
	}
	return ex, err
}

// pause waits before another try and reports whether ctx is still open.
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
