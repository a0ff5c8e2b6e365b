package intake

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	// rainyDayFactor is the ratio of the permitted rate to that of the busiest
	// minute of an ordinary day. Demand doubles on rainy days.
	rainyDayFactor = 2
	// burstSeconds is the time whose requests, at the permitted rate, may arrive
	// at once.
	burstSeconds = 10
)

// classByUrgency maps how soon an answer is needed to the priority class.
var classByUrgency = map[Urgency]config.Class{AtOnce: config.Urgent, Soon: config.Normal, ByMorning: config.Batch}

func (gr *generator) addAdvice(wo Work) {
	cl, ok := classByUrgency[wo.Urgency]
	if !ok {
		cl = config.Normal
	}
	key := wo.Kind == Action && wo.AtMostOnce
	gr.plan.Advice = append(gr.plan.Advice, Advice{Work: wo.Name, Class: cl, NeedsKey: key})
	gr.explain("advice."+wo.Name+".class", "work."+wo.Name+".needed",
		fmt.Sprintf("requests are sent with the class %s, because the answer is needed %s", cl, urgencyText(wo.Urgency)))
	if key {
		gr.explain("advice."+wo.Name+".needsKey", "work."+wo.Name+".neverTwice",
			"each request needs an idempotency key of its own, which prevents a second run")
	}
}

func urgencyText(ur Urgency) string {
	switch ur {
	case AtOnce:
		return "at once"
	case ByMorning:
		return "by morning"
	default:
		return "soon"
	}
}

func (gr *generator) addEngines(an Answers) {
	for _, en := range an.Engines {
		models := slices.Compact(slices.Sorted(slices.Values(en.Models)))
		gr.plan.Snapshot = gr.plan.Snapshot.WithUpstream(config.Upstream{
			ID: ident.Upstream(en.Name), VM: en.VM, Kind: config.Engine, Domain: en.Domain,
			Sidecar: en.Sidecar, Models: models, ChecksFencing: en.RefusesOldOrders,
		})
		gr.explainUpstream(en.Name, "engines."+en.Name, en.RefusesOldOrders, "an engine that serves "+joinModels(models))
	}
}

func (gr *generator) explainUpstream(id, answer string, refuses bool, what string) {
	gr.explain("upstreams."+id, answer, what)
	text := "the sidecar checks the fencing number of orders, because the upstream does not"
	if refuses {
		text = "the upstream itself also refuses orders with a superseded fencing number"
	}
	gr.explain("upstreams."+id+".checksFencing", answer+".refusesOldOrders", text)
}

func (gr *generator) addServices(an Answers) {
	for _, se := range an.Services {
		gr.plan.Snapshot = gr.plan.Snapshot.WithService(config.Service{
			ID: ident.Service(se.Name), Routes: gr.routes(an, se.Name),
		})
		for _, it := range se.Instances {
			gr.plan.Snapshot = gr.plan.Snapshot.WithUpstream(config.Upstream{
				ID: ident.Upstream(it.Name), VM: it.VM, Kind: config.Plain, Domain: it.Domain,
				Sidecar: it.Sidecar, Service: ident.Service(se.Name), ChecksFencing: it.RefusesOldOrders,
			})
			gr.explainUpstream(it.Name, "services."+se.Name+".instances."+it.Name, it.RefusesOldOrders,
				"a process of the service "+se.Name)
		}
	}
}

// routes returns the calls of the work that the service does.
func (gr *generator) routes(an Answers, service string) []config.Route {
	var out []config.Route
	for _, wo := range an.Work {
		if string(wo.Service) != service || wo.Kind.usesModel() {
			continue
		}
		ro := config.Route{Method: wo.Method, Path: wo.Path, Idempotent: !wo.AtMostOnce, Cost: wo.Cost}
		text := "a repetition has no further effect, so a call whose outcome is unknown is sent again"
		if wo.AtMostOnce {
			text = "it must never happen twice, so a call whose outcome is unknown is not sent again"
		}
		gr.explain(fmt.Sprintf("services.%s.routes.%s %s", service, ro.Method, ro.Path), "work."+wo.Name+".neverTwice", text)
		if !slices.Contains(out, ro) {
			out = append(out, ro)
		}
	}
	slices.SortFunc(out, func(le, ri config.Route) int {
		return strings.Compare(le.Path+" "+le.Method, ri.Path+" "+ri.Method)
	})
	return out
}

func (gr *generator) addTeam(an Answers, te Team) {
	ac := config.Account{ID: ident.Account(te.Name), Preference: gr.accountPreference(an, te)}
	if old, ok := gr.present.Account(ac.ID); ok {
		ac.Keys = old.Keys
	}
	perMinute := 0
	for _, us := range te.Uses {
		wo := gr.works[us.Work]
		ac = ac.WithBudget(ident.Budget(us.Work))
		ac = withAccess(ac, wo)
		perMinute += us.BusiestMinute
		gr.addTopUp(te.Name, us)
	}
	slices.Sort(ac.Budgets)
	slices.Sort(ac.Models)
	slices.Sort(ac.Services)
	if perMinute > 0 {
		ac.RequestsPerSecond = rainyDayFactor * float64(perMinute) / 60
		ac.Burst = int(math.Ceil(ac.RequestsPerSecond * burstSeconds))
		gr.explain("accounts."+te.Name+".requestsPerSecond", "teams."+te.Name+".uses",
			fmt.Sprintf("%d requests in the busiest minute of an ordinary day, times %d for rainy days; each router allows this rate", perMinute, rainyDayFactor))
	}
	gr.plan.Snapshot = gr.plan.Snapshot.WithAccount(ac)
}

func (gr *generator) accountPreference(an Answers, te Team) config.Preference {
	preference, answer := an.preference(te)
	accountPreference, text := config.AvoidRefusal, "a refusal matters more than a cost, so more escrow is held in advance"
	if preference == AvoidCost {
		accountPreference, text = config.AvoidOverspend, "a cost matters more than a refusal, so little escrow is held and usage is settled often"
	}
	gr.explain("accounts."+te.Name+".weight", answer, text)
	return accountPreference
}

// preference returns the preference of the team, or else the general one, and the
// name of that answer.
func (an Answers) preference(te Team) (Preference, string) {
	if te.Preference != "" {
		return te.Preference, "teams." + te.Name + ".whenInDoubt"
	}
	return an.Preference, "whenInDoubt"
}

func (gr *generator) addTopUp(team string, us Use) {
	rf := ident.BudgetRef{Account: ident.Account(team), Budget: ident.Budget(us.Work)}
	gr.plan.TopUps = append(gr.plan.TopUps, TopUp{Budget: rf, Tokens: us.PerMonth})
	gr.explain("accounts."+team+".budgets."+us.Work, "teams."+team+".uses."+us.Work+".perMonth",
		fmt.Sprintf("a budget for this work; a monthly top-up of %d tokens is proposed", us.PerMonth))
}

func withAccess(ac config.Account, wo Work) config.Account {
	if wo.Kind.usesModel() && !slices.Contains(ac.Models, wo.Model) {
		ac.Models = append(ac.Models, wo.Model)
	}
	if !wo.Kind.usesModel() && wo.Service != "" && !slices.Contains(ac.Services, wo.Service) {
		ac.Services = append(ac.Services, wo.Service)
	}
	return ac
}

func joinModels(models []ident.Model) string {
	texts := make([]string, len(models))
	for ix, mo := range models {
		texts[ix] = string(mo)
	}
	return strings.Join(texts, ", ")
}
