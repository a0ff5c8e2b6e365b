package frame_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/balsamwood/balsamwood/internal/core/frame"
	"github.com/google/go-cmp/cmp"
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
			re := frame.NewReplayBuffer[int](10, 3)
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

// TestReplayModel compares random operations with the expected contents. It guards
// against items that are lost, repeated or renumbered by compaction.
func TestReplayModel(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		re := frame.NewReplayBuffer[int](64, 8)
		last, acked := 0, uint64(0)
		for range 200 {
			switch rnd.IntN(4) {
			case 0, 1:
				if seq, err := re.Append(last, rnd.IntN(21)); err == nil {
					if last++; seq != uint64(last) {
						t.Fatalf("seed %d: number %d for item %d", seed, seq, last)
					}
				}
			case 2:
				acked = max(acked, uint64(rnd.IntN(last+1)))
				re.Ack(acked)
			case 3:
				if re.Trim(acked); acked > 0 && re.First() <= acked {
					t.Fatalf("seed %d: item %d is in the buffer after Trim(%d)", seed, re.First(), acked)
				}
			}
			if re.Bytes() > 64 || re.Len() > 8 || re.First() > acked+1 || re.Last() != uint64(last) {
				t.Fatalf("seed %d: bytes %d, items %d, first %d, acknowledged %d, last %d of %d", seed, re.Bytes(), re.Len(), re.First(), acked, re.Last(), last)
			}
			for seq := re.First(); seq <= re.Last(); seq++ {
				if val, ok, err := re.Read(seq); !ok || err != nil || val != int(seq-1) {
					t.Fatalf("seed %d: item %d: %d, %v, %v", seed, seq, val, ok, err)
				}
			}
			if _, _, err := re.Read(re.First() - 1); !errors.Is(err, frame.ErrDiscarded) {
				t.Fatalf("seed %d: discarded item: %v", seed, err)
			}
		}
	}
}

// TestBoundReplayAllocations guards against an allocation for each item of a buffer
// in steady use. The slice is reused, so the average is below one.
func TestBoundReplayAllocations(t *testing.T) {
	re := frame.NewReplayBuffer[int](1<<20, 64)
	seq := uint64(0)
	got := testing.AllocsPerRun(10000, func() {
		seq, _ = re.Append(1, 16)
		re.Trim(seq)
	})
	if got > 0 {
		t.Errorf("%v allocations per item, want 0", got)
	}
}
