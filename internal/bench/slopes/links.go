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

// Links measures idle links for the time window: bytes per second in both
// directions, processor time and memory. Both ends of each link run in this
// process. The load report of each sidecar changes in every period, which is the
// most expensive case.
func Links(ctx context.Context, sizes []int, window time.Duration) ([]Series, error) {
	bytes := Series{Name: "link traffic", Unit: "bytes/s", Sizes: sizes}
	cpu := Series{Name: "link processor time, both ends", Unit: "% of a core", Sizes: sizes}
	mem := Series{Name: "link memory, both ends", Unit: "bytes", Sizes: sizes}
	for _, size := range sizes {
		cost, err := measureLinks(ctx, size, window)
		if err != nil {
			return nil, err
		}
		bytes.Values = append(bytes.Values, cost.bytes)
		cpu.Values = append(cpu.Values, cost.cpu)
		mem.Values = append(mem.Values, cost.mem)
	}
	return []Series{bytes, cpu, mem}, nil
}

type linkCost struct{ bytes, cpu, mem float64 }

func measureLinks(ctx context.Context, size int, window time.Duration) (linkCost, error) {
	before := memoryInUse()
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
		sv := link.NewServer(link.Identity{Upstream: "e", Incarnation: "s"}, &idleSidecar{}, noControl{})
		wg.Go(func() { _ = sv.Serve(ctx, ls) })
		cl := link.NewClient(link.Identity{Upstream: "e", Incarnation: "r"}, func(ctx context.Context) (net.Conn, error) {
			var nd net.Dialer
			nc, err := nd.DialContext(ctx, "tcp", ls.Addr().String())
			return &countingConn{Conn: nc, count: &count}, err
		})
		wg.Go(func() { cl.Run(ctx) })
	}
	// The links are set up in the first seconds, which are not measured.
	if err := sleep(ctx, 2*time.Second); err != nil {
		return linkCost{}, err
	}
	memoryUsed := memoryInUse() - before
	count.Store(0)
	cpuBefore := processorTime()
	if err := sleep(ctx, window); err != nil {
		return linkCost{}, err
	}
	return linkCost{
		bytes: float64(count.Load()) / window.Seconds(),
		cpu:   100 * (processorTime() - cpuBefore).Seconds() / window.Seconds(),
		mem:   memoryUsed,
	}, nil
}

func sleep(ctx context.Context, du time.Duration) error {
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

// countingConn counts the bytes that are read and written on a connection.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

// Read counts the bytes that were read.
func (cc *countingConn) Read(buf []byte) (int, error) {
	cnt, err := cc.Conn.Read(buf)
	cc.count.Add(int64(cnt))
	return cnt, err
}

// Write counts the bytes that were written.
func (cc *countingConn) Write(buf []byte) (int, error) {
	cnt, err := cc.Conn.Write(buf)
	cc.count.Add(int64(cnt))
	return cnt, err
}

// idleSidecar is a sidecar without requests. Each of its load reports differs from
// the one before.
type idleSidecar struct{ reports atomic.Int64 }

// Open refuses the request.
func (*idleSidecar) Open(context.Context, peer.Dispatch) (peer.Stream, error) {
	return nil, refuse.New(refuse.Busy, "idle")
}

// Resume refuses to resume a stream.
func (*idleSidecar) Resume(context.Context, ident.Request, uint32, uint64) (peer.Stream, error) {
	return nil, refuse.New(refuse.LinkLost, "idle")
}

// Report returns a load report that differs from the one before.
func (is *idleSidecar) Report() (peer.Report, bool) {
	return peer.Report{Load: engine.Load{
		At: time.Now(), Running: 8, Slots: 64, QueuedTokens: ident.Tokens(10_000 + is.reports.Add(1)), TokensPerSecond: 1700,
	}}, true
}

// noControl supports no control messages.
type noControl struct{}

// OfferConfig ignores the configuration.
func (noControl) OfferConfig(ident.Revision, []byte) {}

// InForce returns no configuration.
func (noControl) InForce() (ident.Revision, []byte) { return 0, nil }

// CloseIncarnation returns errors.ErrUnsupported.
func (noControl) CloseIncarnation(context.Context, ident.Incarnation) ([]link.BudgetUsage, error) {
	return nil, errors.ErrUnsupported
}

// Order returns errors.ErrUnsupported.
func (noControl) Order(context.Context, engine.Order) error { return errors.ErrUnsupported }
