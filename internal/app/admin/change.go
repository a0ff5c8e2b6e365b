package admin

import (
	"context"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Changed is the result of a change of the configuration.
type Changed struct {
	// Revision is the accepted revision, or the base of a dry run.
	Revision ident.Revision  `json:"revision"`
	Op       ident.Op        `json:"op"`
	Changes  []config.Change `json:"changes"`
	DryRun   bool            `json:"dryRun,omitempty"`
	// Repeated says that the op had been accepted before, so that this call
	// changed nothing.
	Repeated bool `json:"repeated,omitempty"`
}

// edit returns the configuration after a change.
type edit func(config.Snapshot) (config.Snapshot, error)

// change accepts an edit, or only checks it in a dry run.
func (se *Service) change(ctx context.Context, te Terms, ed edit) (Changed, error) {
	te = te.withOp()
	if te.DryRun {
		return se.try(ctx, te, ed)
	}
	out := Changed{Op: te.Op, Repeated: true}
	acc, err := se.acceptor.Change(ctx, te.By, te.Op, func(cur config.Snapshot) (config.Snapshot, error) {
		next, err := applied(cur, te, ed)
		out.Repeated, out.Changes = false, config.Diff(cur, next)
		return next, err
	})
	out.Revision = acc.Revision
	if err != nil || !out.Repeated {
		return out, err
	}
	return se.accepted(ctx, te, out)
}

// accepted completes the answer to a repeated op from the audit, so that the
// operator sees which changes the op stands for.
func (se *Service) accepted(ctx context.Context, te Terms, out Changed) (Changed, error) {
	au, ok, err := se.acceptor.Find(ctx, out.Revision)
	switch {
	case err != nil:
		return out, err
	case !ok || au.Author != te.By:
		return out, fmt.Errorf("%w: %s", ErrOpReused, te.Op)
	}
	out.Changes = au.Changes
	return out, nil
}

// try reports what a change would do. It writes nothing.
func (se *Service) try(ctx context.Context, te Terms, ed edit) (Changed, error) {
	cur, err := se.acceptor.Current(ctx)
	if err != nil {
		return Changed{}, err
	}
	next, err := applied(cur, te, ed)
	if err != nil {
		return Changed{}, err
	}
	if finds := config.Check(next); len(finds) > 0 {
		return Changed{}, &update.Invalid{Findings: finds}
	}
	return Changed{Revision: cur.Revision(), Op: te.Op, Changes: config.Diff(cur, next), DryRun: true}, nil
}

func applied(cur config.Snapshot, te Terms, ed edit) (config.Snapshot, error) {
	if te.Base != nil && *te.Base != cur.Revision() {
		return cur, &update.Conflict{Base: *te.Base, Revision: cur.Revision(), Author: cur.Author()}
	}
	return ed(cur)
}

// Current returns the configuration in the table.
func (se *Service) Current(ctx context.Context) (config.Snapshot, error) {
	return se.acceptor.Current(ctx)
}

// Replace makes the whole configuration the given one.
func (se *Service) Replace(ctx context.Context, te Terms, next config.Snapshot) (Changed, error) {
	return se.change(ctx, te, func(config.Snapshot) (config.Snapshot, error) { return next, nil })
}

// History returns up to limit audit rows after the revision, oldest first.
func (se *Service) History(ctx context.Context, after ident.Revision, limit int) ([]update.Audit, error) {
	return se.acceptor.History(ctx, after, limit)
}

// Latest returns the last audit rows, oldest first.
func (se *Service) Latest(ctx context.Context, limit int) ([]update.Audit, error) {
	cur, err := se.acceptor.Current(ctx)
	if err != nil {
		return nil, err
	}
	return se.History(ctx, cur.Revision()-min(cur.Revision(), ident.Revision(limit)), limit)
}
