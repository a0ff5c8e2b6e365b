package sock_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/balsamwood/balsamwood/internal/adapt/sock"
)

// endedConn is a connection whose reads return io.EOF. A write waits for its deadline
// and then fails.
type endedConn struct {
	net.Conn
	writing, deadline chan struct{}
	writeErr          error
}

// Read returns io.EOF.
func (endedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write fails once a deadline is set.
func (ec endedConn) Write([]byte) (int, error) {
	close(ec.writing)
	<-ec.deadline
	return 0, &net.OpError{Op: "write", Err: ec.writeErr}
}

// SetWriteDeadline ends the write.
func (ec endedConn) SetWriteDeadline(time.Time) error {
	close(ec.deadline)
	return nil
}

// TestEndDuringWrite guards against taking a failed connection for one that the other
// side has closed, if a write in progress received the error, and the other way round.
func TestEndDuringWrite(t *testing.T) {
	for _, tc := range []struct {
		name           string
		writeErr, want error
	}{
		{"reset", syscall.ECONNRESET, syscall.ECONNRESET},
		{"bytes not acknowledged in time", syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{"reset after the end", syscall.EPIPE, io.EOF},
		{"write that waits", os.ErrDeadlineExceeded, io.EOF},
		{"no write", nil, io.EOF},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ec := endedConn{writing: make(chan struct{}), deadline: make(chan struct{}), writeErr: tc.writeErr}
			co, done := sock.NewConn(ec), make(chan error, 1)
			if tc.writeErr != nil {
				go func() {
					_, err := co.Write([]byte("request"))
					done <- err
				}()
				<-ec.writing
			}
			_, err := co.Read(make([]byte, 1))
			if diff := cmp.Diff(tc.want, err, cmpopts.EquateErrors()); diff != "" {
				t.Errorf("error of the read (-want +got):\n%s", diff)
			}
			if tc.writeErr != nil && !errors.Is(<-done, tc.writeErr) {
				t.Errorf("the write did not return %v", tc.writeErr)
			}
		})
	}
}
