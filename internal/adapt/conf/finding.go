// Package conf reads the YAML settings of the programs and the answers of the
// questionnaire. All findings of a file are reported together.
package conf

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a file.
type Finding struct {
	File   string
	Line   int
	Column int
	// Path is the path of the value, for example "limits.queue".
	Path string
	Text string
}

// String returns the finding in the format "file:line:column: path: text".
func (fi Finding) String() string {
	at := fmt.Sprintf("%s:%d:%d: ", fi.File, fi.Line, fi.Column)
	if fi.Path == "" {
		return at + fi.Text
	}
	return at + fi.Path + ": " + fi.Text
}

// Findings is an error that contains all findings, ordered by position.
type Findings []Finding

// Error returns one line for each finding.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for ix, fi := range fs {
		lines[ix] = fi.String()
	}
	return strings.Join(lines, "\n")
}

// asError returns the sorted findings, or nil if there are none.
func (fs Findings) asError() error {
	if len(fs) == 0 {
		return nil
	}
	slices.SortStableFunc(fs, func(le, ri Finding) int {
		if co := strings.Compare(le.File, ri.File); co != 0 {
			return co
		}
		if le.Line != ri.Line {
			return le.Line - ri.Line
		}
		return le.Column - ri.Column
	})
	return fs
}

// Position is a position in a file.
type Position struct {
	Line   int
	Column int
}

// Positions maps the path of a value to its position.
type Positions map[string]Position

// Find returns the position of the value at path, or of the innermost enclosing
// value that the file contains.
func (ps Positions) Find(path string) Position {
	for path != "" {
		if pos, ok := ps[path]; ok {
			return pos
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return Position{Line: 1, Column: 1}
}
