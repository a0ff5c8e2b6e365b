package logs

import (
	"bytes"
	"io"
	"sync"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader of the log.
	maxQueuedLines = 2048
	// batchBytes is the size from which no more lines are added to a write.
	batchBytes = 32 << 10
)

// Queue is a writer that never blocks: lines wait in a bounded queue for
// another goroutine to write them, and are dropped and counted when it is full.
type Queue struct {
	out    io.Writer
	lines  chan []byte
	onDrop func(lines int64)

	mu     sync.RWMutex
	closed bool
	done   chan struct{}
}

// NewQueue returns a queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	qu := &Queue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go qu.run()
	return qu
}

// OnDrop sets the function that is called with the number of dropped lines. It
// must be called before the first Write.
func (qu *Queue) OnDrop(drop func(lines int64)) { qu.onDrop = drop }

// Write queues a copy of one line. It always reports success. Lines that are
// written after Close are discarded.
func (qu *Queue) Write(line []byte) (int, error) {
	qu.mu.RLock()
	defer qu.mu.RUnlock()
	if qu.closed {
		return len(line), nil
	}
	select {
	case qu.lines <- bytes.Clone(line):
	default:
		if qu.onDrop != nil {
			qu.onDrop(1)
		}
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine.
func (qu *Queue) Close() {
	qu.mu.Lock()
	if !qu.closed {
		qu.closed = true
		close(qu.lines)
	}
	qu.mu.Unlock()
	<-qu.done
}

func (qu *Queue) run() {
	defer close(qu.done)
	var buf bytes.Buffer
	for line := range qu.lines {
		buf.Write(line)
		for more := len(qu.lines); more > 0 && buf.Len() < batchBytes; more-- {
			buf.Write(<-qu.lines)
		}
		// There is no other place to report that the log cannot be written.
		_, _ = qu.out.Write(buf.Bytes())
		buf.Reset()
	}
}
