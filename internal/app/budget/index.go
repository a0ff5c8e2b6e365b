package budget

import (
	"hash/maphash"
	"maps"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
)

// shards is the number of maps among which the budgets are divided, because
// adding a budget copies its map: with 110,000 budgets at one holder a copy has
// about 430 entries.
const shards = 256

// index finds the holding of a budget without a mutex.
type index struct {
	seed  maphash.Seed
	cells [shards]*snap.Cell[map[ident.BudgetRef]*holding]
	count atomic.Int64
}

func newIndex() *index {
	ix := &index{seed: maphash.MakeSeed()}
	for no := range ix.cells {
		ix.cells[no] = snap.NewCell(map[ident.BudgetRef]*holding(nil))
	}
	return ix
}

func (ix *index) cell(rf ident.BudgetRef) *snap.Cell[map[ident.BudgetRef]*holding] {
	return ix.cells[maphash.Comparable(ix.seed, rf)%shards]
}

// find returns the holding of the budget, or nil if there is none.
func (ix *index) find(rf ident.BudgetRef) *holding { return ix.cell(rf).Load()[rf] }

// add returns the holding of the budget and adds it if there is none.
func (ix *index) add(rf ident.BudgetRef) *holding {
	fresh := newHolding(rf)
	current, _ := ix.cell(rf).Update(func(old map[ident.BudgetRef]*holding) (map[ident.BudgetRef]*holding, bool) {
		if old[rf] != nil {
			return old, false
		}
		next := make(map[ident.BudgetRef]*holding, len(old)+1)
		maps.Copy(next, old)
		next[rf] = fresh
		return next, true
	})
	if current[rf] == fresh {
		ix.count.Add(1)
	}
	return current[rf]
}

// len returns the number of holdings.
func (ix *index) len() int { return int(ix.count.Load()) }

func (ix *index) all() []*holding {
	var hgs []*holding
	for _, ce := range ix.cells {
		for _, hg := range ce.Load() {
			hgs = append(hgs, hg)
		}
	}
	return hgs
}
