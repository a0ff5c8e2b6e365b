package update

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Proposal is a configuration that an operator submits for acceptance.
type Proposal struct {
	// Base is the revision that the change was made from.
	Base     ident.Revision
	Snapshot config.Snapshot
	Author   ident.Operator
	// Op identifies the change. A proposal that is sent again with the same op
	// is accepted once. An empty op is replaced by a new one.
	Op ident.Op
	// digest is the SHA-256 of the encoded configuration.
	digest string
}

// opSearchRevisions is the number of latest revisions that are searched for the
// op of a repeated change.
const opSearchRevisions = 100

// Acceptance is a configuration that was committed to the table.
type Acceptance struct {
	Revision ident.Revision
	Op       ident.Op
	Snapshot config.Snapshot
}

// Acceptor checks configurations and commits them to the table.
type Acceptor struct {
	rowReader
	options
}

// NewAcceptor returns an acceptor.
func NewAcceptor(ta store.Table, co Codecs, opts ...Option) *Acceptor {
	return &Acceptor{rowReader: rowReader{ta, co}, options: newOptions(opts)}
}

// Current returns the configuration in the table. It has revision 0 before the
// first acceptance.
func (ac *Acceptor) Current(ctx context.Context) (config.Snapshot, error) {
	sn, _, err := ac.current(ctx)
	if errors.Is(err, errSuperseded) {
		sn, _, err = ac.current(ctx)
	}
	return sn, err
}

// History returns up to limit audit rows after the given revision.
func (ac *Acceptor) History(ctx context.Context, after ident.Revision, limit int) ([]Audit, error) {
	items, err := ac.table.Scan(ctx, auditPrefix, auditKey(after), limit)
	if err != nil {
		return nil, err
	}
	out := make([]Audit, 0, len(items))
	for _, it := range items {
		au, err := ac.codecs.Audit.Decode(it.Value)
		if err != nil {
			return nil, fmt.Errorf("update: row %s: %w", it.Key, err)
		}
		out = append(out, au)
	}
	return out, nil
}

// Change applies an operator's change to the current configuration. If another
// change is accepted in between, Change returns *ConflictError and does not
// apply the change to the newer configuration, because the operator has not seen
// it.
func (ac *Acceptor) Change(ctx context.Context, author ident.Operator, op ident.Op, change func(config.Snapshot) (config.Snapshot, error)) (Acceptance, error) {
	cur, err := ac.Current(ctx)
	if err != nil {
		return Acceptance{}, err
	}
	if done, ok, err := ac.findAccepted(ctx, cur, op); ok || err != nil {
		return done, err
	}
	next, err := change(cur)
	if err != nil {
		return Acceptance{}, err
	}
	return ac.Accept(ctx, Proposal{Base: cur.Revision(), Snapshot: next, Author: author, Op: op})
}

// findAccepted returns the acceptance of a change that was sent again, if its op
// is among the last opSearchRevisions revisions.
func (ac *Acceptor) findAccepted(ctx context.Context, cur config.Snapshot, op ident.Op) (Acceptance, bool, error) {
	if op == "" {
		return Acceptance{}, false, nil
	}
	after := cur.Revision() - min(cur.Revision(), opSearchRevisions)
	rows, err := ac.History(ctx, after, opSearchRevisions)
	if err != nil {
		return Acceptance{}, false, err
	}
	for _, au := range rows {
		if au.Op == op {
			return Acceptance{Revision: au.Revision, Op: op, Snapshot: cur}, true, nil
		}
	}
	return Acceptance{}, false, nil
}

// Accept makes the proposal the current configuration, or returns *InvalidError,
// *ConflictError, *TableBehindError, *UnknownOutcomeError or an error of the
// table. When it returns an error other than *UnknownOutcomeError, this call has
// written nothing.
func (ac *Acceptor) Accept(ctx context.Context, pr Proposal) (Acceptance, error) {
	if pr.Op == "" {
		pr.Op = ident.NewOp()
	}
	pr.Snapshot = pr.Snapshot.WithRevision(pr.Base+1, pr.Author)
	findings := config.Check(pr.Snapshot)
	if pr.Author == "" {
		findings = append(findings, config.Finding{Path: "author", Text: "the author is missing"})
	}
	if len(findings) > 0 {
		return Acceptance{}, &InvalidError{Findings: findings}
	}
	document, err := ac.codecs.Config.Encode(pr.Snapshot)
	if err != nil {
		return Acceptance{}, err
	}
	if parts := len(split(document)); parts > maxParts {
		return Acceptance{}, &InvalidError{Findings: []config.Finding{{
			Path: "configuration", Text: fmt.Sprintf("the document has %d bytes, at most %d are allowed", len(document), maxParts*partBytes),
		}}}
	}
	pr.digest = digest(document)
	if err := ac.commit(ctx, pr, document); err != nil {
		return Acceptance{}, err
	}
	ac.publish(ctx, pr, document)
	return Acceptance{Revision: pr.Base + 1, Op: pr.Op, Snapshot: pr.Snapshot}, nil
}

// publish logs and counts an accepted configuration, passes it to the follower
// of this process and stores its document in the archive.
func (ac *Acceptor) publish(ctx context.Context, pr Proposal, document []byte) {
	re := pr.Snapshot.Revision()
	ac.meter.Log(evAccepted, slog.Uint64("revision", uint64(re)), slog.String("author", string(pr.Author)))
	ac.meter.Count(mtAccepted, "", "", 1)
	if ac.follower != nil {
		ac.follower.apply(pr.Snapshot, document, "acceptance")
	}
	if ac.archive != nil {
		ac.archive.Store(ctx, re, document)
	}
}
