package soak

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// maxNotes bounds the notes of a result.
const maxNotes = 40

// Tally counts names.
type Tally map[string]int

// Book is a budget at the end of a run.
type Book struct {
	Budget                             string
	Prepaid, Used, Settled, Held, Free ident.Tokens
}

// Result is what a run counted. The fields from Wrong to Unbalanced must all
// be zero.
type Result struct {
	Seed uint64
	Took time.Duration
	// Sent counts requests with their repeats.
	Sent, Served, Refused, Unknown, Replays int
	// Runs and Effects are what the stand-ins recorded.
	Runs, Effects int

	// Wrong counts answers to another request or out of order, Truncated cut
	// answers that were taken for whole.
	Wrong, Truncated int
	// FalseNotRun counts requests that ran and were refused as notRun.
	FalseNotRun int
	// SecondRuns counts further effects of a key.
	SecondRuns int
	Overspent  ident.Tokens
	Unbalanced int

	Failures Tally
	Reasons  Tally
	Books    []Book
	// Notes describe what was counted as a fault.
	Notes []string
}

func (re *Result) count(en entry) {
	re.Sent++
	switch {
	case en.Served:
		re.Served++
		if en.Replay {
			re.Replays++
		}
		return
	case en.Outcome == refuse.NotRun:
		re.Refused++
	default:
		re.Unknown++
	}
	reason := string(en.Reason)
	if reason == "" {
		reason = "noAnswer"
	}
	re.Reasons[reason+"/"+string(en.Outcome)]++
}

func (re *Result) note(format string, args ...any) {
	if len(re.Notes) < maxNotes {
		re.Notes = append(re.Notes, fmt.Sprintf(format, args...))
	}
}

// Fault returns an error if a count that must be zero is not.
func (re Result) Fault() error {
	if re.Wrong+re.Truncated+re.FalseNotRun+re.SecondRuns+re.Unbalanced == 0 && re.Overspent == 0 {
		return nil
	}
	return errors.New(re.faults())
}

func (re Result) faults() string {
	return fmt.Sprintf("wrongAnswers=%d truncatedAsWhole=%d falseNotRun=%d secondRuns=%d overspentTokens=%d unbalancedBooks=%d",
		re.Wrong, re.Truncated, re.FalseNotRun, re.SecondRuns, re.Overspent, re.Unbalanced)
}

// String renders the result as text.
func (re Result) String() string {
	var sb strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&sb, format+"\n", args...) }
	line("soak: seed=%d sent=%d served=%d refused=%d unknown=%d replays=%d took=%s",
		re.Seed, re.Sent, re.Served, re.Refused, re.Unknown, re.Replays, re.Took.Round(time.Second))
	line("stand-ins: runs=%d effects=%d", re.Runs, re.Effects)
	line("failures: %s", re.Failures)
	line("reasons: %s", re.Reasons)
	for _, bo := range re.Books {
		line("budget %s: prepaid=%d used=%d settled=%d held=%d free=%d", bo.Budget, bo.Prepaid, bo.Used, bo.Settled, bo.Held, bo.Free)
	}
	for _, no := range re.Notes {
		line("note: %s", no)
	}
	line("faults: %s", re.faults())
	return sb.String()
}

// String lists the names in order with their counts.
func (ta Tally) String() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(ta)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, ta[name]))
	}
	return strings.Join(parts, ", ")
}
