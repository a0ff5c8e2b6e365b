package crowd_test

import (
	"testing"

	"github.com/balsamwood/balsamwood/internal/bench/crowd"
	"github.com/balsamwood/balsamwood/internal/bench/faults"
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
	for _, tc := range []struct {
		name      string
		behaviour crowd.Behaviour
		clients   int
	}{
		{"whole", crowd.Whole, 100},
		{"pieces", crowd.Pieces, 100},
		{"large chunks", crowd.LargeChunks, 100},
		{"tiny chunks", crowd.TinyChunks, 100},
		{"announced over the limit", crowd.AnnouncedOver, 100},
		{"sent over the limit", crowd.SentOver, 100},
		{"half headers", crowd.HalfHeader, 600},
		{"idle", crowd.Idle, 600},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ro, err := crowd.NewRouter(t.Context(), bin, t.TempDir(), limits)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ro.Close() })
			cr := crowd.Start(t.Context(), tc.behaviour, tc.clients, ro.Addr, crowd.Key, limits.MaxBodyBytes)
			defer cr.Close()
			cr.AwaitSent()
			before, err := ro.AwaitSteady()
			if err != nil {
				t.Fatalf("%v; last output: %q", err, ro.Tail(3))
			}
			if err := ro.Call(t.Context()); err != nil {
				t.Errorf("an ordinary request is not served: %v", err)
			}
			pe, err := ro.AwaitSteady()
			pe.FDs = max(pe.FDs, before.FDs)
			if err != nil || pe.ResidentBytes > int64(limits.MemoryMB)*1e6 || pe.FDs > limits.MaxFDs {
				t.Errorf("%d bytes and %d descriptors at the peak, %v", pe.ResidentBytes, pe.FDs, err)
			}
			t.Logf("%d MB, %d descriptors", pe.ResidentBytes/1e6, pe.FDs)
			if !ro.Running() {
				t.Errorf("the router has ended: %q", ro.Tail(3))
			}
		})
	}
}
