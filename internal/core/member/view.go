package member

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// minMissedLists is the number of consecutive lists without a VM that prove it
// gone. A single list may come from a replica that lags further behind.
const minMissedLists = 2

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

// InState returns the identifiers of the VMs in one of the states.
func (vi View) InState(states ...State) []ident.VM {
	var out []ident.VM
	for _, vm := range vi.All() {
		if slices.Contains(states, vm.State()) {
			out = append(out, vm.id)
		}
	}
	return out
}

// WithList returns a copy that is updated with the platform's list, which was
// read at the given time.
func (vi View) WithList(list []ListedVM, at time.Time) View {
	next := vi.clone()
	present := make(map[ident.VM]bool, len(list))
	for _, li := range list {
		present[li.ID] = true
		vm := next.vms[li.ID]
		vm.id, vm.address, vm.listed = li.ID, li.Address, li
		vm.inLastList, vm.everListed, vm.missedLists = true, true, 0
		if vm.report.ReceivedAt.IsZero() {
			vm.domain = li.Domain
		}
		next.vms[li.ID] = vm
	}
	for id, vm := range next.vms {
		if !present[id] {
			vm.inLastList, vm.missedAt = false, at
			vm.missedLists++
			next.vms[id] = vm
		}
	}
	return next
}

// WithRegistered returns a copy with the VM from its own registration, unless
// the view already contains it. The VM counts as listed until the next list.
func (vi View) WithRegistered(li ListedVM) View {
	if _, ok := vi.vms[li.ID]; ok {
		return vi
	}
	return vi.withVM(VM{id: li.ID, domain: li.Domain, address: li.Address, listed: li, inLastList: true, everListed: true})
}

// WithStatusReport returns a copy that is updated with the VM's report about
// itself. A report that is older than the VM's latest one is ignored, and an
// incarnation that has reported that it is leaving stays leaving.
func (vi View) WithStatusReport(st StatusReport) View {
	vm := vi.vms[st.VM]
	if st.ReceivedAt.Before(vm.report.ReceivedAt) {
		return vi
	}
	if st.Incarnation == vm.report.Incarnation && vm.report.Leaving {
		st.Leaving = true
	}
	vm.id, vm.report = st.VM, st
	if st.Domain != "" {
		vm.domain = st.Domain
	}
	return vi.withVM(vm)
}

// WithUnreachable returns a copy in which the VM has been unreachable since the
// given time, unless it has reported later.
func (vi View) WithUnreachable(id ident.VM, at time.Time) View {
	vm, ok := vi.vms[id]
	if !ok || at.Before(vm.report.ReceivedAt) || at.Before(vm.unreachableAt) {
		return vi
	}
	vm.unreachableAt = at
	return vi.withVM(vm)
}

// Without returns a copy without the VM. It is for VMs that are gone and whose
// incarnations are all closed.
func (vi View) Without(id ident.VM) View {
	next := vi.clone()
	delete(next.vms, id)
	return next
}

func (vi View) withVM(vm VM) View {
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
