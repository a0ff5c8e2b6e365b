package orders

import (
	"context"
	"errors"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Slot is the row weights/<n>: the right to load from the weight store. It is
// freed with the result of the order or by an operator, never by a clock, since
// a load whose result is unknown may still use the weight store.
type Slot struct {
	Number   int            `json:"number"`
	Upstream ident.Upstream `json:"upstream"`
	Fence    ident.Fence    `json:"fence"`
	By       ident.Operator `json:"by"`
	// Since is the order that first claimed the slot. It is lower than Fence
	// if a later load of the upstream uses the slot.
	Since ident.Fence `json:"since"`
}

// DefaultSlots is the number of loads that may be in progress over the fleet.
const DefaultSlots = 4

const slotPrefix = "weights/"

// maxSlots bounds the slots, so that one scan reads all.
const maxSlots = 100

func slotKey(num int) string { return fmt.Sprintf("%s%d", slotPrefix, num) }

// Slots gives access to the rows of the slots.
type Slots struct {
	table store.Table
	codec store.Codec[Slot]
	most  int
}

// NewSlots returns access to most slots, 1 to 100. All routers of a fleet use
// the same number.
func NewSlots(ta store.Table, co store.Codec[Slot], most int) Slots {
	return Slots{ta, co, min(max(most, 1), maxSlots)}
}

// held is a slot with the version of its row.
type held struct {
	Slot
	version uint64
}

func (ss Slots) scan(ctx context.Context) ([]held, error) {
	items, err := ss.table.Scan(ctx, slotPrefix, "", maxSlots)
	if err != nil {
		return nil, err
	}
	out := make([]held, 0, len(items))
	for _, it := range items {
		sl, err := ss.codec.Decode(it.Value)
		if err != nil {
			return nil, fmt.Errorf("orders: row %s: %w", it.Key, err)
		}
		out = append(out, held{sl, it.Version})
	}
	return out, nil
}

// All returns the held slots.
func (ss Slots) All(ctx context.Context) ([]Slot, error) {
	all, err := ss.scan(ctx)
	out := make([]Slot, 0, len(all))
	for _, he := range all {
		out = append(out, he.Slot)
	}
	return out, err
}

// claim returns the write that claims a slot for the load. An upstream that
// holds a slot from an earlier load keeps it.
func (ss Slots) claim(ctx context.Context, up ident.Upstream, en Entry) ([]store.Write, error) {
	if en.Kind == engine.ChangeRole {
		return nil, nil
	}
	all, err := ss.scan(ctx)
	if err != nil {
		return nil, err
	}
	num, since, version := ss.pick(all, up, en.Fence)
	if num < 0 {
		ns := &NoSlot{}
		for _, he := range all {
			ns.Held = append(ns.Held, he.Slot)
		}
		return nil, ns
	}
	data, err := ss.codec.Encode(Slot{num, up, en.Fence, en.By, since})
	return []store.Write{{Key: slotKey(num), Value: data, IfVersion: version}}, err
}

func (ss Slots) pick(all []held, up ident.Upstream, fe ident.Fence) (int, ident.Fence, uint64) {
	taken := make([]bool, maxSlots)
	for _, he := range all {
		if he.Upstream == up {
			return he.Number, he.Since, he.version
		}
		if he.Number >= 0 && he.Number < maxSlots {
			taken[he.Number] = true
		}
	}
	for num := range ss.most {
		if !taken[num] {
			return num, fe, store.Absent
		}
	}
	return -1, fe, store.Absent
}

// release returns the write that frees the slot of an order with a result, if
// it holds one. A refused order does not free a slot that an earlier one
// claimed, because nothing is known about that load.
func (ss Slots) release(ctx context.Context, up ident.Upstream, en Entry) ([]store.Write, error) {
	all, err := ss.scan(ctx)
	if err != nil {
		return nil, err
	}
	for _, he := range all {
		if he.Upstream == up && he.Fence == en.Fence && (en.State == Done || he.Since == en.Fence) {
			return []store.Write{{Key: slotKey(he.Number), IfVersion: he.version, Mode: store.Delete}}, nil
		}
	}
	return nil, nil
}

// Free frees a slot on behalf of an operator, who names the upstream as a
// confirmation that it no longer loads.
func (ss Slots) Free(ctx context.Context, num int, up ident.Upstream) error {
	it, ok, err := ss.table.Get(ctx, slotKey(num))
	if err != nil {
		return err
	}
	sl, derr := ss.codec.Decode(it.Value)
	if !ok || derr == nil && sl.Upstream != up {
		return fmt.Errorf("%w: slot %d, upstream %s", ErrNotHeld, num, up)
	}
	err = ss.table.Commit(ctx, store.Write{Key: it.Key, IfVersion: it.Version, Mode: store.Delete})
	if errors.Is(err, store.ErrUncertain) {
		if _, still, rerr := ss.table.Get(ctx, it.Key); rerr == nil && !still {
			return nil
		}
	}
	return err
}
