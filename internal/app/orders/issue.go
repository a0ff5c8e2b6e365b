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
	evIssued = meter.Event{Number: 1201, Level: slog.LevelInfo, Text: "order issued"}
	evResult = meter.Event{Number: 1202, Level: slog.LevelInfo, Text: "order answered"}
	evUnsaid = meter.Event{Number: 1203, Level: slog.LevelWarn, Text: "the result of an order could not be written"}
)

// tries bounds the commits of one step, each after a read of the rows.
const tries = 8

// Link passes an order to a sidecar. An error that is no refusal with the
// outcome notRun leaves it unknown whether the order took effect.
type Link interface {
	Order(ctx context.Context, or engine.Order) error
}

// Links returns the open link of this router to the upstream.
type Links func(up ident.Upstream) (Link, bool)

// Issuer is the use case. It is safe for concurrent use.
type Issuer struct {
	table store.Table
	rows  Rows
	slots Slots
	links Links
	clk   clock.Clock
	met   meter.Meter
	wait  time.Duration
}

// Option configures an Issuer.
type Option func(*Issuer)

// WithClock sets the clock. The default is the system clock.
func WithClock(ck clock.Clock) Option { return func(is *Issuer) { is.clk = ck } }

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(is *Issuer) { is.met = me } }

// WithWait sets how long an order may take until its result is unknown. The
// default is 10 min, and the range is above 0.
func WithWait(du time.Duration) Option { return func(is *Issuer) { is.wait = du } }

// New returns the use case.
func New(ta store.Table, rs Rows, ss Slots, ls Links, opts ...Option) *Issuer {
	is := &Issuer{table: ta, rows: rs, slots: ss, links: ls, clk: clock.System{}, met: meter.Nop{}, wait: 10 * time.Minute}
	for _, op := range opts {
		op(is)
	}
	return is
}

// Request asks for one order.
type Request struct {
	Upstream ident.Upstream
	Kind     engine.OrderKind
	Subject  string
	By       ident.Operator
	Op       ident.Op
	// Supersede is the number of an order in progress that this one replaces,
	// or 0.
	Supersede ident.Fence
	// DryRun checks the order without a number.
	DryRun bool
}

func (rq Request) check() error {
	switch rq.Kind {
	case engine.LoadModel, engine.LoadAdapter, engine.ChangeRole:
		if rq.Subject != "" {
			return nil
		}
	}
	return ErrKind
}

// against returns a conflict with the latest order: one in progress that the
// operator does not name, or another one than named.
func (rq Request) against(la Entry) error {
	if la.State == Issued && rq.Supersede == 0 || rq.Supersede != 0 && rq.Supersede != la.Fence {
		return &Conflict{rq.Upstream, la}
	}
	return nil
}

// Result is an order and how it was answered.
type Result struct {
	Entry
	// Repeated says that the op had its number before this call.
	Repeated bool `json:"repeated,omitempty"`
	DryRun   bool `json:"dryRun,omitempty"`
}

// Issue takes a number, passes the order to the sidecar and writes the result.
// It goes on when ctx ends after the number was taken, so that the row tells
// the outcome to an operator who repeats the op.
func (is *Issuer) Issue(ctx context.Context, rq Request) (Result, error) {
	if err := rq.check(); err != nil {
		return Result{}, err
	}
	ln, ok := is.links(rq.Upstream)
	if !ok {
		return Result{}, fmt.Errorf("%w: %s", ErrNoLink, rq.Upstream)
	}
	re, err := is.take(ctx, rq)
	if err != nil || re.DryRun {
		return re, err
	}
	if !re.Repeated {
		re.Entry = is.send(context.WithoutCancel(ctx), ln, rq.Upstream, re.Entry)
	}
	return re, failure(re.Entry)
}

func failure(en Entry) error {
	switch en.State {
	case Done:
		return nil
	case Refused:
		return &Failed{en, refuse.New(refuse.Rejected, "%s", en.Detail)}
	case Issued:
		en.Detail = "no result was written yet"
		return &Failed{en, refuse.New(refuse.InProgress, "%s", en.Detail)}
	default:
		return &Failed{en, refuse.New(refuse.InProgress, "%s", en.Detail)}
	}
}

// take writes the order with the next number into the row. The commit is
// conditional on the version that was read, so that after a lost answer either
// the op is found in the row or the same commit can be tried again.
func (is *Issuer) take(ctx context.Context, rq Request) (Result, error) {
	var base ident.Fence
	lost, call := false, ident.NewOp()
	for try := range tries {
		ro, version, err := is.rows.Read(ctx, rq.Upstream)
		if err != nil {
			return Result{}, settle(lost, err)
		}
		if en, ok := ro.Find(rq.Op); ok {
			return found(rq, en, en.Call != call)
		}
		if try > 0 && ro.Fence() != base {
			return Result{}, &Conflict{rq.Upstream, ro.last()}
		}
		base = ro.Fence()
		if err := rq.against(ro.last()); err != nil {
			return Result{}, err
		}
		en := Entry{
			Fence: base + 1, Op: rq.Op, Call: call, By: rq.By, At: is.clk.Now().UTC(),
			Kind: rq.Kind, Subject: rq.Subject, State: Issued,
		}
		writes, err := is.writes(ctx, rq, ro.WithOrder(en), version, en)
		if err != nil {
			return Result{}, settle(lost, err)
		}
		if rq.DryRun {
			return Result{Entry: en, DryRun: true}, nil
		}
		err = is.table.Commit(ctx, writes...)
		switch {
		case err == nil:
			return Result{Entry: en}, nil
		case errors.Is(err, store.ErrThrottled), errors.Is(err, store.ErrUnavailable):
			return Result{}, settle(lost, err)
		case !errors.Is(err, store.ErrConflict):
			lost = true
		}
	}
	return Result{}, settle(lost, store.ErrConflict)
}

func (is *Issuer) writes(ctx context.Context, rq Request, ro Row, version uint64, en Entry) ([]store.Write, error) {
	slot, err := is.slots.claim(ctx, rq.Upstream, en)
	if err != nil {
		return nil, err
	}
	wr, err := is.rows.write(rq.Upstream, ro, version)
	return append(slot, wr), err
}

// settle returns the error of a step; after a lost answer only a read that
// succeeds could tell what became of it.
func settle(lost bool, err error) error {
	if lost {
		return fmt.Errorf("%w: %w", store.ErrUncertain, err)
	}
	return err
}

func found(rq Request, en Entry, repeated bool) (Result, error) {
	if en.By != rq.By || en.Kind != rq.Kind || en.Subject != rq.Subject {
		return Result{}, fmt.Errorf("%w: %s", ErrOpReused, rq.Op)
	}
	return Result{Entry: en, Repeated: repeated}, nil
}

// send passes the order on and returns it with its result.
func (is *Issuer) send(ctx context.Context, ln Link, up ident.Upstream, en Entry) Entry {
	attrs := []slog.Attr{slog.String("upstream", string(up)), slog.Uint64("fence", uint64(en.Fence)),
		slog.String("kind", string(en.Kind)), slog.String("subject", en.Subject), slog.String("operator", string(en.By))}
	is.met.Log(evIssued, attrs...)
	limited, stop := context.WithTimeout(ctx, is.wait)
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
	if err := is.finish(ctx, up, en); err != nil {
		is.met.Log(evUnsaid, append(attrs, slog.String("error", err.Error()))...)
	}
	return en
}

// finishTime bounds the writing of a result.
const finishTime = 10 * time.Second

// finish writes the result and frees the slot, unless the load may still run.
func (is *Issuer) finish(ctx context.Context, up ident.Upstream, en Entry) error {
	ctx, stop := context.WithTimeout(ctx, finishTime)
	defer stop()
	err := is.result(ctx, up, en)
	for try := 1; try < tries && err != nil; try++ {
		if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrThrottled) {
			if !pause(ctx) {
				return err
			}
		}
		err = is.result(ctx, up, en)
	}
	return err
}

// resultPause is the wait before a result is written again to a table that
// refused the call.
const resultPause = time.Second

func pause(ctx context.Context) bool {
	ti := time.NewTimer(resultPause)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (is *Issuer) result(ctx context.Context, up ident.Upstream, en Entry) error {
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

// Slots returns the slots.
func (is *Issuer) Slots() Slots { return is.slots }
