package relay

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/core/claim"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// settings holds the values that options set.
type settings struct {
	claims          Claims
	clk             clock.Clock
	mtr             meter.Meter
	maxRunning      int64
	bufferBytes     int
	bufferChunks    int
	maxOutcomeBytes int
	retention       time.Duration
	grace           time.Duration
	storeTimeout    time.Duration
	backoff         time.Duration
	loadInterval    time.Duration
	outcomePath     func(ident.Account, ident.Key) string
	revision        func() ident.Revision
	closedAtStart   []ident.Incarnation
	registry        Registry
}

func defaults() settings {
	return settings{
		clk: clock.System{}, mtr: meter.Nop{},
		maxRunning: 256, bufferBytes: 1 << 20, bufferChunks: 16384, maxOutcomeBytes: 256 << 10,
		retention: time.Minute, grace: 10 * time.Second,
		storeTimeout: 2 * time.Second, backoff: 100 * time.Millisecond, loadInterval: time.Second,
		outcomePath: func(_ ident.Account, key ident.Key) string { return "/v1/outcomes/" + string(key) },
		revision:    func() ident.Revision { return 0 },
	}
}

// Option configures a Service.
type Option func(*settings)

// WithTable sets the table that holds the claims and their encoding. Default:
// none, so that non-idempotent calls are refused with StoreUnavailable.
func WithTable(tab store.Table, cod store.Codec[claim.Record]) Option {
	return func(se *settings) { se.claims = NewClaims(tab, cod) }
}

// WithClock sets the clock. Default: the clock of the operating system.
func WithClock(clk clock.Clock) Option { return func(se *settings) { se.clk = clk } }

// WithMeter sets the receiver of logs and metrics. Default: none.
func WithMeter(mtr meter.Meter) Option { return func(se *settings) { se.mtr = mtr } }

// WithMaxRunning limits the concurrent calls to the upstream. Default: 256
// calls, range: 1 and more.
func WithMaxRunning(n int) Option { return func(se *settings) { se.maxRunning = int64(n) } }

// WithOutputBuffer limits the output that is buffered per call. Default: 1 MiB
// and 16384 chunks, range: at least the largest chunk and one chunk.
func WithOutputBuffer(bytes, chunks int) Option {
	return func(se *settings) { se.bufferBytes, se.bufferChunks = bytes, chunks }
}

// WithOutcomeSize limits the response body that is stored with an outcome.
// Default: 256 KiB, range: 0 to the maximum size of a row of the table.
func WithOutcomeSize(bytes int) Option { return func(se *settings) { se.maxOutcomeBytes = bytes } }

// WithRetention sets how long the output of a finished call is available for
// resumption and for another dispatch with its key. Default: 1 min, range: 0
// and more.
func WithRetention(d time.Duration) Option { return func(se *settings) { se.retention = d } }

// WithGrace sets how long a reader may be inactive before it is dropped.
// Default: 10 s, range: above 0.
func WithGrace(d time.Duration) Option { return func(se *settings) { se.grace = d } }

// WithStoreTimeout sets the timeout of one call to the table or the registry.
// Default: 2 s, range: above 0.
func WithStoreTimeout(d time.Duration) Option { return func(se *settings) { se.storeTimeout = d } }

// WithBackoff sets the delay before the first retry of a write to the table. It
// doubles with each retry, up to 64 times its value. Default: 100 ms, range:
// above 0.
func WithBackoff(d time.Duration) Option { return func(se *settings) { se.backoff = d } }

// WithLoadInterval sets the interval at which the load of the upstream is polled,
// which is also the timeout of one poll. Default: 1 s, range: above 0.
func WithLoadInterval(d time.Duration) Option { return func(se *settings) { se.loadInterval = d } }

// WithOutcomePath sets the path at which a caller can read a stored outcome.
// Default: /v1/outcomes/ followed by the key.
func WithOutcomePath(path func(ident.Account, ident.Key) string) Option {
	return func(se *settings) { se.outcomePath = path }
}

// WithRevision sets the source of the configuration revision in reports.
// Default: always 0.
func WithRevision(revision func() ident.Revision) Option {
	return func(se *settings) { se.revision = revision }
}

// WithClosedIncarnations sets the router incarnations that are closed already
// when the sidecar starts. Default: none.
func WithClosedIncarnations(closed ...ident.Incarnation) Option {
	return func(se *settings) { se.closedAtStart = append(se.closedAtStart, closed...) }
}

// WithRegistry sets the registry in which a router incarnation is looked up
// before its first work. Default: none, so that every incarnation that was not
// closed at this sidecar may run work.
func WithRegistry(rg Registry) Option { return func(se *settings) { se.registry = rg } }
