package intake

import (
	"slices"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// TopUp is a proposed monthly amount for a budget.
type TopUp struct {
	Budget ident.BudgetRef `json:"budget"`
	Tokens ident.Tokens    `json:"tokens"`
}

// Advice says how the requests of a kind of work are sent.
type Advice struct {
	Work  string       `json:"work"`
	Class config.Class `json:"class"`
	// NeedsKey says that each request carries an idempotency key of its own.
	NeedsKey bool `json:"needsKey,omitempty"`
}

// Reason explains one generated value.
type Reason struct {
	// Value names what was generated, as config.Finding does.
	Value string `json:"value"`
	// Answer names the answer it came from, with names in place of positions.
	Answer string `json:"answer"`
	Text   string `json:"text"`
}

// Plan is what follows from the answers.
type Plan struct {
	Snapshot config.Snapshot
	TopUps   []TopUp
	Advice   []Advice
	Reasons  []Reason
}

// Generate returns the plan, or all findings when the answers cannot be used.
// The API keys, revision and author of the present configuration are kept;
// everything else comes from the answers.
func Generate(present config.Snapshot, an Answers) (Plan, []config.Finding) {
	finds := contradictions(an)
	gr := &generator{present: present, works: map[string]Work{}}
	gr.plan.Snapshot = config.Snapshot{}.WithRevision(present.Revision(), present.Author())
	for _, wo := range an.Work {
		gr.works[wo.Name] = wo
		gr.advise(wo)
	}
	gr.engines(an)
	gr.services(an)
	for _, te := range an.Teams {
		gr.team(an, te)
	}
	known := len(finds)
	for _, fi := range config.Check(gr.plan.Snapshot) {
		if known > 0 && derived(fi.Path) {
			continue
		}
		fi.Path = answerPath(an, fi.Path)
		// A finding in the users' own terms goes before one about the same value.
		if !slices.ContainsFunc(finds[:known], func(it config.Finding) bool { return it.Path == fi.Path }) {
			finds = append(finds, fi)
		}
	}
	if len(finds) > 0 {
		slices.SortStableFunc(finds, func(le, ri config.Finding) int { return strings.Compare(le.Path, ri.Path) })
		return Plan{}, finds
	}
	return gr.sorted(), nil
}

// derived reports whether the value is composed from answers about work, whose
// faults are found there.
func derived(path string) bool {
	for _, part := range []string{".routes", ".models[", ".services["} {
		if strings.Contains(path, part) {
			return true
		}
	}
	return false
}

type generator struct {
	present config.Snapshot
	works   map[string]Work
	plan    Plan
}

func (gr *generator) explain(value, answer, text string) {
	gr.plan.Reasons = append(gr.plan.Reasons, Reason{Value: value, Answer: answer, Text: text})
}

// sorted orders what the order of the answers would otherwise show in.
func (gr *generator) sorted() Plan {
	pl := gr.plan
	slices.SortFunc(pl.TopUps, func(le, ri TopUp) int { return strings.Compare(le.Budget.String(), ri.Budget.String()) })
	slices.SortFunc(pl.Advice, func(le, ri Advice) int { return strings.Compare(le.Work, ri.Work) })
	slices.SortFunc(pl.Reasons, func(le, ri Reason) int {
		if co := strings.Compare(le.Value, ri.Value); co != 0 {
			return co
		}
		return strings.Compare(le.Answer, ri.Answer)
	})
	return pl
}
