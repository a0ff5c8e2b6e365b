package update

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// commit writes the head, the audit row and the document in one transaction. If
// the base is not the current revision, it returns the outcome of an earlier
// attempt with the same op, or a conflict.
func (ac *Acceptor) commit(ctx context.Context, pr Proposal, document []byte) error {
	old, he, err := ac.current(ctx)
	if err != nil && !errors.Is(err, errSuperseded) {
		return err
	}
	if tb := ac.checkNotBehind(ctx, he); tb != nil {
		return tb
	}
	if err != nil || he.Revision != pr.Base {
		known, res := ac.readOutcome(ctx, pr)
		if !known && res == nil {
			// The head has reached the base since it was read.
			res = errSuperseded
		}
		return res
	}
	writes, err := ac.writes(pr, old, he, document)
	if err != nil {
		return err
	}
	return ac.commitWithRetry(ctx, pr, writes)
}

// checkNotBehind returns *TableBehindError if the table holds an older revision
// than the follower. It reads the head again first, because the follower may
// have applied a revision that was accepted after the first read.
func (ac *Acceptor) checkNotBehind(ctx context.Context, he Head) error {
	if ac.follower == nil || he.Revision >= ac.follower.InForce().Revision {
		return nil
	}
	re := ac.follower.InForce().Revision
	he, err := ac.head(ctx)
	if err != nil || he.Revision >= re {
		return err
	}
	return &TableBehindError{Table: he.Revision, InForce: re}
}

// writes returns the writes of the transaction, including the deletion of
// documents that are no longer retained.
func (ac *Acceptor) writes(pr Proposal, old config.Snapshot, he Head, document []byte) ([]store.Write, error) {
	re, at := pr.Base+1, ac.clock.Now()
	parts := split(document)
	next := Head{Revision: re, Author: pr.Author, Op: pr.Op, At: at}
	next.Documents = append(append(next.Documents, he.Documents...), StoredDocument{Revision: re, Parts: len(parts)})
	var out []store.Write
	for len(next.Documents) > retainedRevisions {
		for part := range next.Documents[0].Parts {
			out = append(out, store.Write{Key: partKey(next.Documents[0].Revision, part), IfVersion: 1, Mode: store.Delete})
		}
		next.Documents = next.Documents[1:]
	}
	for ix, pa := range parts {
		out = append(out, store.Write{Key: partKey(re, ix), Value: pa})
	}
	headRow, err := ac.codecs.Head.Encode(next)
	if err != nil {
		return nil, err
	}
	auditRow, err := ac.codecs.Audit.Encode(Audit{
		Revision: re, Author: pr.Author, Op: pr.Op, At: at, Digest: pr.digest,
		Changes: config.Diff(old, pr.Snapshot),
	})
	if err != nil {
		return nil, err
	}
	return append(out,
		store.Write{Key: headKey, Value: headRow, IfVersion: he.version},
		store.Write{Key: auditKey(re), Value: auditRow},
	), nil
}

// commitWithRetry commits the writes and reads back the outcome when a response
// is lost. A commit without a response may still take effect after it was read
// back as absent. It is therefore sent again unchanged: the conditions let only
// one of the two take effect, and both carry the same op.
func (ac *Acceptor) commitWithRetry(ctx context.Context, pr Proposal, writes []store.Write) error {
	var last error
	uncertain := false
	for attempt := range ac.maxAttempts {
		if attempt > 0 && !wait(ctx, ac.retryDelay<<(attempt-1)) {
			break
		}
		last = ac.table.Commit(ctx, writes...)
		switch {
		case last == nil:
			return nil
		case errors.Is(last, store.ErrConflict):
		case errors.Is(last, store.ErrThrottled), errors.Is(last, store.ErrUnavailable):
			// This attempt wrote nothing, but an earlier one may still take
			// effect.
			if !uncertain {
				return last
			}
		default:
			ac.meter.Log(evCommitUncertain, slog.Uint64("revision", uint64(pr.Base+1)), slog.String("error", last.Error()))
			uncertain = true
		}
		if known, res := ac.readOutcome(ctx, pr); known {
			return res
		}
	}
	if !uncertain {
		return last
	}
	return &UnknownOutcomeError{Revision: pr.Base + 1, Op: pr.Op, Err: last}
}

// readOutcome reads back the outcome of the proposal. It reports false when the
// outcome is not known. The audit row decides, because the head may already be
// that of a later revision.
func (ac *Acceptor) readOutcome(ctx context.Context, pr Proposal) (bool, error) {
	au, ok, err := ac.audit(ctx, pr.Base+1)
	if err != nil {
		return false, err
	}
	if ok && au.Op == pr.Op {
		return true, pr.checkDigest(au)
	}
	he, err := ac.head(ctx)
	if err != nil {
		return false, err
	}
	if !ok && he.Revision == pr.Base {
		return false, nil
	}
	if !ok && he.Revision > pr.Base {
		// The row may have been written between the two reads.
		if au, ok, err = ac.audit(ctx, pr.Base+1); err != nil {
			return false, err
		}
		if ok && au.Op == pr.Op {
			return true, pr.checkDigest(au)
		}
	}
	ac.meter.Count(mtConflicts, "", "", 1)
	ac.meter.Log(evConflict, slog.Uint64("base", uint64(pr.Base)), slog.String("author", string(pr.Author)),
		slog.Uint64("current", uint64(he.Revision)))
	return true, &ConflictError{Base: pr.Base, Revision: he.Revision, Author: he.Author}
}

// checkDigest returns errOpReused if the accepted document is not that of the
// proposal.
func (pr Proposal) checkDigest(au Audit) error {
	if au.Digest != pr.digest {
		return errOpReused
	}
	return nil
}

// AuditRow returns the audit row of a revision and whether it exists.
func (ac *Acceptor) AuditRow(ctx context.Context, re ident.Revision) (Audit, bool, error) {
	return ac.audit(ctx, re)
}

// wait waits for the duration and reports whether it passed before ctx ended.
func wait(ctx context.Context, du time.Duration) bool {
	ti := time.NewTimer(du)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}
