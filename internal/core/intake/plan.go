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

// Advice says how callers send the requests of a kind of work.
type Advice struct {
	Work  string       `json:"work"`
	Class config.Class `json:"class"`
	// NeedsKey says that each request carries an idempotency key of its own.
	NeedsKey bool `json:"needsKey,omitempty"`
}

// Reason explains one generated value.
type Reason struct {
	// Value is the path of the generated value, as in config.Finding.
	Value string `json:"value"`
	// Answer is the path of the answer that the value was generated from, with
	// names in place of positions.
	Answer string `json:"answer"`
	Text   string `json:"text"`
}

// Plan is the result of the answers.
type Plan struct {
	Snapshot config.Snapshot
	TopUps   []TopUp
	Advice   []Advice
	Reasons  []Reason
}

// Generate returns the plan, or all findings when the answers cannot be used.
// The API keys, closed failure domains, revision and author of the present
// configuration are kept; everything else comes from the answers.
func Generate(present config.Snapshot, an Answers) (Plan, []config.Finding) {
	findings := contradictions(an)
	gr := &generator{present: present, works: map[string]Work{}}
	gr.plan.Snapshot = config.Snapshot{}.WithRevision(present.Revision(), present.Author())
	for _, cd := range present.ClosedDomains() {
		gr.plan.Snapshot = gr.plan.Snapshot.WithClosedDomain(cd.ID)
	}
	for _, wo := range an.Work {
		gr.works[wo.Name] = wo
		gr.addAdvice(wo)
	}
	gr.addEngines(an)
	gr.addServices(an)
	for _, te := range an.Teams {
		gr.addTeam(an, te)
	}
	answerFaults := len(findings)
	for _, fi := range config.Check(gr.plan.Snapshot) {
		if answerFaults > 0 && fromWork(fi.Path) {
			continue
		}
		fi.Path = answerPath(an, fi.Path)
		// A finding about the answers themselves replaces one about the same
		// value of the configuration, because it is in the users' terms.
		if !slices.ContainsFunc(findings[:answerFaults], func(it config.Finding) bool { return it.Path == fi.Path }) {
			findings = append(findings, fi)
		}
	}
	if len(findings) > 0 {
		slices.SortStableFunc(findings, func(le, ri config.Finding) int { return strings.Compare(le.Path, ri.Path) })
		return Plan{}, findings
	}
	return gr.sorted(), nil
}

// fromWork reports whether the value is generated from answers about work, whose
// faults are reported at those answers.
func fromWork(path string) bool {
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

// sorted returns the plan with its lists sorted, so that it does not depend on the
// order of the answers.
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
