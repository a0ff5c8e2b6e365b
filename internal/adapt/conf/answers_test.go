package conf_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intake"
)

// planSummary is the part of a plan that the tests compare.
type planSummary struct {
	Engines, Services, Accounts, Budgets, Large, CheckFencing int
	Domains                                                   int
	Preferences                                               map[config.Preference]int
	Advice                                                    []intake.Advice
	Routes                                                    []config.Route
	Largest                                                   intake.TopUp
}

// summarize returns the summary of a plan. Large counts the accounts whose rate
// limit is at least five times the median.
func summarize(pl intake.Plan) planSummary {
	ps := planSummary{Preferences: map[config.Preference]int{}, Advice: pl.Advice}
	domains := map[ident.Domain]bool{}
	for _, up := range pl.Snapshot.Upstreams() {
		domains[up.Domain] = true
		if up.Kind == config.Engine {
			ps.Engines++
		} else {
			ps.Services++
		}
		if up.ChecksFencing {
			ps.CheckFencing++
		}
	}
	ps.Domains = len(domains)
	var rates []float64
	for _, ac := range pl.Snapshot.Accounts() {
		ps.Accounts++
		ps.Budgets += len(ac.Budgets)
		ps.Preferences[ac.Preference]++
		rates = append(rates, ac.RequestsPerSecond)
	}
	slices.Sort(rates)
	for _, rate := range rates {
		if rate >= 5*rates[len(rates)/2] {
			ps.Large++
		}
	}
	for _, se := range pl.Snapshot.Services() {
		ps.Routes = append(ps.Routes, se.Routes...)
	}
	for _, to := range pl.TopUps {
		if to.Tokens > ps.Largest.Tokens {
			ps.Largest = to
		}
	}
	return ps
}

// TestAnswerExamples guards against example answers that no longer produce the
// configurations that the two users specified.
func TestAnswerExamples(t *testing.T) {
	for name, want := range map[string]planSummary{
		"sejin.yaml": {
			Engines: 20, Services: 3, Accounts: 10, Budgets: 37, Large: 3, CheckFencing: 8, Domains: 3,
			Preferences: map[config.Preference]int{config.AvoidRefusal: 10},
			Advice: []intake.Advice{
				{Work: "attendance-summary", Class: config.Batch}, {Work: "door-question", Class: config.Urgent},
				{Work: "roll-call", Class: config.Urgent}, {Work: "voucher-issue", Class: config.Urgent, NeedsKey: true},
			},
			Routes: []config.Route{
				{Method: "GET", Path: "/roll-call/", Idempotent: true, Cost: 1}, {Method: "POST", Path: "/vouchers", Cost: 5},
			},
			Largest: intake.TopUp{Budget: ident.BudgetRef{Account: "east-district", Budget: "attendance-summary"}, Tokens: 36_000_000},
		},
		"trentside.yaml": {
			Engines: 10, Services: 3, Accounts: 10, Budgets: 37, Large: 2, CheckFencing: 5, Domains: 3,
			Preferences: map[config.Preference]int{config.AvoidOverspend: 10},
			Advice: []intake.Advice{
				{Work: "notice-submission", Class: config.Normal, NeedsKey: true}, {Work: "permit-draft", Class: config.Batch},
				{Work: "status-lookup", Class: config.Urgent}, {Work: "wording-query", Class: config.Urgent},
			},
			Routes: []config.Route{
				{Method: "POST", Path: "/notices", Cost: 20}, {Method: "GET", Path: "/notices/", Idempotent: true, Cost: 1},
			},
			Largest: intake.TopUp{Budget: ident.BudgetRef{Account: "permit-desk", Budget: "permit-draft"}, Tokens: 16_000_000},
		},
	} {
		pl, err := conf.LoadPlan(examples+name, config.Snapshot{})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, summarize(pl)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

const contradictoryAnswers = `whenInDoubt: both
work:
  - {name: ask, kind: question, needed: atOnce, model: m, neverTwice: true}
  - {name: issue, kind: action, needed: soon, service: reg, method: post, path: /v}
engines:
  - {name: e1, vm: v1, domain: d1, sidecar: "10.0.0.1:1", modles: [m]}
teams:
  - name: desk
    uses:
      - {work: ask, perMonth: 5}
      - {work: isue, perMonth: 5}
`

// TestAnswerFindings guards against contradictions that are reported without a
// position, only after the errors of the file are fixed, or twice.
func TestAnswerFindings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.yaml")
	if err := os.WriteFile(path, []byte(contradictoryAnswers), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := conf.LoadPlan(path, config.Snapshot{})
	if err == nil {
		t.Fatal("no findings")
	}
	want := []string{
		`1:14: whenInDoubt: want one of refusal, cost, got "both"`,
		`3:56: work[0].model: no engine serves the model "m"`,
		`3:71: work[0].neverTwice: a question is text and has no effect outside; what must never happen twice is an action`,
		`4:12: work[1].name: no team uses the work "issue"`,
		`4:56: work[1].service: no service is named "reg"`,
		`4:69: work[1].method: action work names the HTTP method of the call in capitals, got "post"`,
		`6:5: engines[0].models: missing key`,
		`6:59: engines[0].modles: unknown key (did you mean "models"?)`,
		`11:16: teams[0].uses[1].work: no work is named "isue"`,
	}
	got := strings.Split(strings.ReplaceAll(err.Error(), path+":", ""), "\n")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}
