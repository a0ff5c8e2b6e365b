package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evFleet     = meter.Event{Number: 5131, Level: slog.LevelInfo, Text: "routers of the fleet counted"}
	evFleetLost = meter.Event{Number: 5132, Level: slog.LevelWarn, Text: "routers of the fleet could not be read, those known stay in use"}
)

const (
	// fleetDelay is the wait before the first look, so that routers that start
	// together see each other. They start within 0.3 s.
	fleetDelay = 700 * time.Millisecond
	// fleetEvery is the mean time between two looks.
	fleetEvery = 8 * time.Second
)

// Incarnations lists the routers that are not known to have ended.
type Incarnations interface {
	Incarnations(ctx context.Context) ([]budget.Incarnation, error)
}

// Peer is another router.
type Peer struct {
	VM      ident.VM
	Address string
}

// Fleet knows the routers of the deployment from the rows of their
// incarnations. A VM counts once, however often its router started.
type Fleet struct {
	ledger Incarnations
	own    ident.VM
	meter  meter.Meter
	peers  *snap.Cell[[]Peer]
	count  *snap.Cell[int]
}

// NewFleet returns a fleet that is not known yet.
func NewFleet(ledger Incarnations, own ident.VM, me meter.Meter) *Fleet {
	return &Fleet{
		ledger: ledger, own: own, meter: me, peers: snap.NewCell[[]Peer](nil), count: snap.NewCell(0),
	}
}

// Routers returns the number of routers, or zero while it is not known.
func (fl *Fleet) Routers() int { return fl.count.Load() }

// Peers returns the other routers, the one that started last first. The slice
// must not be changed.
func (fl *Fleet) Peers() []Peer { return fl.peers.Load() }

// Run looks at the rows until ctx ends.
func (fl *Fleet) Run(ctx context.Context) {
	pause, lost := fleetDelay, false
	for sleep(ctx, pause) {
		pause = fleetEvery/2 + rand.N(fleetEvery)
		err := fl.look(ctx)
		if err != nil {
			fl.meter.Count("fleetErrors", "", "", 1)
			pause = fleetDelay
		}
		if err != nil && !lost {
			fl.meter.Log(evFleetLost, slog.Int("routers", fl.count.Load()), slog.String("error", err.Error()))
		}
		lost = err != nil
	}
}

func (fl *Fleet) look(ctx context.Context) error {
	all, err := fl.ledger.Incarnations(ctx)
	if err != nil {
		return err
	}
	slices.SortFunc(all, func(one, two budget.Incarnation) int { return int(two.Row.Opened - one.Row.Opened) })
	var peers []Peer
	seen := map[ident.VM]bool{fl.own: true}
	for _, in := range all {
		if seen[in.Row.VM] || in.Row.State != escrow.Open {
			continue
		}
		seen[in.Row.VM] = true
		peers = append(peers, Peer{VM: in.Row.VM, Address: in.Row.Address})
	}
	fl.peers.Store(peers)
	if before := fl.count.Load(); before != len(seen) {
		fl.meter.Log(evFleet, slog.Int("routers", len(seen)), slog.Int("before", before))
		fl.count.Store(len(seen))
	}
	return nil
}
