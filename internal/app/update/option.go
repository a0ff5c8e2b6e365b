package update

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Option configures an Acceptor, a Follower, a Watcher or an Archive.
type Option func(*options)

type options struct {
	meter       meter.Meter
	clock       clock.Clock
	maxAttempts int
	retryDelay  time.Duration
	interval    time.Duration
	timeout     time.Duration
	readJitter  time.Duration
	peers       Peers
	archive     *Archive
	follower    *Follower
}

func newOptions(opts []Option) options {
	op := options{
		meter: meter.Nop{}, clock: clock.System{}, maxAttempts: 5, retryDelay: 200 * time.Millisecond,
		interval: time.Second, timeout: 3 * time.Second, readJitter: 400 * time.Millisecond,
	}
	for _, opt := range opts {
		opt(&op)
	}
	return op
}

// WithMeter sets the meter that records events and metrics. Default: none.
func WithMeter(me meter.Meter) Option { return func(op *options) { op.meter = me } }

// WithClock sets the clock. Default: clock.System.
func WithClock(cl clock.Clock) Option { return func(op *options) { op.clock = cl } }

// WithMaxAttempts sets the maximum number of times that a commit is sent while its
// outcome is not known. Default: 5. Range: 1 and above.
func WithMaxAttempts(num int) Option { return func(op *options) { op.maxAttempts = num } }

// WithRetryDelay sets the delay before the second attempt of a commit; it
// doubles for each further one. Default: 200ms. Range: above 0.
func WithRetryDelay(du time.Duration) Option { return func(op *options) { op.retryDelay = du } }

// WithInterval sets how often a Watcher reads the table. Default: 1s. Range:
// above 0.
func WithInterval(du time.Duration) Option { return func(op *options) { op.interval = du } }

// WithTimeout sets the timeout of one read of a Watcher from the table or the
// peers, and of each access to the object store. Default: 3s, which leaves several
// attempts within the 18 s in which a configuration must be in force everywhere.
// Range: above 0.
func WithTimeout(du time.Duration) Option { return func(op *options) { op.timeout = du } }

// WithReadJitter sets the largest random delay before a Watcher reads a new
// document, for each row of the document after the first. Default: 400ms, which
// keeps 380 routers below the table's limit of 2,000 reads per second. Range: 0
// and above.
func WithReadJitter(du time.Duration) Option { return func(op *options) { op.readJitter = du } }

// WithPeers sets the peers that a Watcher asks for a newer configuration at the
// start and while the table does not respond. Default: none.
func WithPeers(pe Peers) Option { return func(op *options) { op.peers = pe } }

// WithArchive sets the archive. An Acceptor stores accepted documents there, and
// a Watcher starts from there when neither the table nor a peer has provided a
// configuration. Default: none.
func WithArchive(ar *Archive) Option { return func(op *options) { op.archive = ar } }

// WithFollower sets the follower of this process. An Acceptor passes accepted
// configurations to it without waiting for the next read of the table, and
// refuses changes while the table holds an older revision than the follower.
// Default: none.
func WithFollower(fo *Follower) Option { return func(op *options) { op.follower = fo } }
