package relay

import (
	"context"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// Registry knows which router incarnations are open.
type Registry interface {
	// Admit records that this sidecar may run work of the incarnation from now
	// on. It returns a refusal with ClosedIncarnation if the incarnation is not
	// open, and with StoreUnavailable if its state could not be determined.
	Admit(ctx context.Context, ic ident.Incarnation) *refuse.Refusal
}

// checkRegistry refuses work of an incarnation that the registry does not
// report as open. An incarnation that was admitted stays so until it is closed
// at this sidecar, so later requests cost one atomic load. If the registry does
// not respond, the work is refused: the incarnation may have been closed before
// this sidecar started, and its escrow may be in use elsewhere.
func (sv *Service) checkRegistry(ctx context.Context, ic ident.Incarnation) *refuse.Refusal {
	gt := sv.incarnations.gate(ic)
	if sv.registry == nil || gt.admitted.Load() {
		return nil
	}
	if gt.closed() {
		return refuse.New(refuse.ClosedIncarnation, "router incarnation %s is closed", ic)
	}
	ch := sv.lookups.DoChan(string(ic), func() (any, error) {
		if !sv.workers.enter() {
			return refuse.New(refuse.Leaving, "the sidecar of %s has stopped", sv.upstream.ID), nil
		}
		defer sv.workers.leave()
		own, cancel := context.WithTimeout(sv.base, sv.storeTimeout)
		defer cancel()
		rf := sv.registry.Admit(own, ic)
		if rf == nil {
			gt.admitted.Store(true)
		}
		return rf, nil
	})
	select {
	case re := <-ch:
		rf, _ := re.Val.(*refuse.Refusal)
		return rf
	case <-ctx.Done():
		return refuse.New(refuse.StoreUnavailable, "the state of router incarnation %s is not known yet", ic)
	}
}

// Admitted returns the open incarnations that may have had work at this
// sidecar. After Close, Used returns their final usage.
func (sv *Service) Admitted() []ident.Incarnation {
	var all []ident.Incarnation
	sv.incarnations.gates.Range(func(ic, gt any) bool {
		if gt := gt.(*gate); gt.admitted.Load() && !gt.closed() {
			all = append(all, ic.(ident.Incarnation))
		}
		return true
	})
	return all
}
