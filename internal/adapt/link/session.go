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
	// keepAliveInterval bounds how long an idle connection can be dead without
	// notice. One ping and its answer are 24 bytes of payload.
	keepAliveInterval = 2 * time.Second
	// writeTimeout ends a session whose peer takes no data.
	writeTimeout = 3 * time.Second
	// streamWindow bounds what one slow reader can make the peer buffer.
	streamWindow = 256 << 10
	// acceptBacklog bounds streams that the peer opened and nobody accepted.
	acceptBacklog = 1024
	// drainPeriod is how often a replaced session is checked for streams.
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

// session is one yamux session of a client with its control stream.
type session struct {
	*yamux.Session
	ctl    *frameConn
	hello  *wire.Hello
	lastRx *atomic.Int64

	// asked is when the oldest unanswered probe was requested, or 0.
	asked  atomic.Int64
	ask    chan struct{}
	retire sync.Once
	bad    chan struct{}
}

func newSession(ys *yamux.Session, lastRx *atomic.Int64) *session {
	return &session{Session: ys, lastRx: lastRx, ask: make(chan struct{}, 1), bad: make(chan struct{})}
}

// replace reports the session as silent, so that a new one is opened.
func (se *session) replace() { se.retire.Do(func() { close(se.bad) }) }

func (se *session) replaced() bool {
	select {
	case <-se.bad:
		return true
	default:
		return false
	}
}

// probe asks the peer for a sign of life, unless a probe is on its way. What
// arrives shows only that the peer's direction works; the answer shows both.
func (se *session) probe(now time.Time) {
	if se.asked.CompareAndSwap(0, now.UnixNano()) {
		se.ask <- struct{}{}
	}
}

// ping sends the probes until the session ends.
func (se *session) ping() {
	for {
		select {
		case <-se.CloseChan():
			return
		case <-se.ask:
			if _, err := se.Ping(); err == nil {
				se.asked.Store(0)
			}
		}
	}
}

// silent reports whether nothing arrived for the time or a probe was not
// answered for two thirds of it. A probe is sent after one third.
func (se *session) silent(now time.Time, du time.Duration) bool {
	asked := se.asked.Load()
	return now.Sub(time.Unix(0, se.lastRx.Load())) >= du ||
		asked != 0 && now.Sub(time.Unix(0, asked)) >= du*2/3
}

// recheck returns after what time the session is to be looked at again.
func (se *session) recheck(now time.Time, du time.Duration) time.Duration {
	at := time.Unix(0, se.lastRx.Load()).Add(du)
	return min(max(at.Sub(now), du/30), du/3)
}

// drain closes a replaced session after its last stream. Without that, a
// session that is not dead would stay open beside the new one for ever.
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
