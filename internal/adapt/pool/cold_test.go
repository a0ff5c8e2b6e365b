package pool_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestColdUntil guards against overlooking for how long an upstream is cold, or that it is
// warm, and against a value that is no time.
func TestColdUntil(t *testing.T) {
	for _, tc := range []struct {
		name, head string
		known      bool
		want       time.Duration
	}{
		{"another instance", "HTTP/1.1 421 Other\r\nNot-Executed: 1\r\nCold-Ms: 5\r\n", false, 0},
		{"cold", "HTTP/1.1 200 OK\r\nCold-Ms: 2500\r\n", true, 2500 * time.Millisecond},
		{"warm", "HTTP/1.1 200 OK\r\nCold-Ms: 0\r\n", true, 0},
		{"nothing said", "HTTP/1.1 200 OK\r\n", false, 0},
		{"text", "HTTP/1.1 200 OK\r\nCold-Ms: soon\r\n", false, 0},
		{"not a number", "HTTP/1.1 200 OK\r\nCold-Ms: NaN\r\n", false, 0},
		{"negative", "HTTP/1.1 200 OK\r\nCold-Ms: -3\r\n", false, 0},
		{"too long", "HTTP/1.1 200 OK\r\nCold-Ms: 1e300\r\n", false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := time.Now()
			until := noticeOf(t, tc.head+"Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n").ColdUntil
			after := time.Now()
			if diff := cmp.Diff(tc.known, !until.IsZero()); diff != "" {
				t.Fatalf("known (-want +got):\n%s", diff)
			}
			if tc.known && (until.Before(before.Add(tc.want)) || until.After(after.Add(tc.want))) {
				t.Errorf("cold for %s, want %s", until.Sub(before), tc.want)
			}
		})
	}
}
