package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/intent"
)

// TestCloseKept guards against kept connections that survive CloseKept, against the end
// of one with a request in progress, and against a server that goes on closing them later.
func TestCloseKept(t *testing.T) {
	ph := pausingHandler{make(chan struct{}), make(chan struct{})}
	sv := startServer(t, ph, intent.Limits{})
	open := func(path string) *bufio.Reader {
		nc := dialServer(t, sv)
		_, _ = fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, idField)
		return bufio.NewReader(nc)
	}
	closes := func(br *bufio.Reader) bool {
		rsp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		return rsp.Close
	}
	idle, busy := open("/fast/"), open("/slow/")
	<-ph.entered
	got := map[string]bool{"before": closes(idle)}
	sv.CloseKept(true)
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection stays open: %v", err)
	}
	close(ph.released)
	got["in progress"], got["new"] = closes(busy), closes(open("/fast/"))
	sv.CloseKept(false)
	got["later"] = closes(open("/fast/"))
	if diff := cmp.Diff(map[string]bool{"before": false, "in progress": true, "new": true, "later": false}, got); diff != "" {
		t.Errorf("responses that announce the end of their connection (-want +got):\n%s", diff)
	}
}
