package update_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// sizedCodec encodes the revision, with padding up to a size.
type sizedCodec struct{ size int }

func (sc sizedCodec) Encode(sn config.Snapshot) ([]byte, error) {
	text := fmt.Appendf(nil, "%d ", sn.Revision())
	return append(text, bytes.Repeat([]byte("x"), sc.size-len(text))...), nil
}

func (sizedCodec) Decode(data []byte) (config.Snapshot, error) {
	var rev ident.Revision
	_, err := fmt.Sscan(string(data), &rev)
	return config.Snapshot{}.WithRevision(rev, "ann"), err
}

// narrowTable is a table whose large rows arrive over a narrow link, one after the other.
type narrowTable struct {
	*port
	link chan struct{}
	// perRow is the time that the link takes for a large row.
	perRow time.Duration
}

func (nt *narrowTable) Get(ctx context.Context, key string) (store.Item, bool, error) {
	it, ok, err := nt.port.Get(ctx, key)
	if len(it.Value) < 64<<10 {
		return it, ok, err
	}
	select {
	case nt.link <- struct{}{}:
	case <-ctx.Done():
		return store.Item{}, false, ctx.Err()
	}
	defer func() { <-nt.link }()
	select {
	case <-time.After(nt.perRow):
		return it, ok, err
	case <-ctx.Done():
		return store.Item{}, false, ctx.Err()
	}
}

// TestDocumentOverFullLink guards against a document that never arrives over a full link,
// because each read begins again with the parts that have arrived before.
func TestDocumentOverFullLink(t *testing.T) {
	const inForceWithin = 18 * time.Second
	synctest.Test(t, func(t *testing.T) {
		many := update.Codecs{Head: codecs.Head, Audit: codecs.Audit, Config: sizedCodec{1500 << 10}}
		memory := newMemory()
		if _, err := update.NewAcceptor(&port{memory: memory}, many).Accept(t.Context(), proposal(0, "ann", "")); err != nil {
			t.Fatal(err)
		}
		fo := update.NewFollower(many.Config)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			update.NewWatcher(&narrowTable{port: &port{memory: memory}, link: make(chan struct{}, 1), perRow: 1250 * time.Millisecond}, many, fo).Run(ctx)
		}()
		time.Sleep(inForceWithin)
		if got := fo.InForce().Revision; got != 1 {
			t.Errorf("revision %d is in force after %v, want 1", got, inForceWithin)
		}
		stop()
		<-done
	})
}
