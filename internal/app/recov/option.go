package recov

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

type options struct {
	clock        clock.Clock
	meter        meter.Meter
	interval     time.Duration
	probeTimeout time.Duration
	closeTimeout time.Duration
}

// Option configures a Recoverer.
type Option func(*options)

func newOptions(opts []Option) options {
	op := options{
		clock: clock.System{}, meter: meter.Nop{},
		interval: 5 * time.Second, probeTimeout: 2 * time.Second, closeTimeout: 10 * time.Second,
	}
	for _, apply := range opts {
		apply(&op)
	}
	return op
}

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(op *options) { op.clock = ck } }

// WithMeter sets the meter. By default nothing is recorded.
func WithMeter(me meter.Meter) Option { return func(op *options) { op.meter = me } }

// WithInterval sets the mean time between two passes. The default is 5 s, which 0
// selects, and the range is 10 ms to 10 min. It determines how soon escrow is
// recovered, never whether.
func WithInterval(d time.Duration) Option {
	return func(op *options) {
		if d > 0 {
			op.interval = min(max(d, 10*time.Millisecond), 10*time.Minute)
		}
	}
}

// WithProbeTimeout sets the time limit for all probes of one pass. The default is
// 2 s, and the range is above 0.
func WithProbeTimeout(d time.Duration) Option { return func(op *options) { op.probeTimeout = d } }

// WithCloseTimeout sets the time limit for the sidecars to close an incarnation
// in one pass. The default is 10 s, and the range is above 0.
func WithCloseTimeout(d time.Duration) Option { return func(op *options) { op.closeTimeout = d } }
