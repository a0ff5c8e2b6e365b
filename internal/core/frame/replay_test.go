package frame_test

import (
	"errors"
	"testing"

	"github.com/balsamwood/balsamwood/internal/core/frame"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestReplayBounds guards against a buffer that grows beyond its bounds or
// drops an item that the reader has not acknowledged.
func TestReplayBounds(t *testing.T) {
	cases := map[string]struct {
		sizes []int
		acked uint64
		want  []error
	}{
		"items":        {sizes: []int{1, 1, 1, 1}, want: []error{nil, nil, nil, frame.ErrFull}},
		"bytes":        {sizes: []int{6, 4, 1}, want: []error{nil, nil, frame.ErrFull}},
		"too large":    {sizes: []int{11, 10}, want: []error{frame.ErrTooLarge, nil}},
		"acknowledged": {sizes: []int{5, 5, 5, 6}, acked: 1, want: []error{nil, nil, nil, frame.ErrFull}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			re := frame.NewReplay[int](10, 3)
			var got []error
			for i, size := range tc.sizes {
				_, err := re.Append(i, size)
				got = append(got, err)
				re.Ack(tc.acked)
			}
			if diff := cmp.Diff(tc.want, got, cmp.Comparer(func(a, b error) bool { return errors.Is(a, b) })); diff != "" {
				t.Errorf("results of Append (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplayModel compares random histories with a plain slice. It guards
// against items that are lost, repeated or renumbered by compaction.
func TestReplayModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		re := frame.NewReplay[int](64, 8)
		var all []int
		acked := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				seq, err := re.Append(len(all), rapid.IntRange(0, 20).Draw(t, "size"))
				if err == nil {
					all = append(all, len(all))
				}
				if err == nil && seq != uint64(len(all)) {
					t.Fatalf("number %d for item %d", seq, len(all))
				}
			case 2:
				acked = max(acked, uint64(rapid.IntRange(0, len(all)).Draw(t, "ack")))
				re.Ack(acked)
			case 3:
				re.Trim(acked)
				if acked > 0 && re.First() <= acked {
					t.Fatalf("item %d is held after Trim(%d)", re.First(), acked)
				}
			}
			if re.Bytes() > 64 || re.Len() > 8 || re.First() > acked+1 || re.Last() != uint64(len(all)) {
				t.Fatalf("bytes %d, items %d, first %d, acknowledged %d, last %d of %d", re.Bytes(), re.Len(), re.First(), acked, re.Last(), len(all))
			}
			for seq := re.First(); seq <= re.Last(); seq++ {
				if val, ok, err := re.Read(seq); !ok || err != nil || val != all[seq-1] {
					t.Fatalf("item %d: %d, %v, %v", seq, val, ok, err)
				}
			}
			if _, _, err := re.Read(re.First() - 1); !errors.Is(err, frame.ErrDiscarded) {
				t.Fatalf("discarded item: %v", err)
			}
		}
	})
}

// TestBoundReplayAllocations bounds the allocations per item of a buffer that
// is in steady use. The slice is reused, so the average is below one.
func TestBoundReplayAllocations(t *testing.T) {
	re := frame.NewReplay[int](1<<20, 64)
	seq := uint64(0)
	got := testing.AllocsPerRun(10000, func() {
		seq, _ = re.Append(1, 16)
		re.Trim(seq)
	})
	if got > 0 {
		t.Errorf("%v allocations per item, want 0", got)
	}
}
