package sock_test

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/sock"
)

// TestStateOf guards against taking a connection on which bytes wait, or which was
// closed, for an idle one, also after its read deadline.
func TestStateOf(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	client, err := net.Dial("tcp", ls.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := ls.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = server.SetReadDeadline(time.Unix(1, 0))
	got := []sock.State{sock.StateOf(server)}
	_, _ = client.Write([]byte("x"))
	got = append(got, sock.StateOf(server))
	_ = server.SetReadDeadline(time.Time{})
	_, _ = server.Read(make([]byte, 1))
	_ = client.Close()
	// The end of the stream has arrived when a read returns.
	_, _ = server.Read(make([]byte, 1))
	got = append(got, sock.StateOf(server))
	_ = server.Close()
	got = append(got, sock.StateOf(server))
	pipe, other := net.Pipe()
	defer func() { _, _ = pipe.Close(), other.Close() }()
	got = append(got, sock.StateOf(pipe))
	want := []sock.State{sock.Empty, sock.Readable, sock.Closed, sock.Closed, sock.Unknown}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
}
