package link_test

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/pipes"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

// waitTimeout bounds the wait for an expected event.
const waitTimeout = 20 * time.Second

// reportingSidecar is a sidecar that only reports its configuration revision.
type reportingSidecar struct {
	peer.Sidecar
	configControl *configControl
}

func (rs reportingSidecar) Report() (peer.Report, bool) {
	re, _ := rs.configControl.InForce()
	return peer.Report{Revision: re}, true
}

// configControl holds the configuration of a sidecar and counts the documents
// that are offered to it.
type configControl struct {
	link.ControlHandler
	mu       sync.Mutex
	revision ident.Revision
	offers   int
	document chan []byte
}

func newConfigControl() *configControl { return &configControl{document: make(chan []byte, 1000)} }

func (cc *configControl) InForce() (ident.Revision, []byte) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.revision, nil
}

func (cc *configControl) OfferConfig(re ident.Revision, document []byte) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.offers++
	if re > cc.revision {
		cc.revision = re
		cc.document <- document
	}
}

func (cc *configControl) CloseIncarnation(context.Context, ident.Incarnation) ([]link.BudgetUsage, error) {
	return nil, nil
}

// await returns the next document with a higher revision.
func (cc *configControl) await(t *testing.T) []byte {
	t.Helper()
	select {
	case doc := <-cc.document:
		return doc
	case <-time.After(waitTimeout):
		t.Fatal("no document")
		return nil
	}
}

// serveSidecar runs a sidecar's server until the test ends. It returns the
// listener and a function that runs a client until then.
func serveSidecar(t *testing.T, cc *configControl) (*pipes.Listener, func(func(context.Context))) {
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		stop()
		wg.Wait()
	})
	pl := pipes.NewListener()
	sv := link.NewServer(link.Identity{Upstream: "e1"}, reportingSidecar{configControl: cc}, cc, link.WithReportPeriod(50*time.Millisecond))
	wg.Go(func() { _ = sv.Serve(ctx, pl) })
	return pl, func(run func(context.Context)) { wg.Go(func() { run(ctx) }) }
}

// TestBoundDocuments guards against a sidecar that receives the whole document
// from every router.
func TestBoundDocuments(t *testing.T) {
	const routers, revisions = 60, 3
	document := bytes.Repeat([]byte("budget"), 300_000)
	cc := newConfigControl()
	pl, run := serveSidecar(t, cc)
	var revision atomic.Uint64
	inForce := func() (ident.Revision, []byte) { return ident.Revision(revision.Load()), document }
	var clients []*link.Client
	for range routers {
		linked := make(chan struct{})
		var once sync.Once
		cl := link.NewClient(link.Identity{Upstream: "e1"}, pl.Dial, link.WithConfig(inForce),
			link.WithOnReport(func(peer.Report) { once.Do(func() { close(linked) }) }))
		clients = append(clients, cl)
		run(cl.Run)
		select {
		case <-linked:
		case <-time.After(waitTimeout):
			t.Fatal("no link")
		}
	}
	for re := range uint64(revisions) {
		revision.Store(re + 1)
		for _, cl := range clients {
			cl.ConfigChanged()
		}
		if got := cc.await(t); !bytes.Equal(got, document) {
			t.Fatalf("document of %d bytes, want %d", len(got), len(document))
		}
	}
	// A response shows that all frames sent before it on the link have arrived.
	for _, cl := range clients {
		if _, err := cl.CloseIncarnation(t.Context(), "r"); err != nil {
			t.Fatal(err)
		}
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	t.Logf("%d routers sent %d documents for %d revisions", routers, cc.offers, revisions)
	if most := routers * revisions / 10; cc.offers > most {
		t.Errorf("%d documents, want at most %d", cc.offers, most)
	}
}

// TestDocumentRequestedAgain guards against a sidecar that keeps an old revision
// because the router from which it requests the document does not send it.
func TestDocumentRequestedAgain(t *testing.T) {
	cc := newConfigControl()
	pl, run := serveSidecar(t, cc)
	// The first router has the revision at the second call, when it announces
	// it, and no longer at the third, when the document is requested.
	var calls atomic.Int32
	requested := make(chan struct{})
	withoutDocument := func() (ident.Revision, []byte) {
		switch calls.Add(1) {
		case 2:
			return 1, nil
		case 3:
			close(requested)
		}
		return 0, nil
	}
	run(link.NewClient(link.Identity{Upstream: "e1"}, pl.Dial, link.WithConfig(withoutDocument)).Run)
	select {
	case <-requested:
	case <-time.After(waitTimeout):
		t.Fatal("no document was requested from the first router")
	}
	run(link.NewClient(link.Identity{Upstream: "e1"}, pl.Dial,
		link.WithConfig(func() (ident.Revision, []byte) { return 1, []byte("document") })).Run)
	if got := string(cc.await(t)); got != "document" {
		t.Errorf("document %q", got)
	}
}
