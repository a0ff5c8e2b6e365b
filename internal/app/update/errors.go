package update

import (
	"errors"
	"fmt"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// errSuperseded means that a document was removed between two reads, because
// newer revisions were accepted.
var errSuperseded = errors.New("update: the document was superseded while it was read")

// errOpReused means that the op of a proposal was used for a different one.
var errOpReused = errors.New("update: the op was already used for a different configuration")

// InvalidError means that a configuration was refused. It lists all its findings.
type InvalidError struct{ Findings []config.Finding }

// Error returns the number of findings and one line for each of them.
func (in *InvalidError) Error() string {
	lines := []string{fmt.Sprintf("the configuration has %d findings", len(in.Findings))}
	for _, fi := range in.Findings {
		lines = append(lines, fi.String())
	}
	return strings.Join(lines, "\n")
}

// ConflictError means that the change was based on a revision that is not current.
type ConflictError struct {
	Base     ident.Revision
	Revision ident.Revision
	Author   ident.Operator
}

// Error returns the base, the current revision and its author.
func (co *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, but revision %d by %s is current",
		co.Base, co.Revision, co.Author)
}

// UnknownOutcomeError means that it is not known whether the change was
// accepted. The change may be sent again with the same op: it is accepted at
// most once.
type UnknownOutcomeError struct {
	Revision ident.Revision
	Op       ident.Op
	Err      error
}

// Error returns the revision and the op to look for in the audit rows.
func (uo *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether revision %d was accepted; the audit shows op %s if it was: %v",
		uo.Revision, uo.Op, uo.Err)
}

// Unwrap returns the error of the table.
func (uo *UnknownOutcomeError) Unwrap() error { return uo.Err }

// TableBehindError means that the table holds an older revision than the one in
// force, as after a restore from a backup. Accepting a change would assign a
// revision number that is already in use to a different configuration.
type TableBehindError struct {
	Table   ident.Revision
	InForce ident.Revision
}

// Error returns both revisions.
func (tb *TableBehindError) Error() string {
	return fmt.Sprintf("the table holds revision %d, but revision %d is in force; the table must be restored first",
		tb.Table, tb.InForce)
}
