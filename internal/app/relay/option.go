package relay

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// settings are the values that options change.
type settings struct {
	claims      Claims
	clk         clock.Clock
	mtr         meter.Meter
	maxRunning  int64
	bufferBytes int
	bufferItems int
	rowBytes    int
	retention   time.Duration
	grace       time.Duration
	storeWait   time.Duration
	backoff     time.Duration
	loadEvery   time.Duration
	askAt       func(ident.Account, ident.Key) string
	revision    func() ident.Revision
	closed      []ident.Incarnation
	registry    Registry
}

func defaults() settings {
	return settings{
		clk: clock.System{}, mtr: meter.Nop{},
		maxRunning: 256, bufferBytes: 1 << 20, bufferItems: 16384, rowBytes: 256 << 10,
		retention: time.Minute, grace: 10 * time.Second,
		storeWait: 2 * time.Second, backoff: 100 * time.Millisecond, loadEvery: time.Second,
		askAt:    func(_ ident.Account, key ident.Key) string { return "/v1/outcomes/" + string(key) },
		revision: func() ident.Revision { return 0 },
	}
}

// Option configures a Service.
type Option func(*settings)

// WithTable sets the table that holds the claims and their encoding. Default:
// none, and non-idempotent calls are refused with StoreUnavailable.
func WithTable(tab store.Table, cod store.Codec[claim.Record]) Option {
	return func(se *settings) { se.claims = NewClaims(tab, cod) }
}

// WithClock sets the clock. Default: the clock of the operating system.
func WithClock(clk clock.Clock) Option { return func(se *settings) { se.clk = clk } }

// WithMeter sets the receiver of logs and metrics. Default: none.
func WithMeter(mtr meter.Meter) Option { return func(se *settings) { se.mtr = mtr } }

// WithMaxRunning bounds the calls that run at the upstream at once.
// Default: 256 calls, range: 1 and more.
func WithMaxRunning(n int) Option { return func(se *settings) { se.maxRunning = int64(n) } }

// WithOutputBuffer bounds the output kept per attempt. Default: 1 MiB and
// 16384 chunks, range: at least the largest chunk and one chunk.
func WithOutputBuffer(bytes, chunks int) Option {
	return func(se *settings) { se.bufferBytes, se.bufferItems = bytes, chunks }
}

// WithOutcomeSize bounds the body stored with an outcome. Default: 256 KiB,
// range: 0 to what a row of the table holds.
func WithOutcomeSize(bytes int) Option { return func(se *settings) { se.rowBytes = bytes } }

// WithRetention sets how long finished output is kept for resumption and for
// a second dispatch of its key. Default: 1 min, range: 0 and more.
func WithRetention(d time.Duration) Option { return func(se *settings) { se.retention = d } }

// WithGrace sets how long an attempt may go without a reader before the
// reader is taken for lost. Default: 10 s, range: above 0.
func WithGrace(d time.Duration) Option { return func(se *settings) { se.grace = d } }

// WithStoreWait bounds one call to the table. Default: 2 s, range: above 0.
func WithStoreWait(d time.Duration) Option { return func(se *settings) { se.storeWait = d } }

// WithBackoff sets the first pause before a write to the table is tried again.
// It doubles up to 64 times its value. Default: 100 ms, range: above 0.
func WithBackoff(d time.Duration) Option { return func(se *settings) { se.backoff = d } }

// WithLoadEvery sets how often the upstream is asked for its load. Default:
// 1 s, range: above 0.
func WithLoadEvery(d time.Duration) Option { return func(se *settings) { se.loadEvery = d } }

// WithAskAt sets the path at which a caller asks for an outcome. Default:
// /v1/outcomes/ followed by the key.
func WithAskAt(path func(ident.Account, ident.Key) string) Option {
	return func(se *settings) { se.askAt = path }
}

// WithRevision sets the source of the configuration revision in reports.
// Default: always 0.
func WithRevision(revision func() ident.Revision) Option {
	return func(se *settings) { se.revision = revision }
}

// WithClosed lists router incarnations that are known to be closed when the
// sidecar starts. Default: none.
func WithClosed(closed ...ident.Incarnation) Option {
	return func(se *settings) { se.closed = append(se.closed, closed...) }
}

// WithRegistry sets where a router incarnation is looked up before its first
// work. Default: none, and every incarnation that was not closed here may run.
func WithRegistry(rg Registry) Option { return func(se *settings) { se.registry = rg } }
