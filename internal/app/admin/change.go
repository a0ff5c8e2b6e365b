package admin

import (
	"context"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// ChangeResult is the result of a configuration change.
type ChangeResult struct {
	// Revision is the accepted revision, or the base of a dry run.
	Revision ident.Revision  `json:"revision"`
	Op       ident.Op        `json:"op"`
	Changes  []config.Change `json:"changes"`
	DryRun   bool            `json:"dryRun,omitempty"`
	// Repeated means that the op was accepted before, so that this call changed
	// nothing.
	Repeated bool `json:"repeated,omitempty"`
}

// edit returns the changed configuration.
type edit func(config.Snapshot) (config.Snapshot, error)

// change submits an edit for acceptance, or only checks it in a dry run.
func (se *Service) change(ctx context.Context, co ChangeOptions, ed edit) (ChangeResult, error) {
	co = co.withOp()
	if co.DryRun {
		return se.dryRun(ctx, co, ed)
	}
	out := ChangeResult{Op: co.Op, Repeated: true}
	acc, err := se.acceptor.Change(ctx, co.By, co.Op, func(cur config.Snapshot) (config.Snapshot, error) {
		next, err := applyEdit(cur, co, ed)
		out.Repeated, out.Changes = false, config.Diff(cur, next)
		return next, err
	})
	out.Revision = acc.Revision
	if err != nil || !out.Repeated {
		return out, err
	}
	return se.completeRepeated(ctx, co, out)
}

// completeRepeated adds the changes of a repeated op to its result. It reads them
// from the audit row of the revision, and refuses an op of another operator.
func (se *Service) completeRepeated(ctx context.Context, co ChangeOptions, out ChangeResult) (ChangeResult, error) {
	au, ok, err := se.acceptor.AuditRow(ctx, out.Revision)
	switch {
	case err != nil:
		return out, err
	case !ok || au.Author != co.By:
		return out, fmt.Errorf("%w: %s", ErrOpReused, co.Op)
	}
	out.Changes = au.Changes
	return out, nil
}

// dryRun returns the result that a change would have. It writes nothing.
func (se *Service) dryRun(ctx context.Context, co ChangeOptions, ed edit) (ChangeResult, error) {
	cur, err := se.acceptor.Current(ctx)
	if err != nil {
		return ChangeResult{}, err
	}
	next, err := applyEdit(cur, co, ed)
	if err != nil {
		return ChangeResult{}, err
	}
	if finds := config.Check(next); len(finds) > 0 {
		return ChangeResult{}, &update.InvalidError{Findings: finds}
	}
	return ChangeResult{Revision: cur.Revision(), Op: co.Op, Changes: config.Diff(cur, next), DryRun: true}, nil
}

// applyEdit checks the base revision and applies the edit.
func applyEdit(cur config.Snapshot, co ChangeOptions, ed edit) (config.Snapshot, error) {
	if co.Base != nil && *co.Base != cur.Revision() {
		return cur, &update.ConflictError{Base: *co.Base, Revision: cur.Revision(), Author: cur.Author()}
	}
	return ed(cur)
}

// Current returns the current configuration in the table.
func (se *Service) Current(ctx context.Context) (config.Snapshot, error) {
	return se.acceptor.Current(ctx)
}

// Replace replaces the whole configuration. Failure domains that are closed stay so,
// because a generated configuration does not name them.
func (se *Service) Replace(ctx context.Context, co ChangeOptions, next config.Snapshot) (ChangeResult, error) {
	return se.change(ctx, co, func(cur config.Snapshot) (config.Snapshot, error) {
		for _, cd := range cur.ClosedDomains() {
			next = next.WithClosedDomain(cd.ID)
		}
		return next, nil
	})
}

// History returns up to limit audit rows after the revision, oldest first.
func (se *Service) History(ctx context.Context, after ident.Revision, limit int) ([]update.Audit, error) {
	return se.acceptor.History(ctx, after, limit)
}

// LatestAudits returns up to limit of the latest audit rows, oldest first.
func (se *Service) LatestAudits(ctx context.Context, limit int) ([]update.Audit, error) {
	cur, err := se.acceptor.Current(ctx)
	if err != nil {
		return nil, err
	}
	return se.History(ctx, cur.Revision()-min(cur.Revision(), ident.Revision(limit)), limit)
}
