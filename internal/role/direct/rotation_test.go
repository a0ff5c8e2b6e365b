package direct_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/role/direct"
)

// ready returns the status of the readiness check.
func (tr *testRouter) ready() int {
	resp, err := http.Get("http://" + tr.set.ReadinessCheck.Listen + "/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestRotation guards against a router with a congested link that stays ready or keeps
// its connections while others have capacity.
func TestRotation(t *testing.T) {
	fl := newTestFleet(t, 0)
	congested := shed.NewLink(10, time.Now())
	// What is sent in the future is still queued when the link is looked at.
	congested.Sent(1<<20, shed.Others, time.Now().Add(time.Hour))
	tr := fl.router("edge-0", direct.WithLink(congested))
	open := func() (net.Conn, *bufio.Reader) {
		nc, err := net.Dial("tcp", tr.set.Listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = nc.Close() })
		return nc, bufio.NewReader(nc)
	}
	call := func(nc net.Conn, br *bufio.Reader) string {
		_, _ = fmt.Fprint(nc, "GET /none/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nAuthorization: Bearer k1\r\n\r\n")
		rsp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		return fmt.Sprintf("%d, close %v", rsp.StatusCode, rsp.Close)
	}
	nc, br := open()
	got := []string{call(nc, br)}
	for ix := range 3 {
		fl.router(fmt.Sprint("edge-", ix+1))
	}
	fl.await("out of the rotation", func() bool { return tr.ready() == http.StatusServiceUnavailable })
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection stays open: %v", err)
	}
	got = append(got, call(open()))
	if diff := cmp.Diff([]string{"404, close false", "404, close true"}, got); diff != "" {
		t.Errorf("before and while out of the rotation (-want +got):\n%s", diff)
	}
}
