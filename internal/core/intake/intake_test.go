package intake_test

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/intake"
)

// answers returns valid answers.
func answers() intake.Answers {
	return intake.Answers{
		Preference: intake.AvoidRefusal,
		Work: []intake.Work{
			{Name: "ask", Kind: intake.Question, Urgency: intake.AtOnce, Model: "m", LargestRequest: 100},
			{Name: "sum", Kind: intake.Draft, Urgency: intake.ByMorning, Model: "m", LargestRequest: 1000},
			{Name: "issue", Kind: intake.Action, Urgency: intake.Soon, AtMostOnce: true, Service: "reg", Method: "POST", Path: "/v", Cost: 5},
			{Name: "look", Kind: intake.Lookup, Urgency: intake.AtOnce, Service: "reg", Method: "GET", Path: "/v/"},
		},
		Engines: []intake.Engine{
			{Name: "e1", VM: "v1", Domain: "d1", Sidecar: "10.0.0.1:1", Models: []ident.Model{"m", "n"}, RefusesOldOrders: true},
			{Name: "e2", VM: "v2", Domain: "d2", Sidecar: "10.0.0.2:1", Models: []ident.Model{"m"}},
		},
		Services: []intake.Service{{Name: "reg", Instances: []intake.Instance{
			{Name: "r1", VM: "v3", Domain: "d1", Sidecar: "10.0.0.3:1"},
			{Name: "r2", VM: "v4", Domain: "d2", Sidecar: "10.0.0.4:1"},
		}}},
		Teams: []intake.Team{
			{Name: "desk", Uses: []intake.Use{
				{Work: "ask", PerMonth: 5000, BusiestMinute: 30}, {Work: "sum", PerMonth: 9000},
				{Work: "issue", PerMonth: 50, BusiestMinute: 15}, {Work: "look", PerMonth: 1},
			}},
			{Name: "night", Preference: intake.AvoidCost, Uses: []intake.Use{{Work: "sum", PerMonth: 2000}}},
		},
	}
}

// TestGenerate guards against answers that are missing from the configuration, and
// against API keys that a new questionnaire removes.
func TestGenerate(t *testing.T) {
	keys := []config.KeyHash{config.HashAPIKey("k")}
	present := config.Snapshot{}.WithRevision(7, "ann").WithAccount(config.Account{ID: "desk", Keys: keys})
	pl, finds := intake.Generate(present, answers())
	if len(finds) > 0 {
		t.Fatal(finds)
	}
	sn := pl.Snapshot
	desk, _ := sn.Account("desk")
	night, _ := sn.Account("night")
	reg, _ := sn.Service("reg")
	e1, _ := sn.Upstream("e1")
	got := []any{sn.Revision(), desk, night, reg, e1, pl.TopUps[0], pl.Advice}
	want := []any{
		ident.Revision(7),
		config.Account{
			ID: "desk", Keys: keys, Budgets: []ident.Budget{"ask", "issue", "look", "sum"}, Preference: config.AvoidRefusal,
			RequestsPerSecond: 1.5, Burst: 15, Models: []ident.Model{"m"}, Services: []ident.Service{"reg"},
		},
		config.Account{ID: "night", Budgets: []ident.Budget{"sum"}, Preference: config.AvoidOverspend, Models: []ident.Model{"m"}},
		config.Service{ID: "reg", Routes: []config.Route{
			{Method: "POST", Path: "/v", Cost: 5}, {Method: "GET", Path: "/v/", Idempotent: true},
		}},
		config.Upstream{
			ID: "e1", VM: "v1", Kind: config.Engine, Domain: "d1", Sidecar: "10.0.0.1:1",
			Models: []ident.Model{"m", "n"}, ChecksFencing: true,
		},
		intake.TopUp{Budget: ident.BudgetRef{Account: "desk", Budget: "ask"}, Tokens: 5000},
		[]intake.Advice{
			{Work: "ask", Class: config.Urgent}, {Work: "issue", Class: config.Normal, NeedsKey: true},
			{Work: "look", Class: config.Urgent}, {Work: "sum", Class: config.Batch},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
	texts := map[string]string{}
	for _, re := range pl.Reasons {
		texts[re.Value] = re.Answer
	}
	for value, answer := range map[string]string{
		"accounts.desk.weight": "whenInDoubt", "accounts.night.weight": "teams.night.whenInDoubt",
		"services.reg.routes.POST /v": "work.issue.neverTwice", "advice.sum.class": "work.sum.needed",
		"upstreams.e1.checksFencing": "engines.e1.refusesOldOrders", "accounts.desk.budgets.ask": "teams.desk.uses.ask.perMonth",
		"upstreams.r2": "services.reg.instances.r2", "accounts.desk.requestsPerSecond": "teams.desk.uses",
	} {
		if texts[value] != answer {
			t.Errorf("%s is explained by the answer %q, want %q", value, texts[value], answer)
		}
	}
}

func shuffle[T any](rng *rand.Rand, items []T) {
	rng.Shuffle(len(items), func(ix, jx int) { items[ix], items[jx] = items[jx], items[ix] })
}

// TestOrder guards against a configuration that depends on the order of the
// answers, which would be reported as a change although no answer changed.
func TestOrder(t *testing.T) {
	want, _ := intake.Generate(config.Snapshot{}, answers())
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		an := answers()
		shuffle(rng, an.Work)
		shuffle(rng, an.Engines)
		shuffle(rng, an.Engines[0].Models)
		shuffle(rng, an.Services[0].Instances)
		shuffle(rng, an.Teams)
		shuffle(rng, an.Teams[0].Uses)
		got, finds := intake.Generate(config.Snapshot{}, an)
		if len(finds) > 0 {
			t.Fatal(finds)
		}
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(config.Snapshot{})); diff != "" {
			t.Fatalf("another order gives another plan (-want +got):\n%s", diff)
		}
	}
}

// TestContradictions guards against contradictory answers that are accepted, and
// against findings that are reported one at a time or without a path.
func TestContradictions(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(an *intake.Answers)
		want   []string
	}{
		{"none", func(*intake.Answers) {}, nil},
		{"draft at once", func(an *intake.Answers) { an.Work[1].Urgency = intake.AtOnce },
			[]string{"work[1].needed: a long draft takes minutes and cannot be needed at once"}},
		{"lookup never twice, GET never twice, text never twice", func(an *intake.Answers) {
			an.Work[0].AtMostOnce, an.Work[2].Method, an.Work[3].AtMostOnce = true, "GET", true
		}, []string{
			"work[0].neverTwice: a question is text and has no effect outside; what must never happen twice is an action",
			"work[2].method: a GET request may be repeated in transit, but the action must never happen twice",
			"work[3].neverTwice: a lookup only reads, so it may happen twice; if it changes something, it is an action",
		}},
		{"two answers about one call", func(an *intake.Answers) {
			an.Teams[0].Uses[3].PerMonth = 50
			an.Work[3] = intake.Work{Name: "look", Kind: intake.Action, Urgency: intake.Soon, Service: "reg", Method: "POST", Path: "/v", Cost: 5}
		}, []string{"work[3].neverTwice: the same call has another value at work[2]"}},
		{"unknown names", func(an *intake.Answers) {
			an.Work[0].Model, an.Work[3].Service, an.Teams[1].Uses[0].Work = "x", "y", "z"
		}, []string{
			`teams[1].uses[0].work: no work is named "z"`,
			`work[0].model: no engine serves the model "x"`,
			`work[3].service: no service is named "y"`,
		}},
		{"less per month than one request", func(an *intake.Answers) { an.Teams[0].Uses[2].PerMonth = 4 },
			[]string{"teams[0].uses[2].perMonth: 4 tokens per month do not pay for one request, which may need 5"}},
		{"one failure domain", func(an *intake.Answers) { an.Engines[1].Domain = "d1" },
			[]string{"teams[0].uses[0].work: the work is needed at once and refusals matter more, but everything that does it is in one failure domain"}},
		{"one failure domain, cost matters more", func(an *intake.Answers) {
			an.Engines[1].Domain, an.Preference = "d1", intake.AvoidCost
		}, nil},
		{"duplicate names and addresses", func(an *intake.Answers) {
			an.Teams[1].Name, an.Services[0].Instances[1].Name, an.Engines[1].Sidecar = "desk", "e1", "10.0.0.1:1"
		}, []string{
			`engines[1].sidecar: the address 10.0.0.1:1 is already used at engines[0]`,
			`services[0].instances[1].name: the name "e1" is already used at engines[0]`,
			`teams[1].name: the name "desk" is already used at teams[0]`,
		}},
		{"calls, unused work and service", func(an *intake.Answers) {
			an.Work[2].Method, an.Work[2].Path, an.Teams[0].Uses = "post", "v", an.Teams[0].Uses[:3]
			an.Services = append(an.Services, intake.Service{Name: "old"})
		}, []string{
			`services[1].name: no action or lookup uses the service "old"`,
			`work[2].method: action work names the HTTP method of the call in capitals, got "post"`,
			`work[2].path: action work names the path of the call, which starts with /, got "v"`,
			`work[3].name: no team uses the work "look"`,
		}},
		{"fault found only in the configuration", func(an *intake.Answers) { an.Engines[0].VM = "" },
			[]string{"engines[0].vm: the VM is missing"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			an := answers()
			tc.change(&an)
			_, finds := intake.Generate(config.Snapshot{}, an)
			var got []string
			for _, fi := range finds {
				got = append(got, fi.String())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}
