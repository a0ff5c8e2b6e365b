package entry_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/entry"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// TestAdmission guards against a refusal that waits for the body, that keeps the
// connection open although the body may follow, and against a refused request that is
// forwarded.
func TestAdmission(t *testing.T) {
	ha := &fakeHandler{}
	var lengths []int64
	sv := startServerWith(t, ha, func() intent.Limits { return intent.Limits{} },
		entry.WithAdmission(func(ar entry.Arrival) *refuse.Refusal {
			lengths = append(lengths, ar.BodyLength)
			return nil
		}),
		entry.WithAdmission(func(ar entry.Arrival) *refuse.Refusal {
			return refuse.New(refuse.Busy, "%s", ar.Info.ID).WithRetryAt(ar.At.Add(time.Hour))
		}))
	type result struct {
		Status     int
		RetryAfter bool
		Closing    bool
	}
	for _, framing := range []string{"Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n", "Expect: 100-continue\r\nContent-Length: 5\r\n"} {
		nc := dialServer(t, sv)
		_, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\n"+idField+framing+"\r\n")
		rsp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Fatal(err)
		}
		got := result{rsp.StatusCode, rsp.Header.Get("Retry-After") != "", rsp.Close}
		if diff := cmp.Diff(result{http.StatusServiceUnavailable, true, true}, got); diff != "" {
			t.Errorf("%q (-want +got):\n%s", framing, diff)
		}
		_ = nc.Close()
	}
	if diff := cmp.Diff([]int64{1000, -1, 5}, lengths); diff != "" {
		t.Errorf("announced lengths (-want +got):\n%s", diff)
	}
	if len(ha.requests) != 0 {
		t.Errorf("%d refused requests were forwarded", len(ha.requests))
	}
}
