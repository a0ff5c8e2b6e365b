package crowd_test

import (
	"context"
	"testing"

	"github.com/balsamwood/balsamwood/internal/bench/crowd"
	"github.com/balsamwood/balsamwood/internal/bench/faults"
	"github.com/balsamwood/balsamwood/internal/bench/procs"
)

// limits are lowered so that a small crowd exceeds them by far.
var limits = crowd.Limits{MemoryMB: 64, MaxFDs: 500, MaxBodyBytes: 1 << 20}

// TestCrowd guards against a router that ends, that exceeds the memory of its VM or the
// number of its descriptors, or that serves nobody else, when many clients do not
// complete their requests.
func TestCrowd(t *testing.T) {
	bin := t.TempDir()
	if err := faults.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ro, err := crowd.NewRouter(t.Context(), bin, t.TempDir(), limits)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ro.Close() })
			check(t, tc, ro.Proc, ro.Target, limits, ro.Call)
		})
	}
}

// testCase is a crowd of clients with the same behaviour.
type testCase struct {
	name      string
	behaviour crowd.Behaviour
	clients   int
}

var cases = []testCase{
	{"whole", crowd.Whole, 100},
	{"pieces", crowd.Pieces, 100},
	{"large chunks", crowd.LargeChunks, 100},
	{"tiny chunks", crowd.TinyChunks, 100},
	{"announced over the limit", crowd.AnnouncedOver, 100},
	{"sent over the limit", crowd.SentOver, 100},
	{"half headers", crowd.HalfHeader, 600},
	{"idle", crowd.Idle, 600},
}

// check lets the crowd run against the process and checks that it lives within the limits
// and serves an ordinary request.
func check(t *testing.T, tc testCase, pr *procs.Proc, ta crowd.Target, li crowd.Limits, call func(context.Context) error) {
	t.Helper()
	cr := crowd.Start(t.Context(), tc.behaviour, tc.clients, ta, li.MaxBodyBytes)
	defer cr.Close()
	cr.AwaitSent()
	before, err := crowd.AwaitSteady(pr)
	if err != nil {
		t.Fatalf("%v; last output: %q", err, pr.Tail(3))
	}
	if err := call(t.Context()); err != nil {
		t.Errorf("an ordinary request is not served: %v", err)
	}
	pe, err := crowd.AwaitSteady(pr)
	pe.FDs = max(pe.FDs, before.FDs)
	if err != nil || pe.ResidentBytes > int64(li.MemoryMB)*1e6 || pe.FDs > li.MaxFDs {
		t.Errorf("%d bytes and %d descriptors at the peak, %v", pe.ResidentBytes, pe.FDs, err)
	}
	t.Logf("%d MB, %d descriptors", pe.ResidentBytes/1e6, pe.FDs)
	if !pr.Running() {
		t.Errorf("the router has ended: %q", pr.Tail(3))
	}
}

// sidecarLimits are those of a router with sidecars. Its bodies are smaller by default.
var sidecarLimits = crowd.Limits{MemoryMB: 64, MaxFDs: 500, MaxBodyBytes: 512 << 10}

// TestCrowdWithSidecars is TestCrowd for a router that reaches upstreams through their
// sidecars.
func TestCrowdWithSidecars(t *testing.T) {
	bin := t.TempDir()
	if err := faults.Build(t.Context(), bin); err != nil {
		t.Fatal(err)
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ro, err := crowd.NewSidecarRouter(t.Context(), bin, t.TempDir(), sidecarLimits)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ro.Close() })
			check(t, tc, ro.Proc, ro.Target, sidecarLimits, ro.Call)
		})
	}
}
