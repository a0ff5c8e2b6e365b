// Package resume keeps which software release of a service began each stream. Streams of
// different releases do not fit together, and upstreams do not check this, so that a
// stream that broke off may only go on at upstreams of the release that began it.
package resume

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamwood/balsamwood/internal/app/follow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/place"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var evMixed = meter.Event{Number: 5161, Level: slog.LevelInfo, Text: "more than one software release may have begun streams of a service, streams are recorded at other routers"}

const (
	// holders is the number of routers that keep the record of a stream, beside the one
	// that serves it. Routers fail together.
	holders = 3
	// publishInterval is the time in which records are collected into one message.
	publishInterval = 50 * time.Millisecond
	// maxQueued bounds the records that wait to be published, and maxBatch those of one
	// message.
	maxQueued = 4096
	maxBatch  = 512
	// retention is how long a record is kept after the deadline of its stream.
	retention = 5 * time.Second
	// historySpan is how long releases are remembered after their last upstream has gone.
	// It exceeds the life of a stream.
	historySpan = 2 * time.Minute
)

// Stream is a stream that an upstream has begun.
type Stream struct {
	// ID is the request that brought the first event to the caller.
	ID      ident.Request
	Service ident.Service
	// Release is the software release of the upstream.
	Release string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Peers reach other routers.
type Peers interface {
	// SendStreams gives records to the router at the address.
	SendStreams(ctx context.Context, addr string, streams []Stream) error
	// FetchStream requests what the router at the address knows of a stream.
	FetchStream(ctx context.Context, addr string, qu Query) (Stream, bool, error)
}

// Query is the question which release began a stream.
type Query struct {
	// ID is the request that brought the first event, or empty if it is not known.
	ID      ident.Request
	Service ident.Service
	// Since is the earliest time at which the stream can have begun.
	Since time.Time
}

// Option configures a Registry.
type Option func(*Registry)

// WithMeter sets the meter. By default, nothing is recorded.
func WithMeter(me meter.Meter) Option { return func(re *Registry) { re.meter = me } }

// Registry holds the records of the streams that this router serves, and of those for
// which it is a holder. It is safe for concurrent use.
type Registry struct {
	routers func() []follow.Peer
	peers   Peers
	meter   meter.Meter
	// streams holds a Stream for each ident.Request.
	streams sync.Map
	history *snap.Cell[place.ReleaseHistory]
	queue   chan Stream
	// mixed holds the services with more than one release. Only Observe uses it.
	mixed map[ident.Service]bool
}

// NewRegistry returns an empty registry. routers returns the other routers.
func NewRegistry(routers func() []follow.Peer, peers Peers, opts ...Option) *Registry {
	re := &Registry{
		routers: routers, peers: peers, meter: meter.Nop{},
		history: snap.NewCell(place.ReleaseHistory{}), queue: make(chan Stream, maxQueued), mixed: map[ident.Service]bool{},
	}
	for _, opt := range opts {
		opt(re)
	}
	return re
}

// Observe records which upstreams are known now. current says that none can be missing,
// because the source of the upstreams responds. It must not be called concurrently.
func (re *Registry) Observe(mp place.EndpointMap, current bool) {
	now := time.Now()
	next := re.history.Load()
	if !current || !next.Begun() {
		next = next.WithGap(now)
	}
	next = next.WithUpstreams(mp, now.Add(-historySpan), now)
	re.history.Store(next)
	for _, se := range mp.Services() {
		mixed := !next.Single(se)
		if mixed && !re.mixed[se] {
			re.meter.Log(evMixed, slog.String("service", string(se)))
			re.publishCurrent(se)
		}
		re.mixed[se] = mixed
	}
	re.forget(now)
}

// publishCurrent publishes the records of the streams in progress, which were not
// published while the service had one release.
func (re *Registry) publishCurrent(se ident.Service) {
	re.streams.Range(func(_, value any) bool {
		if st := value.(Stream); st.Service == se {
			re.publish(st)
		}
		return true
	})
}

func (re *Registry) forget(now time.Time) {
	re.streams.Range(func(key, value any) bool {
		if now.After(value.(Stream).Deadline.Add(retention)) {
			re.streams.Delete(key)
		}
		return true
	})
}

// Began records a stream whose first event is about to reach the caller. since is the
// earliest time at which other streams of the service that are in progress can have
// begun.
func (re *Registry) Began(st Stream, since time.Time) {
	re.streams.Store(st.ID, st)
	if _, only := re.history.Load().Only(st.Service, since); !only {
		re.publish(st)
	}
}

// publish queues a record. When the queue is full, the record stays at this router.
func (re *Registry) publish(st Stream) {
	select {
	case re.queue <- st:
	default:
		re.meter.Count("streamRecords", "result", "dropped", 1)
	}
}

// Add keeps records of other routers.
func (re *Registry) Add(streams []Stream) {
	for _, st := range streams {
		re.streams.Store(st.ID, st)
	}
}

// Lookup returns what this router knows of a stream: its record, or the only release that
// can have begun it.
func (re *Registry) Lookup(qu Query) (Stream, bool) {
	if value, ok := re.streams.Load(qu.ID); ok && qu.ID != "" {
		return value.(Stream), true
	}
	release, ok := re.history.Load().Only(qu.Service, qu.Since)
	return Stream{ID: qu.ID, Service: qu.Service, Release: release}, ok
}

// Find returns what any router knows of a stream. If this one knows nothing, it asks the
// holders of the record and one more router, which may know that there is only one
// release.
func (re *Registry) Find(ctx context.Context, qu Query) (Stream, bool) {
	if st, ok := re.Lookup(qu); ok {
		return st, true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := re.holdersOf(qu.ID)
	if all := re.routers(); len(all) > 0 {
		asked = append(asked, all[rand.IntN(len(all))])
	}
	found := make(chan *Stream, len(asked))
	for _, ro := range asked {
		go func() {
			st, ok, err := re.peers.FetchStream(ctx, ro.Address, qu)
			if err != nil || !ok {
				found <- nil
				return
			}
			found <- &st
		}()
	}
	for range asked {
		if st := <-found; st != nil {
			re.meter.Count("streamLookups", "result", "found", 1)
			return *st, true
		}
	}
	re.meter.Count("streamLookups", "result", "unknown", 1)
	return Stream{}, false
}

// holdersOf returns the routers that keep the record of a stream: the first in the
// rendezvous order of the stream and the router.
func (re *Registry) holdersOf(id ident.Request) []follow.Peer {
	type candidate struct {
		peer  follow.Peer
		score uint64
	}
	var all []candidate
	for _, pe := range re.routers() {
		all = append(all, candidate{pe, xxhash.Sum64String(string(id) + "\x00" + string(pe.VM))})
	}
	slices.SortFunc(all, func(one, two candidate) int { return cmp.Compare(two.score, one.score) })
	var out []follow.Peer
	for _, ca := range all[:min(holders, len(all))] {
		out = append(out, ca.peer)
	}
	return out
}

// Run publishes records until ctx ends.
func (re *Registry) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case st := <-re.queue:
			re.send(ctx, re.collect(ctx, st))
		}
	}
}

// collect returns the record and those that are queued within publishInterval.
func (re *Registry) collect(ctx context.Context, first Stream) []Stream {
	ctx, cancel := context.WithTimeout(ctx, publishInterval)
	defer cancel()
	batch := []Stream{first}
	for len(batch) < maxBatch {
		select {
		case st := <-re.queue:
			batch = append(batch, st)
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// send sends each record to its holders. A lost record is not sent again: another holder
// has it, or the stream cannot go on.
func (re *Registry) send(ctx context.Context, batch []Stream) {
	byAddress := map[string][]Stream{}
	for _, st := range batch {
		for _, ro := range re.holdersOf(st.ID) {
			byAddress[ro.Address] = append(byAddress[ro.Address], st)
		}
	}
	var calls sync.WaitGroup
	for addr, streams := range byAddress {
		calls.Go(func() {
			result := "sent"
			if re.peers.SendStreams(ctx, addr, streams) != nil {
				result = "lost"
			}
			re.meter.Count("streamRecords", "result", result, int64(len(streams)))
		})
	}
	calls.Wait()
}
