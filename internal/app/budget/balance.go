package budget

import (
	"context"
	"fmt"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// scanPageSize is the number of rows that one call reads.
const scanPageSize = 500

// HolderBalance is the part of a budget that one incarnation holds or held.
type HolderBalance struct {
	Incarnation ident.Incarnation
	State       escrow.State
	Grant       escrow.GrantRow
}

// Balance is the state of one budget: Prepaid = Settled + Held + Free.
type Balance struct {
	Ref                          ident.BudgetRef
	Prepaid, Settled, Held, Free ident.Tokens
	Holders                      []HolderBalance
}

// Balance reads the budget and its holders. The rows are read one after the
// other, so the holders can differ from Held while grants are written.
func (le *Ledger) Balance(ctx context.Context, rf ident.BudgetRef) (Balance, error) {
	ro, err := le.budget(ctx, rf)
	if err != nil {
		return Balance{}, err
	}
	if !ro.exists() {
		return Balance{}, ErrUnknownBudget
	}
	ba := Balance{Ref: rf, Prepaid: ro.val.Prepaid, Settled: ro.val.Settled, Held: ro.val.Granted, Free: ro.val.Free()}
	prefix := grantPrefix(rf)
	err = scan(ctx, le.table, prefix, func(it store.Item) error {
		gr, err := le.codecs.Grant.Decode(it.Value)
		if err != nil {
			return fmt.Errorf("budget: row %s: %w", it.Key, err)
		}
		hb := HolderBalance{Incarnation: ident.Incarnation(strings.TrimPrefix(it.Key, prefix)), Grant: gr}
		ir, err := le.incarnation(ctx, hb.Incarnation)
		hb.State = ir.val.State
		ba.Holders = append(ba.Holders, hb)
		return err
	})
	return ba, err
}

// Incarnation is one start of a router, with its row in the table.
type Incarnation struct {
	ID  ident.Incarnation
	Row escrow.IncarnationRow
}

// Incarnations lists the incarnations that are not closed. It omits rows that cannot be
// decoded, so that one of them does not hide all routers; Holdings returns their error.
func (le *Ledger) Incarnations(ctx context.Context) ([]Incarnation, error) {
	var all []Incarnation
	prefix := incarnationKey("")
	err := scan(ctx, le.table, prefix, func(it store.Item) error {
		ir, err := le.codecs.Incarnation.Decode(it.Value)
		if err == nil && ir.State != escrow.Closed {
			all = append(all, Incarnation{ID: ident.Incarnation(strings.TrimPrefix(it.Key, prefix)), Row: ir})
		}
		return nil
	})
	return all, err
}

// scan calls each for all rows with the prefix, in key order, until it returns an
// error or a read fails.
func scan(ctx context.Context, table store.Table, prefix string, each func(store.Item) error) error {
	after := ""
	for {
		items, err := table.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return err
		}
		for _, it := range items {
			if err := each(it); err != nil {
				return err
			}
			after = it.Key
		}
		if len(items) < scanPageSize {
			return nil
		}
	}
}
