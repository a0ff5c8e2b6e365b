package member

import (
	"maps"
	"slices"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// EvidenceState says how the usage of a dead incarnation at one sidecar was
// established, if it was.
type EvidenceState int

const (
	// Awaited means that the sidecar has not confirmed yet.
	Awaited EvidenceState = iota
	// Confirmed means that the sidecar runs no more work of the incarnation and
	// has reported all its usage.
	Confirmed
	// NeverLinked means that the sidecar's VM is gone and had no link with the
	// incarnation, so nothing was used there.
	NeverLinked
	// Missing means that the evidence is lost: the VM is gone, or its sidecar
	// was restarted, after it had a link with the incarnation.
	Missing
	// Resolved means that an operator stated what was used.
	Resolved
)

// Confirmation is a sidecar's response to the closure of an incarnation.
type Confirmation struct {
	Sidecar ident.VM
	// Used is the total of tokens used there.
	Used ident.Tokens
	// Complete says that the sidecar process has metered usage since before it
	// can have received work of the incarnation. It is false after a restart of
	// the sidecar.
	Complete bool
}

// evidence is what is known about one sidecar.
type evidence struct {
	state EvidenceState
	used  ident.Tokens
}

// Closure is the evidence about one dead incarnation. It is immutable. Only
// evidence frees escrow, never the passing of time.
type Closure struct {
	router   ident.Incarnation
	held     ident.Tokens
	evidence map[ident.VM]evidence
}

// NewClosure returns a closure that awaits the sidecars. held is the escrow that
// the incarnation held and had not settled when it died.
func NewClosure(router ident.Incarnation, held ident.Tokens, sidecars ...ident.VM) Closure {
	cl := Closure{router: router, held: held, evidence: make(map[ident.VM]evidence, len(sidecars))}
	for _, vm := range sidecars {
		cl.evidence[vm] = evidence{}
	}
	return cl
}

// Router returns the incarnation.
func (cl Closure) Router() ident.Incarnation { return cl.router }

// WithSidecar returns a copy that also awaits the sidecar, for a VM that joins
// before the closure is complete.
func (cl Closure) WithSidecar(vm ident.VM) Closure {
	if _, ok := cl.evidence[vm]; ok {
		return cl
	}
	return cl.withEvidence(vm, evidence{})
}

// WithConfirmation returns a copy with the sidecar's response. Repeated responses
// count once, with the highest usage. An incomplete response proves that no work
// runs there any more, but not what was used.
func (cl Closure) WithConfirmation(co Confirmation) Closure {
	ev := cl.evidence[co.Sidecar]
	switch {
	case ev.state == Resolved:
		return cl
	case co.Complete:
		return cl.withEvidence(co.Sidecar, evidence{state: Confirmed, used: max(ev.used, co.Used)})
	case ev.state == Awaited:
		return cl.withEvidence(co.Sidecar, evidence{state: Missing, used: co.Used})
	default:
		return cl
	}
}

// WithGone returns a copy in which the sidecar's VM was removed permanently.
// linked says whether it had, or may have had, a link with the incarnation.
func (cl Closure) WithGone(vm ident.VM, linked bool) Closure {
	ev, ok := cl.evidence[vm]
	if !ok || ev.state != Awaited {
		return cl
	}
	if linked {
		return cl.withEvidence(vm, evidence{state: Missing})
	}
	return cl.withEvidence(vm, evidence{state: NeverLinked})
}

// WithResolved returns a copy in which an operator states the usage at a sidecar
// whose evidence is missing.
func (cl Closure) WithResolved(vm ident.VM, used ident.Tokens) Closure {
	if cl.evidence[vm].state != Missing {
		return cl
	}
	return cl.withEvidence(vm, evidence{state: Resolved, used: used})
}

// EvidenceState returns the state of the sidecar's evidence.
func (cl Closure) EvidenceState(vm ident.VM) EvidenceState { return cl.evidence[vm].state }

// Awaiting returns the sidecars that must still confirm.
func (cl Closure) Awaiting() []ident.VM { return cl.sidecarsWith(Awaited) }

// Missing returns the sidecars whose evidence is missing. An operator can state the
// usage there.
func (cl Closure) Missing() []ident.VM { return cl.sidecarsWith(Missing) }

// Used returns the proved usage.
func (cl Closure) Used() ident.Tokens {
	var sum ident.Tokens
	for _, ev := range cl.evidence {
		sum += ev.used
	}
	return sum
}

// Reclaimable returns the escrow that can be freed, and whether the usage at every
// sidecar is established. Until then nothing can be freed, because the rest of
// the escrow may have been used at any of the other sidecars.
func (cl Closure) Reclaimable() (ident.Tokens, bool) {
	for _, ev := range cl.evidence {
		if ev.state == Awaited || ev.state == Missing {
			return 0, false
		}
	}
	return max(0, cl.held-cl.Used()), true
}

func (cl Closure) withEvidence(vm ident.VM, ev evidence) Closure {
	cl.evidence = maps.Clone(cl.evidence)
	if cl.evidence == nil {
		cl.evidence = make(map[ident.VM]evidence)
	}
	cl.evidence[vm] = ev
	return cl
}

func (cl Closure) sidecarsWith(state EvidenceState) []ident.VM {
	var out []ident.VM
	for vm, ev := range cl.evidence {
		if ev.state == state {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}
