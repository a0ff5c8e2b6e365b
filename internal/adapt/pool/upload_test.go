package pool_test

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/fake/script"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// uploadBytes exceeds what the kernel buffers for a connection on loopback, so that the
// request body is still being written when the upstream responds.
const uploadBytes = 12 << 20

// TestResetDuringUpload guards against taking the part of a response for the whole one
// when its upstream resets the connection while the request body is being written: the
// write may receive the error of the connection in place of the read. A response whose
// upstream closes the connection is whole, whatever becomes of the request body.
func TestResetDuringUpload(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\n"
	const stream = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Type: text/event-stream\r\n\r\n"
	closeOnly := func(tc *net.TCPConn) { _ = tc.CloseWrite() }
	readBody := func(tc *net.TCPConn) {
		_ = tc.CloseWrite()
		_, _ = io.Copy(io.Discard, tc)
	}
	leaveBody := func(tc *net.TCPConn) {
		_ = tc.CloseWrite()
		<-t.Context().Done()
	}
	body := make([]byte, uploadBytes)
	for _, tc := range []struct {
		name, response string
		end            func(*net.TCPConn)
		want           error
	}{
		{"body that is reset", plain + "part", script.Reset, proxy.ErrIncomplete},
		{"stream that is reset after an event", stream + "id: 0\ndata: x\n\n", script.Reset, proxy.ErrIncomplete},
		{"body that ends before a reset", plain + "whole", closeOnly, io.EOF},
		{"body that ends, request is read", plain + "whole", readBody, io.EOF},
		{"body that ends, request is not read", plain + "whole", leaveBody, io.EOF},
		{"stream that ends before a reset", stream + "id: 0\ndata: x\n\n", closeOnly, io.EOF},
	} {
		sv, err := script.NewEarly(tc.response, tc.end)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(sv.Close)
		t.Run(tc.name, func(t *testing.T) {
			po := pool.New(testHeaderNames())
			var wrong []string
			// The scheduler decides whether the read or the write receives the error.
			for range 20 {
				rq := request("a1")
				rq.Body = body
				rsp, err := po.Send(t.Context(), rq, attemptAt(sv.Addr()))
				if err == nil {
					_, err = readAll(t, rsp, nil)
					rsp.Close()
				}
				if !errors.Is(err, tc.want) {
					wrong = append(wrong, err.Error())
				}
			}
			if diff := cmp.Diff([]string(nil), wrong); diff != "" {
				t.Errorf("ended with another error than %q (-want +got):\n%s", tc.want, diff)
			}
		})
	}
}
