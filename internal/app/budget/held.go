package budget

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Held is a grant with outstanding tokens.
type Held struct {
	Ref   ident.BudgetRef
	Grant escrow.GrantRow
}

// Holding is what one incarnation holds.
type Holding struct {
	Incarnation
	Held []Held
}

// Holdings lists the incarnations that hold tokens or are not closed, ordered by
// the time at which they started. It scans all grants, so it is for operators
// only.
func (le *Ledger) Holdings(ctx context.Context) ([]Holding, error) {
	held := map[ident.Incarnation][]Held{}
	err := scan(ctx, le.table, "grant/", func(it store.Item) error {
		gr, err := le.codecs.Grant.Decode(it.Value)
		if err != nil {
			return fmt.Errorf("budget: row %s: %w", it.Key, err)
		}
		parts := strings.Split(it.Key, "/")
		if len(parts) != 4 || gr.Closed || gr.Outstanding() == 0 {
			return nil
		}
		inc := ident.Incarnation(parts[3])
		ref := ident.BudgetRef{Account: ident.Account(parts[1]), Budget: ident.Budget(parts[2])}
		held[inc] = append(held[inc], Held{Ref: ref, Grant: gr})
		return nil
	})
	if err != nil {
		return nil, err
	}
	var out []Holding
	prefix := incarnationKey("")
	err = scan(ctx, le.table, prefix, func(it store.Item) error {
		ir, err := le.codecs.Incarnation.Decode(it.Value)
		if err != nil {
			return fmt.Errorf("budget: row %s: %w", it.Key, err)
		}
		inc := ident.Incarnation(strings.TrimPrefix(it.Key, prefix))
		if ir.State != escrow.Closed || len(held[inc]) > 0 {
			out = append(out, Holding{Incarnation: Incarnation{ID: inc, Row: ir}, Held: held[inc]})
		}
		return nil
	})
	slices.SortStableFunc(out, func(le, ri Holding) int { return cmp.Compare(le.Row.Opened, ri.Row.Opened) })
	return out, err
}

// Incarnation returns the row of an incarnation.
func (le *Ledger) Incarnation(ctx context.Context, inc ident.Incarnation) (escrow.IncarnationRow, error) {
	ir, err := le.incarnation(ctx, inc)
	if err == nil && !ir.exists() {
		err = ErrUnknownIncarnation
	}
	return ir.val, err
}
