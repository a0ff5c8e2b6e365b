package config

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Finding is one fault in a configuration. Path names the value, for example
// "accounts.club.keys[0]".
type Finding struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// String returns path and text.
func (fi Finding) String() string { return fi.Path + ": " + fi.Text }

// report collects findings.
type report struct{ findings []Finding }

func (re *report) add(path, format string, args ...any) {
	re.findings = append(re.findings, Finding{Path: path, Text: fmt.Sprintf(format, args...)})
}

// Check returns all faults of the configuration, ordered by path.
func Check(sn Snapshot) []Finding {
	var re report
	owners := map[KeyHash]ident.Account{}
	for _, ac := range sn.Accounts() {
		checkAccount(&re, sn, ac, owners)
	}
	sidecars := map[string]ident.Upstream{}
	for _, up := range sn.Upstreams() {
		checkUpstream(&re, sn, up, sidecars)
	}
	for _, se := range sn.Services() {
		checkService(&re, se)
	}
	for _, cd := range sn.ClosedDomains() {
		if cd.ID == "" {
			re.add("closedDomains", "the failure domain is missing")
		}
	}
	slices.SortStableFunc(re.findings, func(le, ri Finding) int { return strings.Compare(le.Path, ri.Path) })
	return re.findings
}

func checkAccount(re *report, sn Snapshot, ac Account, owners map[KeyHash]ident.Account) {
	base := "accounts." + string(ac.ID)
	checkName(re, base, string(ac.ID))
	for ix, kh := range ac.Keys {
		checkKey(re, fmt.Sprintf("%s.keys[%d]", base, ix), kh, ac.ID, owners)
	}
	seen := map[ident.Budget]bool{}
	for ix, bu := range ac.Budgets {
		bp := fmt.Sprintf("%s.budgets[%d]", base, ix)
		checkName(re, bp, string(bu))
		if seen[bu] {
			re.add(bp, "budget %q is listed twice", bu)
		}
		seen[bu] = true
	}
	if ac.Preference != AvoidRefusal && ac.Preference != AvoidOverspend {
		re.add(base+".weight", "want %s or %s, got %q", AvoidRefusal, AvoidOverspend, ac.Preference)
	}
	checkLimits(re, base, ac)
	for ix, mo := range ac.Models {
		if !sn.ServesModel(mo) {
			re.add(fmt.Sprintf("%s.models[%d]", base, ix), "no upstream serves the model %q", mo)
		}
	}
	for ix, se := range ac.Services {
		if _, ok := sn.Service(se); !ok {
			re.add(fmt.Sprintf("%s.services[%d]", base, ix), "unknown service %q", se)
		}
	}
}

func checkKey(re *report, path string, kh KeyHash, id ident.Account, owners map[KeyHash]ident.Account) {
	if len(kh) != 64 || strings.Trim(string(kh), "0123456789abcdef") != "" {
		re.add(path, "want a SHA-256 with 64 lower-case hexadecimal digits")
		return
	}
	if owner, ok := owners[kh]; ok {
		re.add(path, "the key already belongs to account %q", owner)
		return
	}
	owners[kh] = id
}

func checkLimits(re *report, base string, ac Account) {
	switch rate := ac.RequestsPerSecond; {
	case math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0:
		re.add(base+".requestsPerSecond", "want a rate of 0 or above, got %v", rate)
	case rate > 0 && ac.Burst < 1:
		re.add(base+".burst", "want at least 1 when requestsPerSecond is set, got %d", ac.Burst)
	case ac.Burst < 0:
		re.add(base+".burst", "want 0 or above, got %d", ac.Burst)
	}
	if ac.MaxRunning < 0 {
		re.add(base+".maxRunning", "want 0 or above, got %d", ac.MaxRunning)
	}
}

func checkUpstream(re *report, sn Snapshot, up Upstream, sidecars map[string]ident.Upstream) {
	base := "upstreams." + string(up.ID)
	checkName(re, base, string(up.ID))
	if up.VM == "" {
		re.add(base+".vm", "the VM is missing")
	}
	if up.Domain == "" {
		re.add(base+".domain", "the failure domain is missing")
	}
	other, used := sidecars[up.Sidecar]
	switch {
	case up.Sidecar == "":
		re.add(base+".sidecar", "the address of the sidecar is missing")
	case !validAddress(up.Sidecar):
		re.add(base+".sidecar", "want ip:port, got %q", up.Sidecar)
	case used:
		re.add(base+".sidecar", "the address already belongs to upstream %q", other)
	default:
		sidecars[up.Sidecar] = up.ID
	}
	checkKind(re, sn, base, up)
}

func checkKind(re *report, sn Snapshot, base string, up Upstream) {
	switch up.Kind {
	case Engine:
		if len(up.Models) == 0 {
			re.add(base+".models", "an engine serves at least one model")
		}
		if up.Service != "" {
			re.add(base+".service", "an engine has no service")
		}
	case Plain:
		if len(up.Models) > 0 {
			re.add(base+".models", "a plain service has no models")
		}
		if _, ok := sn.Service(up.Service); !ok {
			re.add(base+".service", "unknown service %q", up.Service)
		}
	default:
		re.add(base+".kind", "want %s or %s, got %q", Engine, Plain, up.Kind)
	}
}

func checkService(re *report, se Service) {
	base := "services." + string(se.ID)
	checkName(re, base, string(se.ID))
	if len(se.Routes) == 0 {
		re.add(base+".routes", "a service has at least one route")
	}
	type call struct{ method, path string }
	seen := map[call]int{}
	for ix, ro := range se.Routes {
		rp := fmt.Sprintf("%s.routes[%d]", base, ix)
		if ro.Method == "" || strings.Trim(ro.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			re.add(rp+".method", "want an HTTP method in capitals, got %q", ro.Method)
		}
		if !strings.HasPrefix(ro.Path, "/") || strings.ContainsAny(ro.Path, "?# ") {
			re.add(rp+".path", "want a path that starts with /, got %q", ro.Path)
		}
		if ro.Cost < 0 {
			re.add(rp+".cost", "want 0 or above, got %d", ro.Cost)
		}
		if first, ok := seen[call{ro.Method, ro.Path}]; ok {
			re.add(rp, "%s %s is already route %d", ro.Method, ro.Path, first)
			continue
		}
		seen[call{ro.Method, ro.Path}] = ix
	}
}
