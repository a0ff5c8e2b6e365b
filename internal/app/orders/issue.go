package orders

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/clock"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/meter"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Events of orders.
var (
	evIssued           = meter.Event{Number: 1201, Level: slog.LevelInfo, Text: "order issued"}
	evResult           = meter.Event{Number: 1202, Level: slog.LevelInfo, Text: "order result"}
	evResultNotWritten = meter.Event{Number: 1203, Level: slog.LevelWarn, Text: "the result of an order could not be written"}
)

// maxCommits bounds the commits to issue an order or to write its result. The
// rows are read again before each.
const maxCommits = 8

// Link sends orders to a sidecar. After an error other than a refusal with the
// outcome notRun, it is unknown whether the order took effect.
type Link interface {
	Order(ctx context.Context, or engine.Order) error
}

// LinkFinder returns the open link of this router to the upstream, and whether
// there is one.
type LinkFinder func(up ident.Upstream) (Link, bool)

// Issuer issues orders to upstreams. It is safe for concurrent use.
type Issuer struct {
	table    store.Table
	rows     Rows
	slots    Slots
	findLink LinkFinder
	clk      clock.Clock
	met      meter.Meter
	timeout  time.Duration
}

// Option configures an Issuer.
type Option func(*Issuer)

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(is *Issuer) { is.clk = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(is *Issuer) { is.met = me } }

// WithTimeout sets the timeout of an order, after which its result is unknown. The
// default is 10 min, and the range is above 0.
func WithTimeout(du time.Duration) Option { return func(is *Issuer) { is.timeout = du } }

// New returns an issuer that reads and writes the rows and slots in the table.
func New(ta store.Table, rs Rows, ss Slots, lf LinkFinder, opts ...Option) *Issuer {
	is := &Issuer{table: ta, rows: rs, slots: ss, findLink: lf, clk: clock.System{}, met: meter.Nop{}, timeout: 10 * time.Minute}
	for _, op := range opts {
		op(is)
	}
	return is
}

// Request describes the order to issue.
type Request struct {
	Upstream ident.Upstream
	Kind     engine.OrderKind
	Subject  string
	By       ident.Operator
	Op       ident.Op
	// Supersede is the fencing number of the latest order, which this one
	// replaces even if it is in progress, or 0.
	Supersede ident.Fence
	// DryRun checks the request without issuing the order.
	DryRun bool
}

// validate checks the kind and the subject.
func (rq Request) validate() error {
	switch rq.Kind {
	case engine.LoadModel, engine.LoadAdapter, engine.ChangeRole:
		if rq.Subject != "" {
			return nil
		}
	}
	return ErrInvalidKind
}

// conflictWith returns a conflict with the latest order if it is in progress and
// the request does not supersede it, or if the request supersedes a different
// order.
func (rq Request) conflictWith(la Entry) error {
	if la.State == Issued && rq.Supersede == 0 || rq.Supersede != 0 && rq.Supersede != la.Fence {
		return &ConflictError{rq.Upstream, la}
	}
	return nil
}

// Result is an issued order with its result.
type Result struct {
	Entry
	// Repeated means that an earlier call has issued the order of this op.
	Repeated bool `json:"repeated,omitempty"`
	DryRun   bool `json:"dryRun,omitempty"`
}

// Issue reserves the next fencing number, sends the order to the sidecar and
// writes the result. Once the number is reserved, it continues even if ctx ends,
// so that an operator who repeats the op finds the result in the row.
func (is *Issuer) Issue(ctx context.Context, rq Request) (Result, error) {
	if err := rq.validate(); err != nil {
		return Result{}, err
	}
	ln, ok := is.findLink(rq.Upstream)
	if !ok {
		return Result{}, fmt.Errorf("%w: %s", ErrNoLink, rq.Upstream)
	}
	re, err := is.reserveNumber(ctx, rq)
	if err != nil || re.DryRun {
		return re, err
	}
	if !re.Repeated {
		re.Entry = is.send(context.WithoutCancel(ctx), ln, rq.Upstream, re.Entry)
	}
	return re, resultError(re.Entry)
}

// resultError returns the error for an order that is not done, or nil.
func resultError(en Entry) error {
	switch en.State {
	case Done:
		return nil
	case Refused:
		return &FailedError{en, refuse.New(refuse.Rejected, "%s", en.Detail)}
	case Issued:
		en.Detail = "no result was written yet"
		return &FailedError{en, refuse.New(refuse.InProgress, "%s", en.Detail)}
	default:
		return &FailedError{en, refuse.New(refuse.InProgress, "%s", en.Detail)}
	}
}

// reserveNumber writes the order with the next fencing number to the row. The
// commit is conditional on the version that was read, so that after a lost
// response either the op is found in the row or the commit can be repeated.
func (is *Issuer) reserveNumber(ctx context.Context, rq Request) (Result, error) {
	var base ident.Fence
	uncertain, call := false, ident.NewOp()
	for try := range maxCommits {
		ro, version, err := is.rows.Read(ctx, rq.Upstream)
		if err != nil {
			return Result{}, commitError(uncertain, err)
		}
		if en, ok := ro.Find(rq.Op); ok {
			return existingResult(rq, en, en.Call != call)
		}
		if try > 0 && ro.Fence() != base {
			return Result{}, &ConflictError{rq.Upstream, ro.last()}
		}
		base = ro.Fence()
		if err := rq.conflictWith(ro.last()); err != nil {
			return Result{}, err
		}
		en := Entry{
			Fence: base + 1, Op: rq.Op, Call: call, By: rq.By, At: is.clk.Now().UTC(),
			Kind: rq.Kind, Subject: rq.Subject, State: Issued,
		}
		writes, err := is.writes(ctx, rq, ro.WithOrder(en), version, en)
		if err != nil {
			return Result{}, commitError(uncertain, err)
		}
		if rq.DryRun {
			return Result{Entry: en, DryRun: true}, nil
		}
		err = is.table.Commit(ctx, writes...)
		switch {
		case err == nil:
			return Result{Entry: en}, nil
		case errors.Is(err, store.ErrThrottled), errors.Is(err, store.ErrUnavailable):
			return Result{}, commitError(uncertain, err)
		case !errors.Is(err, store.ErrConflict):
			uncertain = true
		}
	}
	return Result{}, commitError(uncertain, store.ErrConflict)
}

// writes returns the writes of the upstream's row and, for a load, of a slot.
func (is *Issuer) writes(ctx context.Context, rq Request, ro Row, version uint64, en Entry) ([]store.Write, error) {
	slot, err := is.slots.claim(ctx, rq.Upstream, en)
	if err != nil {
		return nil, err
	}
	wr, err := is.rows.write(rq.Upstream, ro, version)
	return append(slot, wr), err
}

// commitError returns the error of reserveNumber. If the response to a commit was
// lost, the error satisfies store.ErrUncertain: only a successful read could
// have shown whether the commit took effect.
func commitError(uncertain bool, err error) error {
	if uncertain {
		return fmt.Errorf("%w: %w", store.ErrUncertain, err)
	}
	return err
}

// existingResult returns the result for an op that is in the row already.
func existingResult(rq Request, en Entry, repeated bool) (Result, error) {
	if en.By != rq.By || en.Kind != rq.Kind || en.Subject != rq.Subject {
		return Result{}, fmt.Errorf("%w: %s", ErrOpReused, rq.Op)
	}
	return Result{Entry: en, Repeated: repeated}, nil
}

// send sends the order to the sidecar, writes its result and returns it.
func (is *Issuer) send(ctx context.Context, ln Link, up ident.Upstream, en Entry) Entry {
	attrs := []slog.Attr{slog.String("upstream", string(up)), slog.Uint64("fence", uint64(en.Fence)),
		slog.String("kind", string(en.Kind)), slog.String("subject", en.Subject), slog.String("operator", string(en.By))}
	is.met.Log(evIssued, attrs...)
	limited, stop := context.WithTimeout(ctx, is.timeout)
	err := ln.Order(limited, engine.Order{Fence: en.Fence, Kind: en.Kind, Subject: en.Subject})
	stop()
	en.State = Done
	if err != nil {
		en.State, en.Detail = Unknown, err.Error()
		if rf := refuse.From(err); rf.Outcome == refuse.NotRun {
			en.State = Refused
		}
	}
	is.met.Log(evResult, append(attrs, slog.String("state", string(en.State)), slog.String("detail", en.Detail))...)
	if err := is.writeResult(ctx, up, en); err != nil {
		is.met.Log(evResultNotWritten, append(attrs, slog.String("error", err.Error()))...)
	}
	return en
}

// resultTimeout bounds the time to write a result, including retries.
const resultTimeout = 10 * time.Second

// writeResult writes the result and frees the slot, unless the load may still
// be in progress. It retries until resultTimeout.
func (is *Issuer) writeResult(ctx context.Context, up ident.Upstream, en Entry) error {
	ctx, stop := context.WithTimeout(ctx, resultTimeout)
	defer stop()
	err := is.tryWriteResult(ctx, up, en)
	for try := 1; try < maxCommits && err != nil; try++ {
		if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrThrottled) {
			if !waitForRetry(ctx) {
				return err
			}
		}
		err = is.tryWriteResult(ctx, up, en)
	}
	return err
}

// resultRetryDelay is the delay before a result is written again after the table
// was unavailable or throttled the write.
const resultRetryDelay = time.Second

// waitForRetry waits for resultRetryDelay. It reports false if ctx ended.
func waitForRetry(ctx context.Context) bool {
	ti := time.NewTimer(resultRetryDelay)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryWriteResult reads the rows and commits the result once.
func (is *Issuer) tryWriteResult(ctx context.Context, up ident.Upstream, en Entry) error {
	ro, version, err := is.rows.Read(ctx, up)
	if err != nil {
		return err
	}
	wr, err := is.rows.write(up, ro.WithResult(en.Fence, en.State, en.Detail), version)
	if err != nil {
		return err
	}
	writes := []store.Write{wr}
	if en.State != Unknown {
		slot, err := is.slots.release(ctx, up, en)
		if err != nil {
			return err
		}
		writes = append(writes, slot...)
	}
	return is.table.Commit(ctx, writes...)
}

// Orders returns the latest orders of the upstream, oldest first.
func (is *Issuer) Orders(ctx context.Context, up ident.Upstream) ([]Entry, error) {
	ro, _, err := is.rows.Read(ctx, up)
	return ro.Orders, err
}

// Slots returns the slots that limit the loads.
func (is *Issuer) Slots() Slots { return is.slots }
