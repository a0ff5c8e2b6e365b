// Package member holds a process's view of the VMs of the fleet, and the evidence
// that closes the incarnation of a dead router. Both are immutable values and
// take time as a parameter.
package member

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// State is the state of a VM as far as the process knows it.
type State int

const (
	// Unknown VMs have never been listed or reported.
	Unknown State = iota
	// Live VMs take new work.
	Live
	// Leaving VMs finish their work and take no more.
	Leaving
	// Suspect VMs do not respond; whether they run is not known.
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

// ListedVM is a VM in the platform's list.
type ListedVM struct {
	ID      ident.VM
	Domain  ident.Domain
	Address string
	Leaving bool
}

// StatusReport is the state that a process reports about itself over its link.
type StatusReport struct {
	VM          ident.VM
	Incarnation ident.Incarnation
	Domain      ident.Domain
	Leaving     bool
	// ReceivedAt is the local time at which the report arrived.
	ReceivedAt time.Time
}

// VM is a virtual machine as the process sees it. It is immutable.
type VM struct {
	id     ident.VM
	domain ident.Domain
	// address is from the list or from the VM's own registration.
	address string
	listed  ListedVM
	// inLastList says that the last list contained the VM, and everListed that
	// any list did. A registration counts as a list entry. missedLists is the
	// number of consecutive lists without the VM, and missedAt the time of the
	// latest of them.
	inLastList    bool
	everListed    bool
	missedLists   int
	missedAt      time.Time
	report        StatusReport
	unreachableAt time.Time
}

// ID returns the identifier.
func (vm VM) ID() ident.VM { return vm.id }

// Domain returns the failure domain. The VM's own report takes precedence over
// the list.
func (vm VM) Domain() ident.Domain { return vm.domain }

// Address returns the address from the platform's list or from the VM's own
// registration, or empty.
func (vm VM) Address() string { return vm.address }

// MissedLists returns the number of consecutive lists without the VM.
func (vm VM) MissedLists() int { return vm.missedLists }

// Incarnation returns the incarnation in the latest report, or empty.
func (vm VM) Incarnation() ident.Incarnation { return vm.report.Incarnation }

// State returns the state. While the VM is reachable, its own report takes
// precedence over the list, which lags: the VM may be leaving before the list
// says so, or live before the list contains it.
func (vm VM) State() State {
	reachable := !vm.report.ReceivedAt.IsZero() && vm.unreachableAt.Before(vm.report.ReceivedAt)
	switch {
	case reachable && vm.report.Leaving:
		return Leaving
	case reachable:
		return Live
	case vm.everListed && vm.missedLists >= minMissedLists && !vm.missedAt.Before(vm.report.ReceivedAt):
		return Gone
	case !vm.report.ReceivedAt.IsZero() && vm.report.Leaving || vm.inLastList && vm.listed.Leaving:
		return Leaving
	case !vm.unreachableAt.IsZero():
		return Suspect
	case vm.inLastList:
		return Live
	case vm.everListed || !vm.report.ReceivedAt.IsZero():
		return Suspect
	default:
		return Unknown
	}
}
