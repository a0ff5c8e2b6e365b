package recov

import (
	"context"
	"sync"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/member"
)

// observe follows the platform's list. A list that cannot be read proves
// nothing.
func (re *Recoverer) observe(ctx context.Context) error {
	vms, err := re.vms.List(ctx)
	if err != nil {
		return err
	}
	list := make([]member.Listed, 0, len(vms))
	for _, vm := range vms {
		list = append(list, member.Listed{ID: vm.ID, Domain: vm.Domain, Address: vm.Address, Leaving: vm.Leaving})
	}
	re.view = re.view.WithList(list, re.opts.clock.Now())
	return nil
}

// register learns VMs from the rows of their routers. The list may not name a
// new VM yet, and may have dropped an old one before this router started. Where
// the address is not known, only the list tells.
func (re *Recoverer) register(incs []budget.Incarnation) {
	for _, in := range incs {
		if in.Row.Address != "" {
			re.view = re.view.WithKnown(member.Listed{ID: in.Row.VM, Domain: in.Row.Domain, Address: in.Row.Address})
		}
	}
}

// probe asks the routers that are missing from the list for a sign of life. An
// address that the list gives to another VM proves nothing about the old one.
func (re *Recoverer) probe(ctx context.Context, incs []budget.Incarnation) {
	taken := make(map[string]bool)
	for _, vm := range re.view.All() {
		if vm.Absent() == 0 {
			taken[vm.Address()] = true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, re.opts.probe)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	alive := make(map[ident.VM]bool)
	for _, in := range incs {
		vm, ok := re.view.Get(in.Row.VM)
		if !ok || vm.Absent() == 0 || in.Row.State != escrow.Open {
			continue
		}
		wg.Go(func() {
			answers := vm.Address() != "" && !taken[vm.Address()] && re.prober.Answers(ctx, vm.Address())
			mu.Lock()
			defer mu.Unlock()
			alive[vm.ID()] = alive[vm.ID()] || answers
		})
	}
	wg.Wait()
	now := re.opts.clock.Now()
	for id, answers := range alive {
		if answers {
			re.view = re.view.WithStatement(member.Statement{VM: id, At: now})
			continue
		}
		re.view = re.view.WithLost(id, now)
	}
}

// dead reports whether the incarnation is to be recovered. One that was closing
// already in an earlier pass is not about to end its own shutdown.
func (re *Recoverer) dead(in budget.Incarnation, incs []budget.Incarnation) bool {
	if in.Row.State != escrow.Open {
		do := re.cases[in.ID]
		was := do.closing
		do.closing = true
		return was
	}
	return superseded(in, incs) || re.view.State(in.Row.VM) == member.Gone
}

// superseded reports whether a later start of the same VM is registered. A VM
// runs one router process.
func superseded(in budget.Incarnation, incs []budget.Incarnation) bool {
	for _, other := range incs {
		if other.Row.VM == in.Row.VM && other.Row.Opened > in.Row.Opened {
			return true
		}
	}
	return false
}
