package client_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/core/shed"
	"github.com/balsamwood/balsamwood/internal/fake/pipes"
)

// call is the result of a call over a link.
type call struct {
	Responded, Stalled bool
	Took               time.Duration
}

// callOver makes a call with a dial timeout of 100 ms and 300 ms for the header of the
// response, on virtual time. Opening the connection takes the time dial, and the
// response the time respond.
func callOver(t *testing.T, li *shed.Link, dial, respond time.Duration) call {
	t.Helper()
	open, stop := pipes.Serve(http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		select {
		case <-time.After(respond):
		case <-re.Context().Done():
		}
	}), pipes.Link{})
	defer stop()
	hc := client.New(client.WithLink(li), client.WithDialTimeout(100*time.Millisecond), client.WithoutKeepAlives(),
		client.WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			select {
			case <-time.After(dial):
				return open(ctx, network, addr)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}))
	start := time.Now()
	ctx, end := client.WithLowestRate(t.Context(), start.Add(300*time.Millisecond), client.Rate{Bytes: 1 << 10, Window: 300 * time.Millisecond})
	defer end()
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://peer/", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, _, err := client.Do(hc, re)
	if err == nil {
		_ = resp.Body.Close()
	}
	return call{Responded: err == nil, Stalled: errors.Is(err, client.ErrStalled), Took: time.Since(start)}
}

// TestFullLinkIsNoSilence guards against calls that are given up as silent while they
// wait in the queue of the router's own link: a router that callers kept busy could
// neither read the configuration from the store nor ask another router for it.
func TestFullLinkIsNoSilence(t *testing.T) {
	const wait, silent = 400 * time.Millisecond, time.Hour
	for _, tc := range []struct {
		name          string
		full          bool
		dial, respond time.Duration
		want          call
	}{
		{"empty queue", false, 0, 0, call{Responded: true}},
		{"slow response over a free link", false, 0, wait, call{Stalled: true, Took: 300 * time.Millisecond}},
		{"slow response over a full link", true, 0, 2 * wait, call{Responded: true, Took: 2 * wait}},
		{"slow connection and response over a full link", true, 2 * wait, wait, call{Responded: true, Took: 3 * wait}},
		{"no response over a full link", true, 0, silent, call{Stalled: true, Took: 1300 * time.Millisecond}},
		{"no connection over a full link", true, silent, 0, call{Took: 1100 * time.Millisecond}},
		{"no connection over a free link", false, silent, 0, call{Took: 100 * time.Millisecond}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				li := shed.NewLink(10, time.Now())
				if tc.full {
					// Two seconds of the link.
					li.Sent(5<<20, shed.Others, time.Now())
				}
				if diff := cmp.Diff(tc.want, callOver(t, li, tc.dial, tc.respond)); diff != "" {
					t.Errorf("call (-want +got):\n%s", diff)
				}
			})
		})
	}
}
