package update

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Peers are other processes that may hold a newer configuration.
type Peers interface {
	// Newer returns a document with a revision above after, if a peer has one.
	Newer(ctx context.Context, after ident.Revision) ([]byte, bool, error)
}

// Watcher keeps a follower up to date from the table. While the table does not
// respond, it asks the peers, and reads the object store if no configuration is
// in force yet.
type Watcher struct {
	rowReader
	options
	follower *Follower
	// The fields below are used only by the goroutine of Run.
	tableFailing bool
	// lastOlder is the older revision that was read from the table last; zero
	// after the table has returned a current one.
	lastOlder  ident.Revision
	peersAsked bool
	// readAt is when the document of a newer head is read; zero when no newer head
	// is known.
	readAt time.Time
	// partial is a document that has arrived in part.
	partial partialDocument
}

// partialDocument holds the parts of a document that have arrived. The others are nil.
type partialDocument struct {
	revision ident.Revision
	parts    [][]byte
}

// NewWatcher returns a watcher that updates the follower.
func NewWatcher(ta store.Table, co Codecs, fo *Follower, opts ...Option) *Watcher {
	return &Watcher{rowReader: rowReader{ta, co}, options: newOptions(opts), follower: fo}
}

// Run polls the table until ctx ends.
func (wa *Watcher) Run(ctx context.Context) {
	ti := time.NewTicker(wa.interval)
	defer ti.Stop()
	for {
		wa.poll(ctx)
		select {
		case <-ti.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the table once, and the peers or the object store if necessary.
func (wa *Watcher) poll(ctx context.Context) {
	err := wa.withTimeout(ctx, wa.readTable)
	if ctx.Err() != nil {
		return
	}
	wa.recordTableResult(err)
	// At the start the peers are asked in any case, because the table may hold
	// an older revision than theirs.
	if wa.peers != nil && (err != nil || !wa.peersAsked) {
		wa.peersAsked = true
		wa.countFailure("peers", wa.withTimeout(ctx, wa.askPeers))
	}
	if err != nil && wa.archive != nil && !wa.follower.Ready() {
		wa.countFailure("object store", wa.readArchive(ctx))
	}
}

// withTimeout runs a read with the timeout of the watcher.
func (wa *Watcher) withTimeout(ctx context.Context, read func(context.Context) error) error {
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
	wa.lastOlder = 0
	if he.Revision == cur {
		wa.readAt = time.Time{}
		return nil
	}
	if !wa.readDue(he) {
		return nil
	}
	doc, err := wa.readDocument(ctx, he)
	if errors.Is(err, errSuperseded) {
		// The next poll reads the newer head.
		return nil
	}
	if err != nil {
		return err
	}
	sn, err := wa.decode(doc, he.Revision)
	if err != nil {
		wa.meter.Log(evBadDocument, slog.String("source", "table"), slog.String("error", err.Error()))
		return err
	}
	wa.follower.apply(sn, doc, "table")
	wa.readAt = time.Time{}
	return nil
}

// readDocument reads the document of the head. On a full link a large one needs several
// polls, and each goes on with the parts that are missing.
func (wa *Watcher) readDocument(ctx context.Context, he Head) ([]byte, error) {
	if wa.partial.revision != he.Revision {
		wa.partial = partialDocument{he.Revision, make([][]byte, he.parts())}
	}
	if err := wa.readParts(ctx, he, wa.partial.parts); err != nil {
		return nil, err
	}
	doc := slices.Concat(wa.partial.parts...)
	wa.partial = partialDocument{}
	return doc, nil
}

// readDue reports whether the document of a newer head is to be read now. Large
// documents are read after a random delay, because all routers see the new head
// within one interval. A process without a configuration does not wait.
func (wa *Watcher) readDue(he Head) bool {
	maxDelay := wa.readJitter * time.Duration(he.parts()-1)
	if maxDelay <= 0 || !wa.follower.Ready() {
		return true
	}
	now := wa.clock.Now()
	if wa.readAt.IsZero() {
		wa.readAt = now.Add(rand.N(maxDelay))
	}
	return !now.Before(wa.readAt)
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

// reportOlder counts every read of an older revision. It logs each such revision
// once, but revision 0, of a table without the row, at every read.
func (wa *Watcher) reportOlder(got, cur ident.Revision) {
	wa.meter.Count(mtOlder, "", "", 1)
	if wa.lastOlder == got && got != 0 {
		return
	}
	wa.lastOlder = got
	wa.meter.Log(evOlderRevision, slog.Uint64("table", uint64(got)), slog.Uint64("inForce", uint64(cur)))
}

// recordTableResult counts failed reads of the table, and logs the first failure
// and the first success after failures.
func (wa *Watcher) recordTableResult(err error) {
	switch {
	case err != nil:
		wa.meter.Count(mtFailures, "source", "table", 1)
		if !wa.tableFailing {
			wa.meter.Log(evTableFailed, slog.String("error", err.Error()))
		}
	case wa.tableFailing:
		wa.meter.Log(evTableRecovered)
	}
	wa.tableFailing = err != nil
}

// countFailure counts a failed read from the peers or the object store.
func (wa *Watcher) countFailure(source string, err error) {
	if err != nil {
		wa.meter.Count(mtFailures, "source", source, 1)
	}
}
