package slopes

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/table"
)

// Budgets measures the escrow of a router by the number of budgets in use: its
// memory, and the time of a flush without pending settlements.
func Budgets(ctx context.Context, sizes []int) ([]Series, error) {
	mem := Series{Name: "escrow memory", Unit: "bytes", Sizes: sizes}
	cpu := Series{Name: "escrow pass without work", Unit: "ms", Sizes: sizes}
	for _, size := range sizes {
		ledger := budget.NewLedger(table.New().Client(), codec.Ledger())
		hd := budget.NewHolder(ident.NewIncarnation(), "vm", "d1", ledger)
		if err := hd.Open(ctx); err != nil {
			return nil, err
		}
		refs := make([]ident.BudgetRef, size)
		for ix := range refs {
			refs[ix] = ident.BudgetRef{Account: ident.Account(fmt.Sprintf("a%d", ix%360)), Budget: ident.Budget(fmt.Sprintf("b%d", ix))}
			if err := ledger.CreateBudget(ctx, refs[ix]); err != nil {
				return nil, err
			}
			if err := ledger.TopUp(ctx, refs[ix], 1_000_000, ident.NewOp(), "slopes"); err != nil {
				return nil, err
			}
		}
		before := memoryInUse()
		for _, rf := range refs {
			ho, err := hd.Reserve(ctx, rf, 100, config.AvoidRefusal)
			if err != nil {
				return nil, err
			}
			ho.Release()
		}
		memoryUsed := memoryInUse() - before
		hd.Flush(ctx)
		start := time.Now()
		hd.Flush(ctx)
		cpu.Values = append(cpu.Values, float64(time.Since(start).Microseconds())/1000)
		mem.Values = append(mem.Values, memoryUsed)
		runtime.KeepAlive(refs)
	}
	return []Series{mem, cpu}, nil
}
