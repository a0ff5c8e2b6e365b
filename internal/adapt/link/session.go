package link

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
)

const (
	// keepAliveInterval bounds how long a dead idle connection can go
	// unnoticed. One ping and its response are 24 bytes of payload.
	keepAliveInterval = 2 * time.Second
	// writeTimeout ends a session whose peer accepts no data.
	writeTimeout = 3 * time.Second
	// streamWindow bounds the bytes that a peer buffers for one slow reader.
	streamWindow = 256 << 10
	// acceptBacklog bounds streams that the peer opened and that were not yet
	// accepted.
	acceptBacklog = 1024
	// drainPeriod is the interval of checks whether a replaced session still has
	// streams.
	drainPeriod = time.Second
)

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.MaxStreamWindowSize = streamWindow
	cfg.AcceptBacklog = acceptBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

func serverSession(nc net.Conn) (*yamux.Session, error) {
	return yamux.Server(nc, sessionConfig())
}

func clientSession(nc net.Conn) (*yamux.Session, error) {
	return yamux.Client(nc, sessionConfig())
}

// session is a yamux session of a client with its control stream.
type session struct {
	*yamux.Session
	ctl   *frameConn
	hello *wire.Hello
	// lastRx is the time at which bytes last arrived, in Unix nanoseconds.
	lastRx *atomic.Int64

	// probedAt is the time of the unanswered probe in Unix nanoseconds, or 0.
	probedAt      atomic.Int64
	probeRequests chan struct{}
	replaceOnce   sync.Once
	// replacedCh is closed when the session is to be replaced.
	replacedCh chan struct{}
}

func newSession(ys *yamux.Session, lastRx *atomic.Int64) *session {
	return &session{Session: ys, lastRx: lastRx, probeRequests: make(chan struct{}, 1), replacedCh: make(chan struct{})}
}

// markReplaced makes Client.Run open a new session in place of this one.
func (se *session) markReplaced() { se.replaceOnce.Do(func() { close(se.replacedCh) }) }

// replaced reports whether the session has been or is to be replaced.
func (se *session) replaced() bool {
	select {
	case <-se.replacedCh:
		return true
	default:
		return false
	}
}

// probe requests a ping of the peer, unless a probe is unanswered. Other data
// that arrives shows only that the direction from the peer works; the response
// to a ping shows that both do.
func (se *session) probe(now time.Time) {
	if se.probedAt.CompareAndSwap(0, now.UnixNano()) {
		se.probeRequests <- struct{}{}
	}
}

// sendProbes sends the requested pings until the session ends.
func (se *session) sendProbes() {
	for {
		select {
		case <-se.CloseChan():
			return
		case <-se.probeRequests:
			if _, err := se.Ping(); err == nil {
				se.probedAt.Store(0)
			}
		}
	}
}

// silent reports whether nothing has arrived for du or a probe has been
// unanswered for two thirds of it. A probe is sent after at most one third.
func (se *session) silent(now time.Time, du time.Duration) bool {
	probed := se.probedAt.Load()
	return now.Sub(time.Unix(0, se.lastRx.Load())) >= du ||
		probed != 0 && now.Sub(time.Unix(0, probed)) >= du*2/3
}

// untilNextCheck returns the time until the session is to be checked for
// silence again.
func (se *session) untilNextCheck(now time.Time, du time.Duration) time.Duration {
	at := time.Unix(0, se.lastRx.Load()).Add(du)
	return min(max(at.Sub(now), du/30), du/3)
}

// drain closes a replaced session after its last request stream has ended. A
// session that works again would otherwise stay open forever.
func (se *session) drain(ctx context.Context) {
	ti := time.NewTicker(drainPeriod)
	defer ti.Stop()
	for se.NumStreams() > 1 {
		select {
		case <-ctx.Done():
			_ = se.Close()
			return
		case <-se.CloseChan():
			return
		case <-ti.C:
		}
	}
	_ = se.Close()
}
