// Package orders issues orders to model engines. Each order gets the next fencing
// number of its upstream from the table. A fixed number of slots limits the
// concurrent loads from the weight store across the fleet.
package orders

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// State is what is known about an order.
type State string

const (
	// Issued means that the order has a fencing number and no result yet.
	Issued State = "issued"
	// Done means that the engine accepted the order.
	Done State = "done"
	// Refused means that the order did not and will not take effect.
	Refused State = "refused"
	// Unknown means that the order may have taken effect.
	Unknown State = "unknown"
)

// Entry is one order in the row of its upstream.
type Entry struct {
	Fence ident.Fence `json:"fence"`
	Op    ident.Op    `json:"op"`
	// Call identifies the call of Issue that reserved the number. Only that call
	// sends the order, although other calls may have the same op.
	Call    ident.Op         `json:"call"`
	By      ident.Operator   `json:"by"`
	At      time.Time        `json:"at"`
	Kind    engine.OrderKind `json:"kind"`
	Subject string           `json:"subject"`
	State   State            `json:"state"`
	Detail  string           `json:"detail,omitempty"`
}

// maxRowOrders is the number of orders that a row holds. The op of an older order
// is not recognized when it is repeated.
const maxRowOrders = 16

// Row is the row order/<upstream>: the latest orders, oldest first.
type Row struct {
	Orders []Entry `json:"orders"`
}

// Fence returns the highest fencing number that was assigned, or 0.
func (ro Row) Fence() ident.Fence { return ro.last().Fence }

func (ro Row) last() Entry {
	if len(ro.Orders) == 0 {
		return Entry{}
	}
	return ro.Orders[len(ro.Orders)-1]
}

// Find returns the order with the op, and whether there is one.
func (ro Row) Find(op ident.Op) (Entry, bool) {
	for _, en := range ro.Orders {
		if en.Op == op {
			return en, true
		}
	}
	return Entry{}, false
}

// WithOrder returns a copy with the order appended. The oldest orders beyond
// maxRowOrders are dropped.
func (ro Row) WithOrder(en Entry) Row {
	all := append(slices.Clone(ro.Orders), en)
	return Row{all[max(0, len(all)-maxRowOrders):]}
}

// WithResult returns a copy in which the order with the given fencing number has
// the state and detail.
func (ro Row) WithResult(fe ident.Fence, st State, detail string) Row {
	all := slices.Clone(ro.Orders)
	for ix := range all {
		if all[ix].Fence == fe {
			all[ix].State, all[ix].Detail = st, detail
		}
	}
	return Row{all}
}

// Rows reads and writes the rows of orders, one per upstream.
type Rows struct {
	table store.Table
	codec store.Codec[Row]
}

// NewRows returns the rows that are stored in the table.
func NewRows(ta store.Table, co store.Codec[Row]) Rows { return Rows{ta, co} }

func rowKey(up ident.Upstream) string { return "order/" + string(up) }

// Read returns the row and its version; a missing row is empty.
func (rs Rows) Read(ctx context.Context, up ident.Upstream) (Row, uint64, error) {
	it, ok, err := rs.table.Get(ctx, rowKey(up))
	if err != nil || !ok {
		return Row{}, store.Absent, err
	}
	ro, err := rs.codec.Decode(it.Value)
	if err != nil {
		return Row{}, 0, fmt.Errorf("orders: row %s: %w", it.Key, err)
	}
	return ro, it.Version, nil
}

func (rs Rows) write(up ident.Upstream, ro Row, version uint64) (store.Write, error) {
	data, err := rs.codec.Encode(ro)
	return store.Write{Key: rowKey(up), Value: data, IfVersion: version}, err
}
