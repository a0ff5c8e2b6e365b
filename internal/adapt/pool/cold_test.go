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
		name, field string
		known       bool
		want        time.Duration
	}{
		{"cold", "Cold-Ms: 2500\r\n", true, 2500 * time.Millisecond},
		{"warm", "Cold-Ms: 0\r\n", true, 0},
		{"nothing said", "", false, 0},
		{"text", "Cold-Ms: soon\r\n", false, 0},
		{"not a number", "Cold-Ms: NaN\r\n", false, 0},
		{"negative", "Cold-Ms: -3\r\n", false, 0},
		{"too long", "Cold-Ms: 1e300\r\n", false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := time.Now()
			until := noticeOf(t, "HTTP/1.1 200 OK\r\n"+tc.field+"Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n").ColdUntil
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
