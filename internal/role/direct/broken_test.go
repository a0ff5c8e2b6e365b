package direct_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/fake/origin"
	"github.com/balsamwood/balsamwood/internal/fake/script"
)

// TestBrokenResponse guards against a caller that gets the broken response of an upstream
// as the response to its request.
func TestBrokenResponse(t *testing.T) {
	readBody := func(tc *net.TCPConn) { _, _ = io.Copy(io.Discard, tc) }
	closeWrite := func(tc *net.TCPConn) { _ = tc.CloseWrite() }
	const fields = "Attempt-Id: b1\r\nServer-Stamp: s\r\n"
	const framed = "Content-Length: 4\r\n\r\nbody"
	for _, tc := range []struct {
		name, response string
		end            func(*net.TCPConn)
	}{
		{"reset during the upload", "HTTP/1.1 200 OK\r\n" + fields + "\r\npart", script.Reset},
		{"status 000", "HTTP/1.1 000 OK\r\n" + fields + framed, readBody},
		{"status 000 before a success", "HTTP/1.1 000 OK\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\n" + fields + framed, readBody},
		{"blank in the name of a field", "HTTP/1.1 200 OK\r\n" + fields + "X Own: a\r\n" + framed, readBody},
		{"blank before the name of a field", "HTTP/1.1 200 OK\r\n" + fields + " X-Own: a\r\n" + framed, readBody},
		{"blank after the name of a length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 4\r\n\r\nbody, more", closeWrite},
		{"control byte in the name of a field", "HTTP/1.1 200 OK\r\n" + fields + "X\x01Own: a\r\n" + framed, readBody},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sv, err := script.NewEarly(tc.response, tc.end)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(sv.Close)
			fl := newTestFleet(t, 0)
			fl.store.Register("app-1", "app", sv.Addr())
			tr := fl.router("edge-0")
			ca := origin.Call{ID: "b1", Host: "h.example", Path: "/voucher/x", Key: "k1", Body: strings.Repeat("b", 3<<20)}
			statuses := map[int]int{}
			for range 10 {
				status, _, err := ca.Send(t.Context(), tr.set.Listen)
				if err != nil {
					t.Fatal(err)
				}
				statuses[status]++
			}
			if diff := cmp.Diff(map[int]int{http.StatusBadGateway: 10}, statuses); diff != "" {
				t.Errorf("responses by status (-want +got):\n%s", diff)
			}
		})
	}
}
