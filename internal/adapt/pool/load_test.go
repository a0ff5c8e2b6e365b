package pool_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// TestLoad guards against dropping a load report because it has a pace or an invalid
// figure, and against using the invalid figure.
func TestLoad(t *testing.T) {
	const none = proxy.Unreported
	for _, tc := range []struct {
		header string
		want   proxy.Load
	}{
		{"3,1,24", proxy.Load{Running: 3, Waiting: 1, Slots: 24}},
		{"3, 1, 24, 400", proxy.Load{Running: 3, Waiting: 1, Slots: 24, Pace: 400}},
		{"3,1,24,NaN", proxy.Load{Running: 3, Waiting: 1, Slots: 24, Invalid: true}},
		{"3,1,24,-7", proxy.Load{Running: 3, Waiting: 1, Slots: 24, Invalid: true}},
		{"3,1,24,99999999999999999999", proxy.Load{Running: 3, Waiting: 1, Slots: 24, Invalid: true}},
		{"-3,1,0,100", proxy.Load{Running: none, Waiting: 1, Pace: 100, Invalid: true}},
		{"3,1", proxy.Load{}},
		{"3,1,24,100,7", proxy.Load{}},
		{"", proxy.Load{}},
	} {
		t.Run(tc.header, func(t *testing.T) {
			addr, _ := serveRaw(t, [][]string{{"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nInstance-Load: " + tc.header + "\r\nContent-Length: 0\r\n\r\n"}})
			rsp, err := pool.New(testHeaderNames()).Send(t.Context(), request("a1"), proxy.Attempt{Upstream: proxy.Upstream{ID: "i-1", Address: addr}})
			if err != nil {
				t.Fatal(err)
			}
			defer rsp.Close()
			got, ok := rsp.Load()
			if diff := cmp.Diff(tc.want, got); diff != "" || ok != (tc.want != proxy.Load{}) {
				t.Errorf("reported: %v, load (-want +got):\n%s", ok, diff)
			}
		})
	}
}
