// Package member holds what a process believes about the VMs of the fleet, and
// the evidence that closes the incarnation of a dead router. Both are immutable
// values and take time as a parameter.
package member

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// State is what is believed about a VM.
type State int

const (
	// Unknown VMs have never been heard of.
	Unknown State = iota
	// Live VMs take new work.
	Live
	// Leaving VMs finish their work and take no more.
	Leaving
	// Suspect VMs do not answer; whether they run is not known.
	Suspect
	// Gone VMs were removed by the platform.
	Gone
)

// String returns the state in lower case.
func (st State) String() string {
	switch st {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Listed is a VM in the platform's list.
type Listed struct {
	ID      ident.VM
	Domain  ident.Domain
	Address string
	Leaving bool
}

// Statement is what a process says about itself over its link.
type Statement struct {
	VM          ident.VM
	Incarnation ident.Incarnation
	Domain      ident.Domain
	Leaving     bool
	// At is the local time at which the statement arrived.
	At time.Time
}

// VM is a virtual machine as the process sees it. It is immutable.
type VM struct {
	id     ident.VM
	domain ident.Domain
	// address is from the list.
	address string
	listed  Listed
	// onList says that the last list contains the VM; wasListed, that some list
	// did; absent counts the lists without it since.
	onList    bool
	wasListed bool
	absent    int
	absentAt  time.Time
	said      Statement
	lost      time.Time
}

// ID returns the identifier.
func (vm VM) ID() ident.VM { return vm.id }

// Domain returns the failure domain. The VM's own statement goes before the
// list.
func (vm VM) Domain() ident.Domain { return vm.domain }

// Address returns the address on the platform's list, or empty.
func (vm VM) Address() string { return vm.address }

// Absent returns the number of consecutive lists without the VM.
func (vm VM) Absent() int { return vm.absent }

// Incarnation returns the incarnation that last stated itself, or empty.
func (vm VM) Incarnation() ident.Incarnation { return vm.said.Incarnation }

// State returns the state. What the VM says about itself goes before the lagging
// list while its link works: it may leave before the list says so, or live
// before the list names it.
func (vm VM) State() State {
	linked := !vm.said.At.IsZero() && vm.lost.Before(vm.said.At)
	switch {
	case linked && vm.said.Leaving:
		return Leaving
	case linked:
		return Live
	case vm.wasListed && vm.absent >= minAbsent && !vm.absentAt.Before(vm.said.At):
		return Gone
	case !vm.said.At.IsZero() && vm.said.Leaving || vm.onList && vm.listed.Leaving:
		return Leaving
	case !vm.lost.IsZero():
		return Suspect
	case vm.onList:
		return Live
	case vm.wasListed || !vm.said.At.IsZero():
		return Suspect
	default:
		return Unknown
	}
}
