package recov

import (
	"context"
	"sync"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/member"
)

// readList updates the view with the platform's list. A list that cannot be read
// proves nothing.
func (re *Recoverer) readList(ctx context.Context) error {
	vms, err := re.vms.List(ctx)
	if err != nil {
		return err
	}
	list := make([]member.ListedVM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, member.ListedVM{ID: vm.ID, Domain: vm.Domain, Address: vm.Address, Leaving: vm.Leaving})
	}
	re.view = re.view.WithList(list, re.opts.clock.Now())
	return nil
}

// addRegistered adds VMs from the rows of their routers. The list may not
// contain a new VM yet, and an old one may have been removed from it before
// this router started. A VM without a known address is added from the list
// only.
func (re *Recoverer) addRegistered(incs []budget.Incarnation) {
	for _, in := range incs {
		if in.Row.Address != "" {
			re.view = re.view.WithRegistered(member.ListedVM{ID: in.Row.VM, Domain: in.Row.Domain, Address: in.Row.Address})
		}
	}
}

// probeMissing checks whether the routers whose VMs are missing from the list
// still respond. A response from an address that the list assigns to another VM
// proves nothing about the old one.
func (re *Recoverer) probeMissing(ctx context.Context, incs []budget.Incarnation) {
	listedAddrs := make(map[string]bool)
	for _, vm := range re.view.All() {
		if vm.MissedLists() == 0 {
			listedAddrs[vm.Address()] = true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, re.opts.probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	alive := make(map[ident.VM]bool)
	for _, in := range incs {
		vm, ok := re.view.Get(in.Row.VM)
		if !ok || vm.MissedLists() == 0 || in.Row.State != escrow.Open {
			continue
		}
		wg.Go(func() {
			responds := vm.Address() != "" && !listedAddrs[vm.Address()] && re.prober.Responds(ctx, vm.Address())
			mu.Lock()
			defer mu.Unlock()
			alive[vm.ID()] = alive[vm.ID()] || responds
		})
	}
	wg.Wait()
	now := re.opts.clock.Now()
	for id, responds := range alive {
		if responds {
			re.view = re.view.WithStatusReport(member.StatusReport{VM: id, ReceivedAt: now})
			continue
		}
		re.view = re.view.WithUnreachable(id, now)
	}
}

// dead reports whether the incarnation must be recovered. An incarnation that was
// already closing in an earlier pass is not expected to complete its own shutdown.
func (re *Recoverer) dead(in budget.Incarnation, incs []budget.Incarnation) bool {
	if in.Row.State != escrow.Open {
		rv := re.recoveries[in.ID]
		wasClosing := rv.seenClosing
		rv.seenClosing = true
		return wasClosing
	}
	return superseded(in, incs) || re.view.State(in.Row.VM) == member.Gone
}

// superseded reports whether a later incarnation on the same VM is registered.
// A VM runs one router process.
func superseded(in budget.Incarnation, incs []budget.Incarnation) bool {
	for _, other := range incs {
		if other.Row.VM == in.Row.VM && other.Row.Opened > in.Row.Opened {
			return true
		}
	}
	return false
}
