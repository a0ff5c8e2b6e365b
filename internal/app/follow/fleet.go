package follow

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var (
	evFleetChanged = meter.Event{Number: 5131, Level: slog.LevelInfo, Text: "number of routers in the fleet changed"}
	evFleetLost    = meter.Event{Number: 5132, Level: slog.LevelWarn, Text: "routers of the fleet could not be read, the last known ones stay in use"}
)

const (
	// fleetDelay is the delay before the first read. It lets routers that start
	// together find each other: they start within 0.3 s. It is also the delay after
	// a failed read.
	fleetDelay = 700 * time.Millisecond
	// fleetInterval is the mean time between two reads.
	fleetInterval = 8 * time.Second
	// coldHold is the time after the first read in which the router sends nothing to cold
	// upstreams. A process that was just started again may have sent its share to them in
	// the second before.
	coldHold = 500 * time.Millisecond
)

// Incarnations lists the routers that are not known to have ended.
type Incarnations interface {
	Incarnations(ctx context.Context) ([]budget.Incarnation, error)
}

// Peer is another router.
type Peer struct {
	VM      ident.VM
	Domain  ident.Domain
	Address string
}

// Fleet tracks the routers of the deployment by the rows of their incarnations. A
// VM counts once, however often its router was started.
type Fleet struct {
	ledger Incarnations
	own    ident.VM
	meter  meter.Meter
	peers  *snap.Cell[[]Peer]
	count  *snap.Cell[int]
	// routers is known once the own VM is listed, so that others know this router too.
	routers *snap.Cell[place.Routers]
	vms     []ident.VM
	// knownFrom is when this router begins to send to cold upstreams.
	knownFrom time.Time
}

// NewFleet returns a Fleet that does not know any routers yet.
func NewFleet(ledger Incarnations, own ident.VM, me meter.Meter) *Fleet {
	return &Fleet{
		ledger: ledger, own: own, meter: me, peers: snap.NewCell[[]Peer](nil), count: snap.NewCell(0),
		routers: snap.NewCell(place.Routers{}),
	}
}

// Routers returns all routers, this one included, or none while the others may not know
// this one.
func (fl *Fleet) Routers() place.Routers { return fl.routers.Load() }

// RouterCount returns the number of routers, or zero while it is not known.
func (fl *Fleet) RouterCount() int { return fl.count.Load() }

// Peers returns the other routers, ordered from the latest start to the earliest.
// The caller must not change the slice.
func (fl *Fleet) Peers() []Peer { return fl.peers.Load() }

// Run reads the rows repeatedly until ctx ends.
func (fl *Fleet) Run(ctx context.Context) {
	pause, lost := fleetDelay, false
	for sleep(ctx, pause) {
		pause = fleetInterval/2 + rand.N(fleetInterval)
		err := fl.refresh(ctx)
		if err != nil {
			fl.meter.Count("fleetErrors", "", "", 1)
			pause = fleetDelay
		}
		if fl.vms == nil {
			pause = fleetDelay
		}
		if err != nil && !lost {
			fl.meter.Log(evFleetLost, slog.Int("routers", fl.count.Load()), slog.String("error", err.Error()))
		}
		lost = err != nil
	}
}

// refresh reads the rows once and updates the peers and the number of routers.
func (fl *Fleet) refresh(ctx context.Context) error {
	all, err := fl.ledger.Incarnations(ctx)
	if err != nil {
		return err
	}
	slices.SortFunc(all, func(one, two budget.Incarnation) int { return int(two.Row.Opened - one.Row.Opened) })
	var peers []Peer
	seen, listed := map[ident.VM]bool{fl.own: true}, false
	for _, in := range all {
		listed = listed || in.Row.VM == fl.own && in.Row.State == escrow.Open
		if seen[in.Row.VM] || in.Row.State != escrow.Open {
			continue
		}
		seen[in.Row.VM] = true
		peers = append(peers, Peer{VM: in.Row.VM, Domain: in.Row.Domain, Address: in.Row.Address})
	}
	fl.peers.Store(peers)
	if before := fl.count.Load(); before != len(seen) {
		fl.meter.Log(evFleetChanged, slog.Int("routers", len(seen)), slog.Int("before", before))
		fl.count.Store(len(seen))
	}
	if listed {
		fl.setRouters(slices.Sorted(maps.Keys(seen)))
	}
	return nil
}

// setRouters updates the routers among which the capacity of cold upstreams is divided.
func (fl *Fleet) setRouters(vms []ident.VM) {
	if slices.Equal(vms, fl.vms) {
		return
	}
	if fl.vms == nil {
		fl.knownFrom = time.Now().Add(coldHold)
	}
	fl.vms = vms
	fl.routers.Store(place.NewRouters(fl.own, fl.knownFrom, vms...))
}
