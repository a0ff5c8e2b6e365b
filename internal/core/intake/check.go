package intake

import (
	"fmt"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// checker collects contradictions.
type checker struct {
	an       Answers
	works    map[string]Work
	services map[ident.Service]bool
	used     map[string]bool
	finds    []config.Finding
}

// contradictions returns all faults of the answers that the configuration
// itself would not show.
func contradictions(an Answers) []config.Finding {
	ch := &checker{an: an, works: map[string]Work{}, services: map[ident.Service]bool{}, used: map[string]bool{}}
	ch.names()
	ch.addresses()
	if !an.WhenInDoubt.valid() {
		ch.add("whenInDoubt", "want %s or %s, got %q", AvoidRefusal, AvoidCost, an.WhenInDoubt)
	}
	for _, wo := range an.Work {
		ch.works[wo.Name] = wo
	}
	for _, se := range an.Services {
		ch.services[ident.Service(se.Name)] = true
	}
	for ix, wo := range an.Work {
		ch.work(fmt.Sprintf("work[%d]", ix), wo)
	}
	ch.calls()
	for ix, te := range an.Teams {
		ch.team(fmt.Sprintf("teams[%d]", ix), te)
	}
	for ix, se := range an.Services {
		ch.service(fmt.Sprintf("services[%d]", ix), se)
	}
	for ix, wo := range an.Work {
		if !ch.used[wo.Name] {
			ch.add(fmt.Sprintf("work[%d].name", ix), "no team uses the work %q", wo.Name)
		}
	}
	return ch.finds
}

func (ch *checker) add(path, format string, args ...any) {
	ch.finds = append(ch.finds, config.Finding{Path: path, Text: fmt.Sprintf(format, args...)})
}

// unique reports names that are used twice in one group.
func (ch *checker) unique(seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok {
		ch.add(path+".name", "the name %q is already used at %s", name, first)
		return
	}
	seen[name] = path
}

func (ch *checker) names() {
	works, teams, services, upstreams := map[string]string{}, map[string]string{}, map[string]string{}, map[string]string{}
	for ix, wo := range ch.an.Work {
		ch.unique(works, fmt.Sprintf("work[%d]", ix), wo.Name)
	}
	for ix, te := range ch.an.Teams {
		ch.unique(teams, fmt.Sprintf("teams[%d]", ix), te.Name)
	}
	for ix, en := range ch.an.Engines {
		ch.unique(upstreams, fmt.Sprintf("engines[%d]", ix), en.Name)
	}
	for ix, se := range ch.an.Services {
		ch.unique(services, fmt.Sprintf("services[%d]", ix), se.Name)
		for jx, it := range se.Instances {
			ch.unique(upstreams, fmt.Sprintf("services[%d].instances[%d]", ix, jx), it.Name)
		}
	}
}

// addresses reports sidecar addresses that are used twice.
func (ch *checker) addresses() {
	seen := map[string]string{}
	check := func(path, addr string) {
		if first, ok := seen[addr]; ok && addr != "" {
			ch.add(path+".sidecar", "the address %s is already used at %s", addr, first)
			return
		}
		seen[addr] = path
	}
	for ix, en := range ch.an.Engines {
		check(fmt.Sprintf("engines[%d]", ix), en.Sidecar)
	}
	for ix, se := range ch.an.Services {
		for jx, it := range se.Instances {
			check(fmt.Sprintf("services[%d].instances[%d]", ix, jx), it.Sidecar)
		}
	}
}

func (ch *checker) work(at string, wo Work) {
	if _, ok := classes[wo.Needed]; !ok {
		ch.add(at+".needed", "want %s, %s or %s, got %q", AtOnce, Soon, ByMorning, wo.Needed)
	}
	if !wo.Kind.usesModel() && wo.Kind != Action && wo.Kind != Lookup {
		ch.add(at+".kind", "want %s, %s, %s or %s, got %q", Question, Draft, Action, Lookup, wo.Kind)
		return
	}
	if wo.Kind.usesModel() {
		ch.modelWork(at, wo)
		return
	}
	ch.call(at, wo)
	if wo.Model != "" {
		ch.add(at+".model", "%s work is done by a service, not by a model", wo.Kind)
	}
	if wo.LargestRequest != 0 {
		ch.add(at+".largestRequest", "%s work is charged its cost, whatever its size", wo.Kind)
	}
	if wo.Service == "" {
		ch.add(at+".service", "%s work names the service that does it", wo.Kind)
	} else if !ch.services[wo.Service] {
		ch.add(at+".service", "no service is named %q", wo.Service)
	}
	if wo.NeverTwice && wo.Kind == Lookup {
		ch.add(at+".neverTwice", "a lookup only reads, so it may happen twice; if it changes something, it is an action")
	}
	if wo.NeverTwice && wo.Kind == Action && wo.Method == "GET" {
		ch.add(at+".method", "GET may be repeated on the way, but the action must never happen twice")
	}
}

// call checks the HTTP call of the work.
func (ch *checker) call(at string, wo Work) {
	if wo.Method == "" || strings.Trim(wo.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		ch.add(at+".method", "%s work names the HTTP method of the call in capitals, got %q", wo.Kind, wo.Method)
	}
	if !strings.HasPrefix(wo.Path, "/") || strings.ContainsAny(wo.Path, "?# ") {
		ch.add(at+".path", "%s work names the path of the call, which starts with /, got %q", wo.Kind, wo.Path)
	}
	if wo.Cost < 0 {
		ch.add(at+".cost", "want 0 or above, got %d", wo.Cost)
	}
}

func (ch *checker) modelWork(at string, wo Work) {
	if wo.Model == "" {
		ch.add(at+".model", "a %s names the model that does it", wo.Kind)
	} else if len(ch.domains(wo.Model)) == 0 {
		ch.add(at+".model", "no engine serves the model %q", wo.Model)
	}
	if wo.NeverTwice {
		ch.add(at+".neverTwice", "a %s is text and has no effect outside; what must never happen twice is an action", wo.Kind)
	}
	if wo.Service != "" || wo.Method != "" || wo.Path != "" || wo.Cost != 0 {
		ch.add(at, "a %s is done by a model; service, method, path and cost belong to an action or a lookup", wo.Kind)
	}
	if wo.Kind == Draft && wo.Needed == AtOnce {
		ch.add(at+".needed", "a long draft takes minutes and cannot be needed at once")
	}
}

// calls reports work with one call and different answers about it.
func (ch *checker) calls() {
	type call struct {
		service      ident.Service
		method, path string
	}
	type first struct {
		at string
		wo Work
	}
	seen := map[call]first{}
	for ix, wo := range ch.an.Work {
		if wo.Kind.usesModel() || wo.Path == "" {
			continue
		}
		at, ca := fmt.Sprintf("work[%d]", ix), call{wo.Service, wo.Method, wo.Path}
		fi, ok := seen[ca]
		switch {
		case !ok:
			seen[ca] = first{at, wo}
		case fi.wo.NeverTwice != wo.NeverTwice:
			ch.add(at+".neverTwice", "the same call is answered otherwise at %s", fi.at)
		case fi.wo.Cost != wo.Cost:
			ch.add(at+".cost", "the same call has another cost at %s", fi.at)
		}
	}
}

func (ch *checker) team(at string, te Team) {
	if te.WhenInDoubt != "" && !te.WhenInDoubt.valid() {
		ch.add(at+".whenInDoubt", "want %s or %s, got %q", AvoidRefusal, AvoidCost, te.WhenInDoubt)
	}
	seen := map[string]bool{}
	for ix, us := range te.Uses {
		up := fmt.Sprintf("%s.uses[%d]", at, ix)
		wo, ok := ch.works[us.Work]
		if !ok {
			ch.add(up+".work", "no work is named %q", us.Work)
			continue
		}
		ch.used[us.Work] = true
		if seen[us.Work] {
			ch.add(up+".work", "the work %q is listed twice for this team", us.Work)
		}
		seen[us.Work] = true
		if us.BusiestMinute < 0 {
			ch.add(up+".busiestMinute", "want 0 or above, got %d", us.BusiestMinute)
		}
		if most := max(wo.LargestRequest, wo.Cost, 1); us.PerMonth < most {
			ch.add(up+".perMonth", "%d tokens per month do not pay for one request, which may need %d", us.PerMonth, most)
		}
		ch.alone(up, te, wo)
	}
}

// alone reports urgent work that one failure stops, for a team to which
// refusals matter more.
func (ch *checker) alone(at string, te Team, wo Work) {
	doubt, _ := ch.an.doubt(te)
	if doubt != AvoidRefusal || wo.Needed != AtOnce {
		return
	}
	domains := ch.domains(wo.Model)
	if !wo.Kind.usesModel() {
		domains = ch.serviceDomains(wo.Service)
	}
	if len(domains) == 1 {
		ch.add(at+".work", "the work is needed at once and refusals matter more, but everything that does it is in one failure domain")
	}
}

func (ch *checker) domains(mo ident.Model) map[ident.Domain]bool {
	out := map[ident.Domain]bool{}
	for _, en := range ch.an.Engines {
		for _, it := range en.Models {
			if it == mo {
				out[en.Domain] = true
			}
		}
	}
	return out
}

func (ch *checker) serviceDomains(id ident.Service) map[ident.Domain]bool {
	out := map[ident.Domain]bool{}
	for _, se := range ch.an.Services {
		for _, it := range se.Instances {
			if se.Name == string(id) {
				out[it.Domain] = true
			}
		}
	}
	return out
}

func (ch *checker) service(at string, se Service) {
	for _, wo := range ch.an.Work {
		if string(wo.Service) == se.Name && !wo.Kind.usesModel() {
			return
		}
	}
	ch.add(at+".name", "no action or lookup uses the service %q", se.Name)
}
