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

// Proposal is a configuration that an operator wants to be accepted.
type Proposal struct {
	// Base is the revision that the change was made from.
	Base     ident.Revision
	Snapshot config.Snapshot
	Author   ident.Operator
	// Op identifies the change. A proposal that is sent again with the same op
	// is accepted once. An empty op is replaced by a new one.
	Op ident.Op
	// digest is that of the document.
	digest string
}

// repeatWindow is how many revisions are searched for the op of a change.
const repeatWindow = 100

// Accepted is a configuration that the table has committed.
type Accepted struct {
	Revision ident.Revision
	Op       ident.Op
	Snapshot config.Snapshot
}

// Acceptor accepts configurations.
type Acceptor struct {
	rows
	options
}

// NewAcceptor returns an acceptor.
func NewAcceptor(ta store.Table, co Codecs, opts ...Option) *Acceptor {
	return &Acceptor{rows: rows{ta, co}, options: newOptions(opts)}
}

// Current returns the configuration in the table. It has revision 0 before the
// first acceptance.
func (ac *Acceptor) Current(ctx context.Context) (config.Snapshot, error) {
	sn, _, err := ac.current(ctx)
	if errors.Is(err, errMoved) {
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

// Change applies an operator's change to the current configuration. A change
// that loses a race is not applied to the newer configuration, because the
// operator has not seen that.
func (ac *Acceptor) Change(ctx context.Context, by ident.Operator, op ident.Op, change func(config.Snapshot) (config.Snapshot, error)) (Accepted, error) {
	cur, err := ac.Current(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if done, ok, err := ac.repeated(ctx, cur, op); ok || err != nil {
		return done, err
	}
	next, err := change(cur)
	if err != nil {
		return Accepted{}, err
	}
	return ac.Accept(ctx, Proposal{Base: cur.Revision(), Snapshot: next, Author: by, Op: op})
}

// repeated looks for a change that was sent again among the last revisions.
func (ac *Acceptor) repeated(ctx context.Context, cur config.Snapshot, op ident.Op) (Accepted, bool, error) {
	if op == "" {
		return Accepted{}, false, nil
	}
	after := cur.Revision() - min(cur.Revision(), repeatWindow)
	rows, err := ac.History(ctx, after, repeatWindow)
	if err != nil {
		return Accepted{}, false, err
	}
	for _, au := range rows {
		if au.Op == op {
			return Accepted{Revision: au.Revision, Op: op, Snapshot: cur}, true, nil
		}
	}
	return Accepted{}, false, nil
}

// Accept makes the proposal the current configuration, or refuses it with
// *Invalid, *Conflict, *Behind, *Unsettled or an error of the table. When it
// returns an error other than *Unsettled, this call has written nothing.
func (ac *Acceptor) Accept(ctx context.Context, pr Proposal) (Accepted, error) {
	if pr.Op == "" {
		pr.Op = ident.NewOp()
	}
	pr.Snapshot = pr.Snapshot.WithRevision(pr.Base+1, pr.Author)
	finds := config.Check(pr.Snapshot)
	if pr.Author == "" {
		finds = append(finds, config.Finding{Path: "author", Text: "the author is missing"})
	}
	if len(finds) > 0 {
		return Accepted{}, &Invalid{Findings: finds}
	}
	document, err := ac.codecs.Config.Encode(pr.Snapshot)
	if err != nil {
		return Accepted{}, err
	}
	if parts := len(split(document)); parts > maxParts {
		return Accepted{}, &Invalid{Findings: []config.Finding{{
			Path: "configuration", Text: fmt.Sprintf("the document has %d bytes, at most %d are allowed", len(document), maxParts*partSize),
		}}}
	}
	pr.digest = digest(document)
	if err := ac.commit(ctx, pr, document); err != nil {
		return Accepted{}, err
	}
	ac.accepted(ctx, pr, document)
	return Accepted{Revision: pr.Base + 1, Op: pr.Op, Snapshot: pr.Snapshot}, nil
}

// accepted makes an accepted configuration known.
func (ac *Acceptor) accepted(ctx context.Context, pr Proposal, document []byte) {
	re := pr.Snapshot.Revision()
	ac.meter.Log(evAccepted, slog.Uint64("revision", uint64(re)), slog.String("author", string(pr.Author)))
	ac.meter.Count(mtAccepted, "", "", 1)
	if ac.follower != nil {
		ac.follower.follow(pr.Snapshot, document, "acceptance")
	}
	if ac.archive != nil {
		ac.archive.Keep(ctx, re, document)
	}
}
