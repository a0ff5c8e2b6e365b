package update

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Option changes an Acceptor, a Follower, a Watcher or an Archive.
type Option func(*options)

type options struct {
	meter    meter.Meter
	clock    clock.Clock
	attempts int
	pause    time.Duration
	interval time.Duration
	timeout  time.Duration
	spread   time.Duration
	peers    Peers
	archive  *Archive
	follower *Follower
}

func newOptions(opts []Option) options {
	op := options{
		meter: meter.Nop{}, clock: clock.System{}, attempts: 5, pause: 200 * time.Millisecond,
		interval: time.Second, timeout: 3 * time.Second, spread: 400 * time.Millisecond,
	}
	for _, opt := range opts {
		opt(&op)
	}
	return op
}

// WithMeter records events and metrics. Default: none.
func WithMeter(me meter.Meter) Option { return func(op *options) { op.meter = me } }

// WithClock sets the clock. Default: clock.System.
func WithClock(cl clock.Clock) Option { return func(op *options) { op.clock = cl } }

// WithAttempts bounds how often a commit without an answer is settled.
// Default: 5. Range: 1 and above.
func WithAttempts(num int) Option { return func(op *options) { op.attempts = num } }

// WithPause sets the pause before the second attempt; it doubles for each
// further one. Default: 200ms. Range: above 0.
func WithPause(du time.Duration) Option { return func(op *options) { op.pause = du } }

// WithInterval sets how often a Watcher reads the table. Default: 1s. Range:
// above 0.
func WithInterval(du time.Duration) Option { return func(op *options) { op.interval = du } }

// WithTimeout bounds one round of a Watcher at the table or the peers, and each
// access to the object store. Default: 3s, which leaves several tries within the 18 s in
// which a configuration is to be in force everywhere. Range: above 0.
func WithTimeout(du time.Duration) Option { return func(op *options) { op.timeout = du } }

// WithSpread sets the time over which Watchers spread the reads of a new
// document, for each row of it after the first. Default: 400ms, which keeps 380
// routers below the 2,000 reads a second of the table. Range: 0 and above.
func WithSpread(du time.Duration) Option { return func(op *options) { op.spread = du } }

// WithPeers asks other processes while the table does not answer, and at the
// start. Default: none.
func WithPeers(pe Peers) Option { return func(op *options) { op.peers = pe } }

// WithArchive keeps accepted documents in the object store, and starts from
// there when neither the table nor a peer answers. Default: none.
func WithArchive(ar *Archive) Option { return func(op *options) { op.archive = ar } }

// WithFollower offers accepted configurations to the follower of this process
// without waiting for its next read, and refuses changes while the table is
// behind it. Default: none.
func WithFollower(fo *Follower) Option { return func(op *options) { op.follower = fo } }
