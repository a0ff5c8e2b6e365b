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

// maxNotes bounds the number of notes of a result.
const maxNotes = 40

// Tally counts occurrences by name.
type Tally map[string]int

// Balance holds the tokens of a budget at the end of a run.
type Balance struct {
	Budget                             string
	Prepaid, Used, Settled, Held, Free ident.Tokens
}

// Result holds the counts of a run. The second group of fields, up to Unbalanced,
// counts faults and must be zero.
type Result struct {
	Seed    uint64
	Elapsed time.Duration
	// Sent counts requests, including repetitions.
	Sent, Served, Refused, Unknown, Replays int
	// Runs counts the runs that engines recorded, and Effects the effects that
	// plain services recorded.
	Runs, Effects int

	// WrongResponses counts responses that belong to another request or are out of
	// order, and Truncated incomplete responses that were served as complete.
	WrongResponses, Truncated int
	// FalseNotRun counts requests that were run and refused as notRun.
	FalseNotRun int
	// RepeatedEffects counts further effects of a key.
	RepeatedEffects int
	// Overspent is the total of tokens beyond the prepaid ones.
	Overspent ident.Tokens
	// Unbalanced counts inconsistent balances, and balances that do not cover the
	// use.
	Unbalanced int

	Failures Tally
	Reasons  Tally
	Balances []Balance
	// Notes describe the counted faults, and errors at the start or end of a
	// failure and at the stop of a router.
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

func (re *Result) addNote(format string, args ...any) {
	if len(re.Notes) < maxNotes {
		re.Notes = append(re.Notes, fmt.Sprintf(format, args...))
	}
}

// Check returns an error with the counts if one that must be zero is not.
func (re Result) Check() error {
	if re.WrongResponses+re.Truncated+re.FalseNotRun+re.RepeatedEffects+re.Unbalanced == 0 && re.Overspent == 0 {
		return nil
	}
	return errors.New(re.faultCounts())
}

func (re Result) faultCounts() string {
	return fmt.Sprintf("wrongAnswers=%d truncatedAsWhole=%d falseNotRun=%d secondRuns=%d overspentTokens=%d unbalancedBooks=%d",
		re.WrongResponses, re.Truncated, re.FalseNotRun, re.RepeatedEffects, re.Overspent, re.Unbalanced)
}

// String returns the result as text of several lines.
func (re Result) String() string {
	var sb strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&sb, format+"\n", args...) }
	line("soak: seed=%d sent=%d served=%d refused=%d unknown=%d replays=%d took=%s",
		re.Seed, re.Sent, re.Served, re.Refused, re.Unknown, re.Replays, re.Elapsed.Round(time.Second))
	line("stand-ins: runs=%d effects=%d", re.Runs, re.Effects)
	line("failures: %s", re.Failures)
	line("reasons: %s", re.Reasons)
	for _, ba := range re.Balances {
		line("budget %s: prepaid=%d used=%d settled=%d held=%d free=%d", ba.Budget, ba.Prepaid, ba.Used, ba.Settled, ba.Held, ba.Free)
	}
	for _, no := range re.Notes {
		line("note: %s", no)
	}
	line("faults: %s", re.faultCounts())
	return sb.String()
}

// String returns the names in alphabetical order with their counts.
func (ta Tally) String() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(ta)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, ta[name]))
	}
	return strings.Join(parts, ", ")
}
