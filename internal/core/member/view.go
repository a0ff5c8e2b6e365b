package member

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// minAbsent is the number of consecutive lists without a VM that prove it gone.
// One list alone may come from a replica of the list that lags further.
const minAbsent = 2

// View is an immutable set of VMs. The zero value is empty.
type View struct {
	vms map[ident.VM]VM
}

// Len returns the number of VMs, including those that are gone.
func (vi View) Len() int { return len(vi.vms) }

// Get returns the VM.
func (vi View) Get(id ident.VM) (VM, bool) {
	vm, ok := vi.vms[id]
	return vm, ok
}

// State returns the state of the VM.
func (vi View) State(id ident.VM) State {
	return vi.vms[id].State()
}

// All returns the VMs ordered by identifier.
func (vi View) All() []VM {
	out := make([]VM, 0, len(vi.vms))
	for _, id := range slices.Sorted(maps.Keys(vi.vms)) {
		out = append(out, vi.vms[id])
	}
	return out
}

// In returns the identifiers of the VMs in one of the states.
func (vi View) In(states ...State) []ident.VM {
	var out []ident.VM
	for _, vm := range vi.All() {
		if slices.Contains(states, vm.State()) {
			out = append(out, vm.id)
		}
	}
	return out
}

// WithList returns a copy that follows the platform's list, which was read at
// the given time.
func (vi View) WithList(list []Listed, at time.Time) View {
	next := vi.clone()
	present := make(map[ident.VM]bool, len(list))
	for _, li := range list {
		present[li.ID] = true
		vm := next.vms[li.ID]
		vm.id, vm.address, vm.listed = li.ID, li.Address, li
		vm.onList, vm.wasListed, vm.absent = true, true, 0
		if vm.said.At.IsZero() {
			vm.domain = li.Domain
		}
		next.vms[li.ID] = vm
	}
	for id, vm := range next.vms {
		if !present[id] {
			vm.onList, vm.absentAt = false, at
			vm.absent++
			next.vms[id] = vm
		}
	}
	return next
}

// WithKnown returns a copy that knows the VM from its own registration, if it
// is not known yet. It counts as listed until the next list.
func (vi View) WithKnown(li Listed) View {
	if _, ok := vi.vms[li.ID]; ok {
		return vi
	}
	return vi.with(VM{id: li.ID, domain: li.Domain, address: li.Address, listed: li, onList: true, wasListed: true})
}

// WithStatement returns a copy that follows the statement. A statement that is
// older than the last one of the VM is ignored, and an incarnation that said it
// is leaving does not return.
func (vi View) WithStatement(st Statement) View {
	vm := vi.vms[st.VM]
	if st.At.Before(vm.said.At) {
		return vi
	}
	if st.Incarnation == vm.said.Incarnation && vm.said.Leaving {
		st.Leaving = true
	}
	vm.id, vm.said = st.VM, st
	if st.Domain != "" {
		vm.domain = st.Domain
	}
	return vi.with(vm)
}

// WithLost returns a copy in which the VM does not answer since the given time.
func (vi View) WithLost(id ident.VM, at time.Time) View {
	vm, ok := vi.vms[id]
	if !ok || at.Before(vm.said.At) || at.Before(vm.lost) {
		return vi
	}
	vm.lost = at
	return vi.with(vm)
}

// Without returns a copy without the VM, which is for VMs that are gone and
// whose incarnations are all closed.
func (vi View) Without(id ident.VM) View {
	next := vi.clone()
	delete(next.vms, id)
	return next
}

func (vi View) with(vm VM) View {
	next := vi.clone()
	next.vms[vm.id] = vm
	return next
}

func (vi View) clone() View {
	if vi.vms == nil {
		return View{vms: make(map[ident.VM]VM)}
	}
	return View{vms: maps.Clone(vi.vms)}
}
