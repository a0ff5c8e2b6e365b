package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Usage is the number of tokens that a router incarnation used of one budget at
// this sidecar.
type Usage struct {
	Budget ident.BudgetRef
	Used   ident.Tokens
}

// incarnations holds the gate and the usage of each router incarnation.
type incarnations struct {
	gates sync.Map // ident.Incarnation to *gate
	used  sync.Map // usageKey to *atomic.Int64
}

type usageKey struct {
	router ident.Incarnation
	budget ident.BudgetRef
}

// gate returns the gate of the incarnation and creates it if necessary.
func (ins *incarnations) gate(ic ident.Incarnation) *gate {
	if gt, ok := ins.gates.Load(ic); ok {
		return gt.(*gate)
	}
	gt, _ := ins.gates.LoadOrStore(ic, newGate())
	return gt.(*gate)
}

func (ins *incarnations) addUsage(ic ident.Incarnation, bu ident.BudgetRef, used ident.Tokens) {
	if used == 0 {
		return
	}
	key := usageKey{router: ic, budget: bu}
	sum, ok := ins.used.Load(key)
	if !ok {
		sum, _ = ins.used.LoadOrStore(key, new(atomic.Int64))
	}
	sum.(*atomic.Int64).Add(int64(used))
}

// usage returns the usage of the incarnation ordered by budget.
func (ins *incarnations) usage(ic ident.Incarnation) []Usage {
	var out []Usage
	ins.used.Range(func(key, sum any) bool {
		if uk := key.(usageKey); uk.router == ic {
			out = append(out, Usage{Budget: uk.budget, Used: ident.Tokens(sum.(*atomic.Int64).Load())})
		}
		return true
	})
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Budget.String(), b.Budget.String()) })
	return out
}

// Used returns the incarnation's usage so far, ordered by budget.
func (sv *Service) Used(ic ident.Incarnation) []Usage { return sv.incarnations.usage(ic) }

// CloseIncarnation refuses all further work of the router incarnation, drops
// its readers, and returns its total usage. It waits for calls of the
// incarnation that another router reads or that are not idempotent. After an
// error the incarnation stays closed and CloseIncarnation can be called again.
func (sv *Service) CloseIncarnation(ctx context.Context, ic ident.Incarnation) ([]Usage, error) {
	gt := sv.incarnations.gate(ic)
	gt.close()
	sv.attempts.Range(func(_, rn any) bool {
		rn.(*run).dropReaders(ic)
		return true
	})
	select {
	case <-gt.empty:
		return sv.incarnations.usage(ic), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
