package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

var evNodeRowFailed = meter.Event{Number: 6006, Level: slog.LevelWarn, Text: "the node's row could not be written or deleted"}

// nodePrefix is the key prefix of the rows in which routers report their state.
const nodePrefix = "node/"

// nodePageSize is the maximum number of rows of one scan.
const nodePageSize = 500

// Node is the row node/<vm>, which reports the configuration revisions that a
// router and its sidecars use.
type Node struct {
	VM          ident.VM          `json:"vm"`
	Domain      ident.Domain      `json:"domain"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Revision    ident.Revision    `json:"revision"`
	// Since is the time at which the router started to use the revision.
	Since time.Time `json:"since"`
	// InSync is the number of linked sidecars that report the router's revision.
	InSync int `json:"inStep"`
	// OutOfSync lists the linked sidecars that report a different revision. Only
	// these are listed, so that the row of a router with many links stays small.
	OutOfSync []SidecarRevision `json:"others,omitempty"`
}

// SidecarRevision is the revision that a sidecar reports over a link.
type SidecarRevision struct {
	Upstream ident.Upstream `json:"upstream"`
	Revision ident.Revision `json:"revision"`
}

// WithSidecars returns a copy with the revisions that the linked sidecars
// report.
func (no Node) WithSidecars(has map[ident.Upstream]ident.Revision) Node {
	no.InSync, no.OutOfSync = 0, nil
	for id, re := range has {
		if re == no.Revision {
			no.InSync++
			continue
		}
		no.OutOfSync = append(no.OutOfSync, SidecarRevision{id, re})
	}
	slices.SortFunc(no.OutOfSync, func(le, ri SidecarRevision) int {
		if le.Upstream < ri.Upstream {
			return -1
		}
		return 1
	})
	return no
}

// Same reports whether the nodes are equal. It compares the times as instants.
func (no Node) Same(other Node) bool {
	return no.VM == other.VM && no.Domain == other.Domain && no.Incarnation == other.Incarnation &&
		no.Revision == other.Revision && no.Since.Equal(other.Since) && no.InSync == other.InSync &&
		slices.Equal(no.OutOfSync, other.OutOfSync)
}

// Nodes reads and writes the rows of the routers.
type Nodes struct {
	table store.Table
	codec store.Codec[Node]
}

// NewNodes returns the rows that are stored in the table.
func NewNodes(ta store.Table, co store.Codec[Node]) Nodes { return Nodes{ta, co} }

// All returns the rows of all routers ordered by VM.
func (ns Nodes) All(ctx context.Context) ([]Node, error) {
	var out []Node
	after := ""
	for {
		items, err := ns.table.Scan(ctx, nodePrefix, after, nodePageSize)
		if err != nil {
			return nil, err
		}
		for _, it := range items {
			no, err := ns.codec.Decode(it.Value)
			if err != nil {
				return nil, fmt.Errorf("admin: row %s: %w", it.Key, err)
			}
			out = append(out, no)
			after = it.Key
		}
		if len(items) < nodePageSize {
			return out, nil
		}
	}
}

// put creates or replaces the router's row.
func (ns Nodes) put(ctx context.Context, no Node) error {
	key := nodePrefix + string(no.VM)
	it, _, err := ns.table.Get(ctx, key)
	if err != nil {
		return err
	}
	data, err := ns.codec.Encode(no)
	if err != nil {
		return err
	}
	return ns.table.Commit(ctx, store.Write{Key: key, Value: data, IfVersion: it.Version})
}

// remove deletes the row of a router. If only is not empty, it keeps the row of
// any other incarnation, which a restarted router has written.
func (ns Nodes) remove(ctx context.Context, vm ident.VM, only ident.Incarnation) error {
	key := nodePrefix + string(vm)
	it, ok, err := ns.table.Get(ctx, key)
	switch {
	case err != nil:
		return err
	case !ok:
		return fmt.Errorf("%w: node %s", ErrNotFound, vm)
	}
	no, err := ns.codec.Decode(it.Value)
	if err == nil && only != "" && no.Incarnation != only {
		return nil
	}
	return ns.table.Commit(ctx, store.Write{Key: key, IfVersion: it.Version, Mode: store.Delete})
}

// Nodes lists the state of all routers ordered by VM.
func (se *Service) Nodes(ctx context.Context) ([]Node, error) { return se.nodes.All(ctx) }

// RemoveNode deletes the row of a router that no longer exists. A router that
// still runs writes the row again when its state changes.
func (se *Service) RemoveNode(ctx context.Context, vm ident.VM) error {
	return se.nodes.remove(ctx, vm, "")
}

const (
	// reportInterval is the interval at which a router compares its state with
	// the row that it wrote last. It also limits the rate of writes while the
	// state changes.
	reportInterval = time.Second
	// reportTimeout is the timeout of one write or deletion.
	reportTimeout = 3 * time.Second
)

// Reporter writes the router's row when the router's state has changed.
type Reporter struct {
	nodes       Nodes
	state       func() Node
	met         meter.Meter
	lastWritten Node
	failed      bool
}

// NewReporter returns a reporter of the state that the function returns.
func NewReporter(ns Nodes, state func() Node, me meter.Meter) *Reporter {
	return &Reporter{nodes: ns, state: state, met: me}
}

// Run reports until ctx ends, and then deletes the row, so that no rows of
// replaced VMs remain.
func (rp *Reporter) Run(ctx context.Context) {
	ti := time.NewTicker(reportInterval)
	defer ti.Stop()
	for {
		rp.report(ctx, rp.state())
		select {
		case <-ti.C:
		case <-ctx.Done():
			rp.deleteRow(context.WithoutCancel(ctx))
			return
		}
	}
}

// report writes the row if it differs from the last one that was written. After
// a failed write, the next call tries again with the state that it is given.
func (rp *Reporter) report(ctx context.Context, no Node) {
	if no.Same(rp.lastWritten) || no.Revision == 0 {
		return
	}
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	err := rp.nodes.put(ctx, no)
	if err == nil {
		rp.lastWritten, rp.failed = no, false
		return
	}
	if !rp.failed && ctx.Err() == nil {
		rp.met.Log(evNodeRowFailed, slog.String("error", err.Error()))
	}
	rp.failed = true
}

// deleteRow deletes the row unless another incarnation has written it.
func (rp *Reporter) deleteRow(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	no := rp.state()
	if err := rp.nodes.remove(ctx, no.VM, no.Incarnation); err != nil && !errors.Is(err, ErrNotFound) {
		rp.met.Log(evNodeRowFailed, slog.String("error", err.Error()))
	}
}
