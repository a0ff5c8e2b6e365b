package orders

import (
	"context"
	"errors"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Slot is the row weights/<n>, which permits one load from the weight store. It
// is freed with the result of the order or by an operator, but does not expire,
// because a load whose result is unknown may still use the weight store.
type Slot struct {
	Number   int            `json:"number"`
	Upstream ident.Upstream `json:"upstream"`
	Fence    ident.Fence    `json:"fence"`
	By       ident.Operator `json:"by"`
	// FirstFence is the fencing number of the order that claimed the slot first. It
	// is lower than Fence if a later load of the upstream uses the slot.
	FirstFence ident.Fence `json:"since"`
}

// DefaultSlots is the default number of loads that may be in progress across the
// fleet.
const DefaultSlots = 4

const slotPrefix = "weights/"

// maxSlots bounds the number of slots, so that one scan reads all of them.
const maxSlots = 100

func slotKey(num int) string { return fmt.Sprintf("%s%d", slotPrefix, num) }

// Slots reads and writes the rows of the slots.
type Slots struct {
	table store.Table
	codec store.Codec[Slot]
	limit int
}

// NewSlots returns the slots in the table. limit is their number, 1 to 100. All
// routers of a fleet must use the same number.
func NewSlots(ta store.Table, co store.Codec[Slot], limit int) Slots {
	return Slots{ta, co, min(max(limit, 1), maxSlots)}
}

// heldSlot is a slot with the version of its row.
type heldSlot struct {
	Slot
	version uint64
}

func (ss Slots) scan(ctx context.Context) ([]heldSlot, error) {
	items, err := ss.table.Scan(ctx, slotPrefix, "", maxSlots)
	if err != nil {
		return nil, err
	}
	out := make([]heldSlot, 0, len(items))
	for _, it := range items {
		sl, err := ss.codec.Decode(it.Value)
		if err != nil {
			return nil, fmt.Errorf("orders: row %s: %w", it.Key, err)
		}
		out = append(out, heldSlot{sl, it.Version})
	}
	return out, nil
}

// All returns the held slots.
func (ss Slots) All(ctx context.Context) ([]Slot, error) {
	all, err := ss.scan(ctx)
	out := make([]Slot, 0, len(all))
	for _, hs := range all {
		out = append(out, hs.Slot)
	}
	return out, err
}

// claim returns the write that claims a slot for a load. An upstream that still
// holds a slot from an earlier load uses that slot again.
func (ss Slots) claim(ctx context.Context, up ident.Upstream, en Entry) ([]store.Write, error) {
	if en.Kind == engine.ChangeRole {
		return nil, nil
	}
	all, err := ss.scan(ctx)
	if err != nil {
		return nil, err
	}
	num, first, version := ss.choose(all, up, en.Fence)
	if num < 0 {
		ns := &NoSlotError{}
		for _, hs := range all {
			ns.Held = append(ns.Held, hs.Slot)
		}
		return nil, ns
	}
	data, err := ss.codec.Encode(Slot{num, up, en.Fence, en.By, first})
	return []store.Write{{Key: slotKey(num), Value: data, IfVersion: version}}, err
}

// choose returns the number of the slot that the upstream holds or of a free
// slot, or -1, with the slot's first fencing number and the version of its row.
func (ss Slots) choose(all []heldSlot, up ident.Upstream, fe ident.Fence) (int, ident.Fence, uint64) {
	taken := make([]bool, maxSlots)
	for _, hs := range all {
		if hs.Upstream == up {
			return hs.Number, hs.FirstFence, hs.version
		}
		if hs.Number >= 0 && hs.Number < maxSlots {
			taken[hs.Number] = true
		}
	}
	for num := range ss.limit {
		if !taken[num] {
			return num, fe, store.Absent
		}
	}
	return -1, fe, store.Absent
}

// release returns the write that frees the slot of an order that is done or
// refused, if it holds one. A refused order does not free a slot that an earlier
// order claimed, because the load of that order may still be in progress.
func (ss Slots) release(ctx context.Context, up ident.Upstream, en Entry) ([]store.Write, error) {
	all, err := ss.scan(ctx)
	if err != nil {
		return nil, err
	}
	for _, hs := range all {
		if hs.Upstream == up && hs.Fence == en.Fence && (en.State == Done || hs.FirstFence == en.Fence) {
			return []store.Write{{Key: slotKey(hs.Number), IfVersion: hs.version, Mode: store.Delete}}, nil
		}
	}
	return nil, nil
}

// Free frees a slot on behalf of an operator, who gives the upstream to confirm
// that it no longer loads.
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
