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

var evNoNode = meter.Event{Number: 6006, Level: slog.LevelWarn, Text: "the node's row could not be written"}

// nodePrefix starts the keys of the rows that routers write about themselves.
const nodePrefix = "node/"

// nodePage is the number of rows read by one scan.
const nodePage = 500

// Node is the row node/<vm>: what is in force at a router and its sidecars.
type Node struct {
	VM          ident.VM          `json:"vm"`
	Domain      ident.Domain      `json:"domain"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Revision    ident.Revision    `json:"revision"`
	// Since is when the router began to use the revision.
	Since time.Time `json:"since"`
	// InStep counts the linked sidecars that report the router's revision.
	InStep int `json:"inStep"`
	// Others are the linked sidecars that report another one. Only these are
	// named, so that the row of a router with many links stays small.
	Others []SidecarRevision `json:"others,omitempty"`
}

// SidecarRevision is the revision that a sidecar reports over a link.
type SidecarRevision struct {
	Upstream ident.Upstream `json:"upstream"`
	Revision ident.Revision `json:"revision"`
}

// WithSidecars returns a copy with the revisions that the sidecars report.
func (no Node) WithSidecars(has map[ident.Upstream]ident.Revision) Node {
	no.InStep, no.Others = 0, nil
	for id, re := range has {
		if re == no.Revision {
			no.InStep++
			continue
		}
		no.Others = append(no.Others, SidecarRevision{id, re})
	}
	slices.SortFunc(no.Others, func(le, ri SidecarRevision) int {
		if le.Upstream < ri.Upstream {
			return -1
		}
		return 1
	})
	return no
}

// Same reports whether the rows say the same.
func (no Node) Same(other Node) bool {
	return no.VM == other.VM && no.Domain == other.Domain && no.Incarnation == other.Incarnation &&
		no.Revision == other.Revision && no.Since.Equal(other.Since) && no.InStep == other.InStep &&
		slices.Equal(no.Others, other.Others)
}

// Nodes gives access to the rows of the routers.
type Nodes struct {
	table store.Table
	codec store.Codec[Node]
}

// NewNodes returns access to the rows in the table.
func NewNodes(ta store.Table, co store.Codec[Node]) Nodes { return Nodes{ta, co} }

// All returns the rows of all routers ordered by VM.
func (ns Nodes) All(ctx context.Context) ([]Node, error) {
	var out []Node
	after := ""
	for {
		items, err := ns.table.Scan(ctx, nodePrefix, after, nodePage)
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
		if len(items) < nodePage {
			return out, nil
		}
	}
}

// put replaces the router's row.
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

// remove deletes the row of a router. With an incarnation it leaves the row of
// another one, which a router that was restarted has written.
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

// Nodes lists what is in force where.
func (se *Service) Nodes(ctx context.Context) ([]Node, error) { return se.nodes.All(ctx) }

// ForgetNode deletes the row of a router that is gone. A router that still runs
// writes it again at its next change.
func (se *Service) ForgetNode(ctx context.Context, vm ident.VM) error {
	return se.nodes.remove(ctx, vm, "")
}

const (
	// reportEvery is how often a router compares its state with its row. It
	// also bounds the writes during a change.
	reportEvery = time.Second
	// reportTime bounds one write.
	reportTime = 3 * time.Second
)

// Reporter writes the router's row when its content has changed.
type Reporter struct {
	nodes  Nodes
	state  func() Node
	met    meter.Meter
	last   Node
	failed bool
}

// NewReporter returns a reporter of the state.
func NewReporter(ns Nodes, state func() Node, me meter.Meter) *Reporter {
	return &Reporter{nodes: ns, state: state, met: me}
}

// Run reports until ctx ends, and then deletes the row, so that VMs that are
// replaced leave none behind.
func (rp *Reporter) Run(ctx context.Context) {
	ti := time.NewTicker(reportEvery)
	defer ti.Stop()
	for {
		rp.report(ctx, rp.state())
		select {
		case <-ti.C:
		case <-ctx.Done():
			rp.leave(context.WithoutCancel(ctx))
			return
		}
	}
}

// report writes the row if it differs from the last one that was written. A
// write that fails is tried again with the state of the next round.
func (rp *Reporter) report(ctx context.Context, no Node) {
	if no.Same(rp.last) || no.Revision == 0 {
		return
	}
	ctx, stop := context.WithTimeout(ctx, reportTime)
	defer stop()
	err := rp.nodes.put(ctx, no)
	if err == nil {
		rp.last, rp.failed = no, false
		return
	}
	if !rp.failed && ctx.Err() == nil {
		rp.met.Log(evNoNode, slog.String("error", err.Error()))
	}
	rp.failed = true
}

func (rp *Reporter) leave(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, reportTime)
	defer stop()
	no := rp.state()
	if err := rp.nodes.remove(ctx, no.VM, no.Incarnation); err != nil && !errors.Is(err, ErrNotFound) {
		rp.met.Log(evNoNode, slog.String("error", err.Error()))
	}
}
