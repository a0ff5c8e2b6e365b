package slopes

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// Links measures idle links, of which both ends run in this process, for the
// given time: bytes a second in both directions, processor time and memory. The
// load report of each sidecar changes in every period, which is the dearest
// case.
func Links(ctx context.Context, sizes []int, window time.Duration) ([]Line, error) {
	bytes := Line{Name: "link traffic", Unit: "bytes/s", Sizes: sizes}
	cpu := Line{Name: "link processor time, both ends", Unit: "% of a core", Sizes: sizes}
	mem := Line{Name: "link memory, both ends", Unit: "bytes", Sizes: sizes}
	for _, size := range sizes {
		one, err := links(ctx, size, window)
		if err != nil {
			return nil, err
		}
		bytes.Vals = append(bytes.Vals, one.bytes)
		cpu.Vals = append(cpu.Vals, one.cpu)
		mem.Vals = append(mem.Vals, one.mem)
	}
	return []Line{bytes, cpu, mem}, nil
}

type linkCost struct{ bytes, cpu, mem float64 }

func links(ctx context.Context, size int, window time.Duration) (linkCost, error) {
	before := memory()
	ctx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	var count atomic.Int64
	for range size {
		ls, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return linkCost{}, err
		}
		sv := link.NewServer(link.Identity{Upstream: "e", Incarnation: "s"}, &idle{}, nothing{})
		wg.Go(func() { _ = sv.Serve(ctx, ls) })
		cl := link.NewClient(link.Identity{Upstream: "e", Incarnation: "r"}, func(ctx context.Context) (net.Conn, error) {
			var nd net.Dialer
			nc, err := nd.DialContext(ctx, "tcp", ls.Addr().String())
			return &counted{Conn: nc, count: &count}, err
		})
		wg.Go(func() { cl.Run(ctx) })
	}
	// The first seconds hold the connection set-up.
	if err := pause(ctx, 2*time.Second); err != nil {
		return linkCost{}, err
	}
	held := memory() - before
	count.Store(0)
	spent := processorTime()
	if err := pause(ctx, window); err != nil {
		return linkCost{}, err
	}
	return linkCost{
		bytes: float64(count.Load()) / window.Seconds(),
		cpu:   100 * (processorTime() - spent).Seconds() / window.Seconds(),
		mem:   held,
	}, nil
}

func pause(ctx context.Context, du time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(du):
		return nil
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// counted counts the bytes of both directions.
type counted struct {
	net.Conn
	count *atomic.Int64
}

// Read counts what was read.
func (co *counted) Read(buf []byte) (int, error) {
	cnt, err := co.Conn.Read(buf)
	co.count.Add(int64(cnt))
	return cnt, err
}

// Write counts what was written.
func (co *counted) Write(buf []byte) (int, error) {
	cnt, err := co.Conn.Write(buf)
	co.count.Add(int64(cnt))
	return cnt, err
}

// idle is a sidecar without work whose load report changes each time.
type idle struct{ reports atomic.Int64 }

// Open refuses.
func (*idle) Open(context.Context, peer.Dispatch) (peer.Stream, error) {
	return nil, refuse.New(refuse.Busy, "idle")
}

// Resume refuses.
func (*idle) Resume(context.Context, ident.Request, uint32, uint64) (peer.Stream, error) {
	return nil, refuse.New(refuse.LinkLost, "idle")
}

// Report returns a report that differs from the one before.
func (id *idle) Report() (peer.Report, bool) {
	return peer.Report{Load: engine.Load{
		At: time.Now(), Running: 8, Slots: 64, QueuedTokens: ident.Tokens(10_000 + id.reports.Add(1)), TokensPerSecond: 1700,
	}}, true
}

// nothing handles no control messages.
type nothing struct{}

// OfferConfig ignores the configuration.
func (nothing) OfferConfig(ident.Revision, []byte) {}

// InForce returns no configuration.
func (nothing) InForce() (ident.Revision, []byte) { return 0, nil }

// CloseIncarnation fails.
func (nothing) CloseIncarnation(context.Context, ident.Incarnation) ([]link.Used, error) {
	return nil, errors.ErrUnsupported
}

// Order fails.
func (nothing) Order(context.Context, engine.Order) error { return errors.ErrUnsupported }
