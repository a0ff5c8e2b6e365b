package update_test

import (
	"context"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// naive is a node without conflict detection, in which the histories must detect
// failures: the last write wins, and the node uses whatever the table returns.
type naive struct {
	port *port
	cell *snap.Cell[config.Snapshot]
}

func startNaive(ctx context.Context, po *port) *naive {
	na := &naive{port: po, cell: snap.NewCell(config.Snapshot{})}
	go func() {
		ti := time.NewTicker(time.Second)
		defer ti.Stop()
		for {
			if it, ok, err := po.Get(ctx, "naive"); ok && err == nil {
				if sn, err := codecs.Config.Decode(it.Value); err == nil {
					na.cell.Store(sn)
				}
			}
			select {
			case <-ti.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return na
}

// revision returns the revision in force.
func (na *naive) revision() ident.Revision { return na.cell.Load().Revision() }

// accept overwrites the row with the next revision, whatever it contains. The
// pause is the time between an operator's read and write.
func (na *naive) accept(ctx context.Context, by ident.Operator) (ident.Revision, bool) {
	it, _, err := na.port.Get(ctx, "naive")
	if err != nil {
		return 0, false
	}
	sn := config.Snapshot{}
	if it.Version > 0 {
		sn, _ = codecs.Config.Decode(it.Value)
	}
	time.Sleep(editTime)
	sn = sn.WithRevision(sn.Revision()+1, by)
	doc, _ := codecs.Config.Encode(sn)
	for {
		it, _, err := na.port.Get(ctx, "naive")
		if err != nil {
			return 0, false
		}
		err = na.port.Commit(ctx, store.Write{Key: "naive", Value: doc, IfVersion: it.Version})
		if err != store.ErrConflict {
			return sn.Revision(), err == nil
		}
		// While the table returns an older state, every attempt conflicts.
		// Without the pause, the clock of the test would not advance.
		time.Sleep(editTime)
		if ctx.Err() != nil {
			return 0, false
		}
	}
}
