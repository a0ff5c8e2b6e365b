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

// commit writes head, audit and document in one transaction.
func (ac *Acceptor) commit(ctx context.Context, pr Proposal, document []byte) error {
	old, he, err := ac.current(ctx)
	if err != nil && !errors.Is(err, errMoved) {
		return err
	}
	if be := ac.behind(ctx, he); be != nil {
		return be
	}
	if err != nil || he.Revision != pr.Base {
		settled, res := ac.settle(ctx, pr)
		if !settled && res == nil {
			// The head has reached the base since it was read.
			res = errMoved
		}
		return res
	}
	writes, err := ac.writes(pr, old, he, document)
	if err != nil {
		return err
	}
	return ac.send(ctx, pr, writes)
}

// behind reads the head again when the follower is ahead of it, because the
// follower may have followed a newer acceptance in between.
func (ac *Acceptor) behind(ctx context.Context, he Head) error {
	if ac.follower == nil || he.Revision >= ac.follower.InForce().Revision {
		return nil
	}
	re := ac.follower.InForce().Revision
	he, err := ac.head(ctx)
	if err != nil || he.Revision >= re {
		return err
	}
	return &Behind{Table: he.Revision, InForce: re}
}

// writes returns the parts of the transaction.
func (ac *Acceptor) writes(pr Proposal, old config.Snapshot, he Head, document []byte) ([]store.Write, error) {
	re, at := pr.Base+1, ac.clock.Now()
	parts := split(document)
	next := Head{Revision: re, Author: pr.Author, Op: pr.Op, At: at}
	next.Kept = append(append(next.Kept, he.Kept...), Kept{Revision: re, Parts: len(parts)})
	var out []store.Write
	for len(next.Kept) > keepRevisions {
		for part := range next.Kept[0].Parts {
			out = append(out, store.Write{Key: partKey(next.Kept[0].Revision, part), IfVersion: 1, Mode: store.Delete})
		}
		next.Kept = next.Kept[1:]
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

// send commits the writes and settles answers that are lost. A commit without
// an answer may still take effect after it was read back as absent. It is
// therefore sent again unchanged: the conditions let one of the two take
// effect, and both carry the same op.
func (ac *Acceptor) send(ctx context.Context, pr Proposal, writes []store.Write) error {
	var last error
	uncertain := false
	for attempt := range ac.attempts {
		if attempt > 0 && !wait(ctx, ac.pause<<(attempt-1)) {
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
			ac.meter.Log(evUncertain, slog.Uint64("revision", uint64(pr.Base+1)), slog.String("error", last.Error()))
			uncertain = true
		}
		if settled, res := ac.settle(ctx, pr); settled {
			return res
		}
	}
	if !uncertain {
		return last
	}
	return &Unsettled{Revision: pr.Base + 1, Op: pr.Op, Err: last}
}

// settle reads back what became of the proposal. It reports false when that is
// not known. The audit row is decisive, because the head may have moved on.
func (ac *Acceptor) settle(ctx context.Context, pr Proposal) (bool, error) {
	au, ok, err := ac.audit(ctx, pr.Base+1)
	if err != nil {
		return false, err
	}
	if ok && au.Op == pr.Op {
		return true, pr.same(au)
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
			return true, pr.same(au)
		}
	}
	ac.meter.Count(mtConflicts, "", "", 1)
	ac.meter.Log(evConflict, slog.Uint64("base", uint64(pr.Base)), slog.String("author", string(pr.Author)),
		slog.Uint64("current", uint64(he.Revision)))
	return true, &Conflict{Base: pr.Base, Revision: he.Revision, Author: he.Author}
}

// same checks that the accepted document is that of the proposal.
func (pr Proposal) same(au Audit) error {
	if au.Digest != pr.digest {
		return errOpReused
	}
	return nil
}

// Find returns the audit row of a revision, to look for an op there.
func (ac *Acceptor) Find(ctx context.Context, re ident.Revision) (Audit, bool, error) {
	return ac.audit(ctx, re)
}

// wait reports whether the time passed before ctx ended.
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
