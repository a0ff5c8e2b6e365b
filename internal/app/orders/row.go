// Package orders issues orders to model engines. Each order takes the next
// fencing number of its upstream from the table, and loads take turns in a
// bounded number of slots over the fleet.
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
	// Issued means that the order has its number and no result yet.
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
	// Call tells calls with one op apart, so that only the call that took the
	// number passes the order on.
	Call    ident.Op         `json:"call"`
	By      ident.Operator   `json:"by"`
	At      time.Time        `json:"at"`
	Kind    engine.OrderKind `json:"kind"`
	Subject string           `json:"subject"`
	State   State            `json:"state"`
	Detail  string           `json:"detail,omitempty"`
}

// keep is the number of orders in a row. An op that is older than these is not
// recognized when it is repeated.
const keep = 16

// Row is the row order/<upstream>: the latest orders, oldest first.
type Row struct {
	Orders []Entry `json:"orders"`
}

// Fence returns the highest fencing number that was taken, or 0.
func (ro Row) Fence() ident.Fence { return ro.last().Fence }

func (ro Row) last() Entry {
	if len(ro.Orders) == 0 {
		return Entry{}
	}
	return ro.Orders[len(ro.Orders)-1]
}

// Find returns the order with the op.
func (ro Row) Find(op ident.Op) (Entry, bool) {
	for _, en := range ro.Orders {
		if en.Op == op {
			return en, true
		}
	}
	return Entry{}, false
}

// WithOrder returns a copy with a further order.
func (ro Row) WithOrder(en Entry) Row {
	all := append(slices.Clone(ro.Orders), en)
	return Row{all[max(0, len(all)-keep):]}
}

// WithResult returns a copy with the result of the order with the number.
func (ro Row) WithResult(fe ident.Fence, st State, detail string) Row {
	all := slices.Clone(ro.Orders)
	for ix := range all {
		if all[ix].Fence == fe {
			all[ix].State, all[ix].Detail = st, detail
		}
	}
	return Row{all}
}

// Rows gives access to the rows of the upstreams.
type Rows struct {
	table store.Table
	codec store.Codec[Row]
}

// NewRows returns access to the rows in the table.
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
