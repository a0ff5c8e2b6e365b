package logs_test

import (
	"strings"
	"sync/atomic"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/logs"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	got     strings.Builder
}

func (bw *blockedWriter) Write(data []byte) (int, error) {
	<-bw.release
	return bw.got.Write(data)
}

// TestQueueNeverBlocks guards against a program that blocks on a slow reader of
// its log, and against dropped lines that are not counted.
func TestQueueNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	qu := logs.NewQueue(out)
	var dropped atomic.Int64
	qu.OnDrop(func(lines int64) { dropped.Add(lines) })
	const lines = 10_000
	for range lines {
		if n, err := qu.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	close(out.release)
	qu.Close()
	if written := strings.Count(out.got.String(), "line\n"); int64(written)+dropped.Load() != lines || dropped.Load() == 0 {
		t.Errorf("%d lines written and %d dropped of %d", written, dropped.Load(), lines)
	}
	if n, err := qu.Write([]byte("late\n")); n != 5 || err != nil {
		t.Errorf("write after Close: %d, %v", n, err)
	}
}
