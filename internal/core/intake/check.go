package intake

import (
	"fmt"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// checker collects the faults of the answers.
type checker struct {
	an       Answers
	works    map[string]Work
	services map[ident.Service]bool
	usedWork map[string]bool
	findings []config.Finding
}

// contradictions returns all faults of the answers that a check of the generated
// configuration would not find.
func contradictions(an Answers) []config.Finding {
	ch := &checker{an: an, works: map[string]Work{}, services: map[ident.Service]bool{}, usedWork: map[string]bool{}}
	ch.checkNames()
	ch.checkAddresses()
	if !an.Preference.valid() {
		ch.add("whenInDoubt", "want %s or %s, got %q", AvoidRefusal, AvoidCost, an.Preference)
	}
	for _, wo := range an.Work {
		ch.works[wo.Name] = wo
	}
	for _, se := range an.Services {
		ch.services[ident.Service(se.Name)] = true
	}
	for ix, wo := range an.Work {
		ch.checkWork(fmt.Sprintf("work[%d]", ix), wo)
	}
	ch.checkSameCalls()
	for ix, te := range an.Teams {
		ch.checkTeam(fmt.Sprintf("teams[%d]", ix), te)
	}
	for ix, se := range an.Services {
		ch.checkServiceUsed(fmt.Sprintf("services[%d]", ix), se)
	}
	for ix, wo := range an.Work {
		if !ch.usedWork[wo.Name] {
			ch.add(fmt.Sprintf("work[%d].name", ix), "no team uses the work %q", wo.Name)
		}
	}
	return ch.findings
}

func (ch *checker) add(path, format string, args ...any) {
	ch.findings = append(ch.findings, config.Finding{Path: path, Text: fmt.Sprintf(format, args...)})
}

// checkUnique reports names that are used twice in one group.
func (ch *checker) checkUnique(seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok {
		ch.add(path+".name", "the name %q is already used at %s", name, first)
		return
	}
	seen[name] = path
}

func (ch *checker) checkNames() {
	works, teams, services, upstreams := map[string]string{}, map[string]string{}, map[string]string{}, map[string]string{}
	for ix, wo := range ch.an.Work {
		ch.checkUnique(works, fmt.Sprintf("work[%d]", ix), wo.Name)
	}
	for ix, te := range ch.an.Teams {
		ch.checkUnique(teams, fmt.Sprintf("teams[%d]", ix), te.Name)
	}
	for ix, en := range ch.an.Engines {
		ch.checkUnique(upstreams, fmt.Sprintf("engines[%d]", ix), en.Name)
	}
	for ix, se := range ch.an.Services {
		ch.checkUnique(services, fmt.Sprintf("services[%d]", ix), se.Name)
		for jx, it := range se.Instances {
			ch.checkUnique(upstreams, fmt.Sprintf("services[%d].instances[%d]", ix, jx), it.Name)
		}
	}
}

// checkAddresses reports sidecar addresses that are used twice.
func (ch *checker) checkAddresses() {
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

func (ch *checker) checkWork(base string, wo Work) {
	if _, ok := classByUrgency[wo.Urgency]; !ok {
		ch.add(base+".needed", "want %s, %s or %s, got %q", AtOnce, Soon, ByMorning, wo.Urgency)
	}
	if !wo.Kind.usesModel() && wo.Kind != Action && wo.Kind != Lookup {
		ch.add(base+".kind", "want %s, %s, %s or %s, got %q", Question, Draft, Action, Lookup, wo.Kind)
		return
	}
	if wo.Kind.usesModel() {
		ch.checkModelWork(base, wo)
		return
	}
	ch.checkCall(base, wo)
	if wo.Model != "" {
		ch.add(base+".model", "%s work is done by a service, not by a model", wo.Kind)
	}
	if wo.LargestRequest != 0 {
		ch.add(base+".largestRequest", "%s work is charged its cost, whatever its size", wo.Kind)
	}
	if wo.Service == "" {
		ch.add(base+".service", "%s work names the service that does it", wo.Kind)
	} else if !ch.services[wo.Service] {
		ch.add(base+".service", "no service is named %q", wo.Service)
	}
	if wo.AtMostOnce && wo.Kind == Lookup {
		ch.add(base+".neverTwice", "a lookup only reads, so it may happen twice; if it changes something, it is an action")
	}
	if wo.AtMostOnce && wo.Kind == Action && wo.Method == "GET" {
		ch.add(base+".method", "a GET request may be repeated in transit, but the action must never happen twice")
	}
}

// checkCall checks the HTTP call of the work.
func (ch *checker) checkCall(base string, wo Work) {
	if wo.Method == "" || strings.Trim(wo.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		ch.add(base+".method", "%s work names the HTTP method of the call in capitals, got %q", wo.Kind, wo.Method)
	}
	if !strings.HasPrefix(wo.Path, "/") || strings.ContainsAny(wo.Path, "?# ") {
		ch.add(base+".path", "%s work names the path of the call, which starts with /, got %q", wo.Kind, wo.Path)
	}
	if wo.Cost < 0 {
		ch.add(base+".cost", "want 0 or above, got %d", wo.Cost)
	}
}

func (ch *checker) checkModelWork(base string, wo Work) {
	if wo.Model == "" {
		ch.add(base+".model", "a %s names the model that does it", wo.Kind)
	} else if len(ch.modelDomains(wo.Model)) == 0 {
		ch.add(base+".model", "no engine serves the model %q", wo.Model)
	}
	if wo.AtMostOnce {
		ch.add(base+".neverTwice", "a %s is text and has no effect outside; what must never happen twice is an action", wo.Kind)
	}
	if wo.Service != "" || wo.Method != "" || wo.Path != "" || wo.Cost != 0 {
		ch.add(base, "a %s is done by a model; service, method, path and cost belong to an action or a lookup", wo.Kind)
	}
	if wo.Kind == Draft && wo.Urgency == AtOnce {
		ch.add(base+".needed", "a long draft takes minutes and cannot be needed at once")
	}
}

// checkSameCalls reports kinds of work that make the same call but give different
// answers about it.
func (ch *checker) checkSameCalls() {
	type call struct {
		service      ident.Service
		method, path string
	}
	type first struct {
		base string
		wo   Work
	}
	seen := map[call]first{}
	for ix, wo := range ch.an.Work {
		if wo.Kind.usesModel() || wo.Path == "" {
			continue
		}
		base, ca := fmt.Sprintf("work[%d]", ix), call{wo.Service, wo.Method, wo.Path}
		fi, ok := seen[ca]
		switch {
		case !ok:
			seen[ca] = first{base, wo}
		case fi.wo.AtMostOnce != wo.AtMostOnce:
			ch.add(base+".neverTwice", "the same call has another value at %s", fi.base)
		case fi.wo.Cost != wo.Cost:
			ch.add(base+".cost", "the same call has another cost at %s", fi.base)
		}
	}
}

func (ch *checker) checkTeam(base string, te Team) {
	if te.Preference != "" && !te.Preference.valid() {
		ch.add(base+".whenInDoubt", "want %s or %s, got %q", AvoidRefusal, AvoidCost, te.Preference)
	}
	seen := map[string]bool{}
	for ix, us := range te.Uses {
		up := fmt.Sprintf("%s.uses[%d]", base, ix)
		wo, ok := ch.works[us.Work]
		if !ok {
			ch.add(up+".work", "no work is named %q", us.Work)
			continue
		}
		ch.usedWork[us.Work] = true
		if seen[us.Work] {
			ch.add(up+".work", "the work %q is listed twice for this team", us.Work)
		}
		seen[us.Work] = true
		if us.BusiestMinute < 0 {
			ch.add(up+".busiestMinute", "want 0 or above, got %d", us.BusiestMinute)
		}
		if largest := max(wo.LargestRequest, wo.Cost, 1); us.PerMonth < largest {
			ch.add(up+".perMonth", "%d tokens per month do not pay for one request, which may need %d", us.PerMonth, largest)
		}
		ch.checkSingleDomain(up, te, wo)
	}
}

// checkSingleDomain reports urgent work that depends on a single failure domain,
// for a team that prefers to avoid refusals.
func (ch *checker) checkSingleDomain(base string, te Team, wo Work) {
	preference, _ := ch.an.preference(te)
	if preference != AvoidRefusal || wo.Urgency != AtOnce {
		return
	}
	domains := ch.modelDomains(wo.Model)
	if !wo.Kind.usesModel() {
		domains = ch.serviceDomains(wo.Service)
	}
	if len(domains) == 1 {
		ch.add(base+".work", "the work is needed at once and refusals matter more, but everything that does it is in one failure domain")
	}
}

func (ch *checker) modelDomains(mo ident.Model) map[ident.Domain]bool {
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

func (ch *checker) checkServiceUsed(base string, se Service) {
	for _, wo := range ch.an.Work {
		if string(wo.Service) == se.Name && !wo.Kind.usesModel() {
			return
		}
	}
	ch.add(base+".name", "no action or lookup uses the service %q", se.Name)
}
