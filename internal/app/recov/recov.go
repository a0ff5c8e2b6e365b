// Package recov recovers the escrow of dead router incarnations on the basis of
// evidence. Every router runs it. All writes use compare-and-set, so that several
// routers may recover one incarnation at the same time.
package recov

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/member"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Sidecar is a connected sidecar.
type Sidecar interface {
	// Incarnation returns the incarnation of the sidecar.
	Incarnation() ident.Incarnation
	// VM returns the VM on which the sidecar runs.
	VM() ident.VM
	// Close makes this incarnation of the sidecar forward no more work of the
	// router incarnation, and returns the router's usage there.
	Close(ctx context.Context, router ident.Incarnation) (escrow.ClosureRow, error)
}

// Sidecars provides the sidecars to which this router has an open link.
type Sidecars interface {
	Connected() []Sidecar
}

// Prober checks whether the process at an address responds.
type Prober interface {
	Responds(ctx context.Context, address string) bool
}

// Recoverer recovers the escrow of dead router incarnations. Run and Pass must be
// called from a single goroutine.
type Recoverer struct {
	self     ident.Incarnation
	ledger   *budget.Ledger
	vms      store.VMs
	sidecars Sidecars
	prober   Prober
	opts     options

	view       member.View
	recoveries map[ident.Incarnation]*recovery
}

// recovery is the state of an incarnation that is not closed yet.
type recovery struct {
	// seenClosing says that an earlier pass found the incarnation closing.
	seenClosing bool
	// skip is the number of passes to skip before the next attempt, and pause
	// the number to skip after it.
	skip, pause int
	// evidence describes the missing evidence that was last logged.
	evidence string
}

// New returns a recoverer for the router with the incarnation self.
func New(self ident.Incarnation, ledger *budget.Ledger, vms store.VMs, sidecars Sidecars, prober Prober, opts ...Option) *Recoverer {
	return &Recoverer{
		self: self, ledger: ledger, vms: vms, sidecars: sidecars, prober: prober,
		opts: newOptions(opts), recoveries: make(map[ident.Incarnation]*recovery),
	}
}

// Run makes passes until ctx ends. Each wait is random, so that the routers of
// a fleet do not call the platform or the sidecars at the same moment.
func (re *Recoverer) Run(ctx context.Context) {
	for {
		interval := re.opts.interval
		tm := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
			tm.Stop()
			return
		case <-tm.C:
		}
		if err := re.Pass(ctx); err != nil && ctx.Err() == nil {
			re.logFailure("", err)
		}
	}
}

// Pass reads the platform's list and the incarnations once, and recovers those
// that are dead. A recovery that cannot be finished is continued in a later pass.
func (re *Recoverer) Pass(ctx context.Context) error {
	if err := re.readList(ctx); err != nil {
		return err
	}
	incs, err := re.ledger.Incarnations(ctx)
	if err != nil {
		return err
	}
	re.forgetClosed(incs)
	re.addRegistered(incs)
	re.probeMissing(ctx, incs)
	var all []error
	for _, in := range incs {
		if in.ID != re.self && re.dead(in, incs) && re.due(in.ID) {
			all = append(all, re.recover(ctx, in))
		}
	}
	return errors.Join(all...)
}

// due reports whether the recovery of the incarnation is attempted in this pass.
// It about doubles the pause after each attempt, up to maxPause.
func (re *Recoverer) due(id ident.Incarnation) bool {
	rv := re.recoveries[id]
	if rv.skip > 0 {
		rv.skip--
		return false
	}
	rv.skip, rv.pause = rv.pause, min(2*rv.pause+1, maxPause)
	return true
}

// maxPause is the largest number of passes that are skipped between two
// attempts to recover an incarnation whose evidence is incomplete. Each attempt
// costs two reads of the table.
const maxPause = 15

// maxMissedLists is the number of consecutive lists without a VM after which it
// is forgotten, which is about a day at the default interval. Until then the VM
// and its sidecar are known to be gone.
const maxMissedLists = 17_000

// forgetClosed drops the state of incarnations that were closed, and of VMs that
// missed more than maxMissedLists lists and have no incarnation left.
func (re *Recoverer) forgetClosed(incs []budget.Incarnation) {
	next := make(map[ident.Incarnation]*recovery, len(incs))
	vms := make(map[ident.VM]bool, len(incs))
	for _, in := range incs {
		vms[in.Row.VM] = true
		rv := re.recoveries[in.ID]
		if rv == nil {
			rv = &recovery{}
		}
		next[in.ID] = rv
	}
	re.recoveries = next
	for _, vm := range re.view.All() {
		if vm.MissedLists() > maxMissedLists && !vms[vm.ID()] {
			re.view = re.view.Without(vm.ID())
		}
	}
}
