// Package recov recovers the escrow of dead router incarnations on evidence.
// Every router runs it; all steps go through compare-and-set, so several may
// recover one incarnation at the same time.
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
	// Incarnation identifies the start of the sidecar.
	Incarnation() ident.Incarnation
	// VM is where the sidecar runs.
	VM() ident.VM
	// Close makes this start of the sidecar forward no more work of the router
	// incarnation, and returns what that used there.
	Close(ctx context.Context, router ident.Incarnation) (escrow.ClosureRow, error)
}

// Sidecars are the sidecars to which this router has an open link.
type Sidecars interface {
	Connected() []Sidecar
}

// Prober asks the process at an address for a sign of life.
type Prober interface {
	Answers(ctx context.Context, address string) bool
}

// Recoverer watches the incarnations. Run and Pass are called by one owner.
type Recoverer struct {
	self     ident.Incarnation
	ledger   *budget.Ledger
	vms      store.VMs
	sidecars Sidecars
	prober   Prober
	opts     options

	view  member.View
	cases map[ident.Incarnation]*dossier
}

// dossier is what is remembered about an incarnation that is not closed.
type dossier struct {
	// closing says that an earlier pass found the incarnation closing.
	closing bool
	// skip is the number of passes to leave out, and pause the number after
	// the next fruitless attempt.
	skip, pause int
	// told is the evidence that was last reported as missing.
	told string
}

// New returns a recoverer for the router with the incarnation self.
func New(self ident.Incarnation, ledger *budget.Ledger, vms store.VMs, sidecars Sidecars, prober Prober, opts ...Option) *Recoverer {
	return &Recoverer{
		self: self, ledger: ledger, vms: vms, sidecars: sidecars, prober: prober,
		opts: newOptions(opts), cases: make(map[ident.Incarnation]*dossier),
	}
}

// Run makes passes until ctx ends. Each wait is random, so that the routers of
// a fleet do not ask the platform or the sidecars at the same moment.
func (re *Recoverer) Run(ctx context.Context) {
	for {
		every := re.opts.every
		tm := time.NewTimer(every/2 + rand.N(every))
		select {
		case <-ctx.Done():
			tm.Stop()
			return
		case <-tm.C:
		}
		if err := re.Pass(ctx); err != nil && ctx.Err() == nil {
			re.failed("", err)
		}
	}
}

// Pass reads the platform's list and the incarnations once, and recovers those
// that are dead. What cannot be finished stays for a later pass.
func (re *Recoverer) Pass(ctx context.Context) error {
	if err := re.observe(ctx); err != nil {
		return err
	}
	incs, err := re.ledger.Incarnations(ctx)
	if err != nil {
		return err
	}
	re.forget(incs)
	re.register(incs)
	re.probe(ctx, incs)
	var all []error
	for _, in := range incs {
		if in.ID != re.self && re.dead(in, incs) && re.due(in.ID) {
			all = append(all, re.recover(ctx, in))
		}
	}
	return errors.Join(all...)
}

// due reports whether the dossier is looked at in this pass.
func (re *Recoverer) due(id ident.Incarnation) bool {
	do := re.cases[id]
	if do.skip > 0 {
		do.skip--
		return false
	}
	do.skip, do.pause = do.pause, min(2*do.pause+1, maxPause)
	return true
}

// maxPause is the largest number of passes between two looks at an incarnation
// whose evidence is incomplete. Each look costs two reads of the table.
const maxPause = 15

// maxAbsent is the number of lists without a VM after which it is forgotten,
// which is about a day. Until then it is known that a sidecar there is gone.
const maxAbsent = 17_000

// forget drops what is known about incarnations that were closed.
func (re *Recoverer) forget(incs []budget.Incarnation) {
	next := make(map[ident.Incarnation]*dossier, len(incs))
	vms := make(map[ident.VM]bool, len(incs))
	for _, in := range incs {
		vms[in.Row.VM] = true
		do := re.cases[in.ID]
		if do == nil {
			do = &dossier{}
		}
		next[in.ID] = do
	}
	re.cases = next
	for _, vm := range re.view.All() {
		if vm.Absent() > maxAbsent && !vms[vm.ID()] {
			re.view = re.view.Without(vm.ID())
		}
	}
}
