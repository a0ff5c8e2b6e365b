// Package rig runs the deployed program as separate processes on loopback, with
// stand-ins for the platform's store, the engines and the clients. It is shared by the
// cases of the review.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of what a case sent, was answered and ran.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, buf: bufio.NewWriter(file)}, nil
}

// Add appends a line with the time since the start.
func (rc *Record) Add(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.buf, "%8.3f "+format+"\n", append([]any{time.Since(rc.start).Seconds()}, args...)...)
}

// Say appends a line and prints it.
func (rc *Record) Say(format string, args ...any) {
	rc.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (rc *Record) Close() error {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if err := rc.buf.Flush(); err != nil {
		return err
	}
	return rc.file.Close()
}
