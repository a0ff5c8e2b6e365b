package update

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Peers are other processes that may hold a newer configuration.
type Peers interface {
	// Newer returns the document of a revision above than, if a peer has one.
	Newer(ctx context.Context, than ident.Revision) ([]byte, bool, error)
}

// Watcher keeps a follower up to date from the table. While the table does not
// answer it asks the peers, and the object store if nothing is in force yet.
type Watcher struct {
	rows
	options
	follower *Follower
	// The fields below belong to the goroutine of Run.
	failing bool
	older   ident.Revision
	asked   bool
	// due is when the document of a newer head is read; zero when no newer head
	// is known.
	due time.Time
}

// NewWatcher returns a watcher for the follower.
func NewWatcher(ta store.Table, co Codecs, fo *Follower, opts ...Option) *Watcher {
	return &Watcher{rows: rows{ta, co}, options: newOptions(opts), follower: fo}
}

// Run reads until ctx ends.
func (wa *Watcher) Run(ctx context.Context) {
	ti := time.NewTicker(wa.interval)
	defer ti.Stop()
	for {
		wa.round(ctx)
		select {
		case <-ti.C:
		case <-ctx.Done():
			return
		}
	}
}

// round reads once.
func (wa *Watcher) round(ctx context.Context) {
	err := wa.limited(ctx, wa.readTable)
	if ctx.Err() != nil {
		return
	}
	wa.note(err)
	// At the start the peers are asked in any case, because the table may hold
	// an older revision than they follow.
	if wa.peers != nil && (err != nil || !wa.asked) {
		wa.asked = true
		wa.counted("peers", wa.limited(ctx, wa.askPeers))
	}
	if err != nil && wa.archive != nil && !wa.follower.Ready() {
		wa.counted("object store", wa.readArchive(ctx))
	}
}

func (wa *Watcher) limited(ctx context.Context, read func(context.Context) error) error {
	ctx, stop := context.WithTimeout(ctx, wa.timeout)
	defer stop()
	return read(ctx)
}

func (wa *Watcher) readTable(ctx context.Context) error {
	he, err := wa.head(ctx)
	if err != nil {
		return err
	}
	cur := wa.follower.InForce().Revision
	if he.Revision < cur {
		wa.reportOlder(he.Revision, cur)
		return nil
	}
	wa.older = 0
	if he.Revision == cur {
		wa.due = time.Time{}
		return nil
	}
	if !wa.turn(he) {
		return nil
	}
	doc, err := wa.document(ctx, he)
	if errors.Is(err, errMoved) {
		// The next round reads the newer head.
		return nil
	}
	if err != nil {
		return err
	}
	sn, err := wa.decode(doc, he.Revision)
	if err != nil {
		wa.meter.Log(evBadDoc, slog.String("source", "table"), slog.String("error", err.Error()))
		return err
	}
	wa.follower.follow(sn, doc, "table")
	wa.due = time.Time{}
	return nil
}

// turn reports whether the document of a newer head is to be read now. Large
// documents are read at a random time, because all routers see the head within
// one interval. A process without a configuration does not wait.
func (wa *Watcher) turn(he Head) bool {
	most := wa.spread * time.Duration(he.parts()-1)
	if most <= 0 || !wa.follower.Ready() {
		return true
	}
	now := wa.clock.Now()
	if wa.due.IsZero() {
		wa.due = now.Add(rand.N(most))
	}
	return !now.Before(wa.due)
}

func (wa *Watcher) askPeers(ctx context.Context) error {
	doc, ok, err := wa.peers.Newer(ctx, wa.follower.InForce().Revision)
	if err != nil || !ok {
		return err
	}
	_, err = wa.follower.Offer(doc)
	return err
}

func (wa *Watcher) readArchive(ctx context.Context) error {
	doc, ok, err := wa.archive.Newest(ctx)
	if err != nil || !ok {
		return err
	}
	_, err = wa.follower.offer(doc, "object store")
	return err
}

// reportOlder logs a stale revision once and counts every time it is read.
func (wa *Watcher) reportOlder(got, cur ident.Revision) {
	wa.meter.Count(mtOlder, "", "", 1)
	if wa.older == got && got != 0 {
		return
	}
	wa.older = got
	wa.meter.Log(evOlder, slog.Uint64("table", uint64(got)), slog.Uint64("inForce", uint64(cur)))
}

// note logs when the table stops and when it begins to answer.
func (wa *Watcher) note(err error) {
	switch {
	case err != nil:
		wa.meter.Count(mtFailures, "source", "table", 1)
		if !wa.failing {
			wa.meter.Log(evNoTable, slog.String("error", err.Error()))
		}
	case wa.failing:
		wa.meter.Log(evTableAgain)
	}
	wa.failing = err != nil
}

func (wa *Watcher) counted(source string, err error) {
	if err != nil {
		wa.meter.Count(mtFailures, "source", source, 1)
	}
}
