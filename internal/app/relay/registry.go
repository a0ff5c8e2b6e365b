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
	// open, and with StoreUnavailable if that could not be found out.
	Admit(ctx context.Context, ic ident.Incarnation) *refuse.Refusal
}

// vouch refuses work of an incarnation that the registry does not know as
// open. The answer open stands until the incarnation is closed here, so later
// requests cost one atomic load. Without an answer the work is refused, because
// the escrow of an incarnation that was closed before this start may be in use
// elsewhere.
func (sv *Service) vouch(ctx context.Context, ic ident.Incarnation) *refuse.Refusal {
	gt := sv.books.gate(ic)
	if sv.registry == nil || gt.vouched.Load() {
		return nil
	}
	if gt.closed() {
		return refuse.New(refuse.ClosedIncarnation, "router incarnation %s is closed", ic)
	}
	ch := sv.lookups.DoChan(string(ic), func() (any, error) {
		if !sv.life.enter() {
			return refuse.New(refuse.Leaving, "the sidecar of %s has stopped", sv.upstream.ID), nil
		}
		defer sv.life.leave()
		own, cancel := context.WithTimeout(sv.base, sv.storeWait)
		defer cancel()
		rf := sv.registry.Admit(own, ic)
		if rf == nil {
			gt.vouched.Store(true)
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

// Admitted returns the open incarnations that may have had work here. After
// Close, Used returns all that they used.
func (sv *Service) Admitted() []ident.Incarnation {
	var all []ident.Incarnation
	sv.books.gates.Range(func(ic, gt any) bool {
		if gt := gt.(*gate); gt.vouched.Load() && !gt.closed() {
			all = append(all, ic.(ident.Incarnation))
		}
		return true
	})
	return all
}
