package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Usage is what a router incarnation used of one budget at this sidecar.
type Usage struct {
	Budget ident.BudgetRef
	Used   ident.Tokens
}

// books hold the usage by router incarnation and the incarnations' gates.
type books struct {
	gates sync.Map // ident.Incarnation to *gate
	used  sync.Map // line to *atomic.Int64
}

type line struct {
	router ident.Incarnation
	budget ident.BudgetRef
}

// gate returns the gate of the incarnation.
func (bk *books) gate(ic ident.Incarnation) *gate {
	if gt, ok := bk.gates.Load(ic); ok {
		return gt.(*gate)
	}
	gt, _ := bk.gates.LoadOrStore(ic, newGate())
	return gt.(*gate)
}

func (bk *books) add(ic ident.Incarnation, bu ident.BudgetRef, used ident.Tokens) {
	if used == 0 {
		return
	}
	key := line{router: ic, budget: bu}
	sum, ok := bk.used.Load(key)
	if !ok {
		sum, _ = bk.used.LoadOrStore(key, new(atomic.Int64))
	}
	sum.(*atomic.Int64).Add(int64(used))
}

// total returns the usage of the incarnation ordered by budget.
func (bk *books) total(ic ident.Incarnation) []Usage {
	var out []Usage
	bk.used.Range(func(key, sum any) bool {
		if ln := key.(line); ln.router == ic {
			out = append(out, Usage{Budget: ln.budget, Used: ident.Tokens(sum.(*atomic.Int64).Load())})
		}
		return true
	})
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Budget.String(), b.Budget.String()) })
	return out
}

// Used returns what the incarnation used so far.
func (sv *Service) Used(ic ident.Incarnation) []Usage { return sv.books.total(ic) }

// CloseIncarnation refuses all further work of the router incarnation, ends
// the work that it left behind, and returns what it used in total. A call that
// another router reads, or that must not be interrupted, is waited for. After
// an error the incarnation stays closed and the call can be repeated.
func (sv *Service) CloseIncarnation(ctx context.Context, ic ident.Incarnation) ([]Usage, error) {
	gt := sv.books.gate(ic)
	gt.close()
	sv.attempts.Range(func(_, rn any) bool {
		rn.(*run).abandon(ic)
		return true
	})
	select {
	case <-gt.empty:
		return sv.books.total(ic), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
