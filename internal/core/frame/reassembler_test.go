package frame_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/balsamwood/balsamwood/internal/core/frame"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/google/go-cmp/cmp"
)

// TestReassemblerReorder guards against a response that is assembled in the
// wrong order from late, repeated or reordered frames.
func TestReassemblerReorder(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		const count = 40
		ra := frame.NewReassembler[uint64]("r", 1, count)
		var want, got []uint64
		var sent []uint64
		for seq := uint64(1); seq <= count; seq++ {
			want = append(want, seq)
			sent = append(sent, seq, uint64(rnd.IntN(count)+1))
		}
		rnd.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
		for _, seq := range sent {
			if _, err := ra.Put("r", 1, seq, seq); err != nil && !errors.Is(err, frame.ErrAfterEnd) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			for val, _, ok := ra.Take(); ok; val, _, ok = ra.Take() {
				got = append(got, val)
			}
			if rnd.IntN(4) == 0 {
				if err := ra.SetFinalCount("r", 1, count); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

// TestReassemblerRefuses guards against accepting frames of another response,
// skipping gaps, and treating a truncated response as complete.
func TestReassemblerRefuses(t *testing.T) {
	type testFrame struct {
		request string
		attempt uint32
		seq     uint64
	}
	cases := map[string]struct {
		frames     []testFrame
		finalCount int64
		put        error
		end        error
		close      error
	}{
		"complete":                  {frames: []testFrame{{"r", 1, 1}, {"r", 1, 2}}, finalCount: 2},
		"empty":                     {finalCount: 0},
		"other request":             {frames: []testFrame{{"q", 1, 1}}, finalCount: -1, put: frame.ErrWrongAttempt, close: frame.ErrTruncated},
		"other attempt":             {frames: []testFrame{{"r", 2, 1}}, finalCount: -1, put: frame.ErrWrongAttempt, close: frame.ErrTruncated},
		"no final count":            {frames: []testFrame{{"r", 1, 1}}, finalCount: -1, close: frame.ErrTruncated},
		"last missing":              {frames: []testFrame{{"r", 1, 1}}, finalCount: 2, close: frame.ErrTruncated},
		"middle missing":            {frames: []testFrame{{"r", 1, 1}, {"r", 1, 3}}, finalCount: 3, close: frame.ErrTruncated},
		"more than the final count": {frames: []testFrame{{"r", 1, 1}, {"r", 1, 2}}, finalCount: 1, end: frame.ErrTruncated, close: frame.ErrTruncated},
		"beyond window":             {frames: []testFrame{{"r", 1, 9}}, finalCount: -1, put: frame.ErrGap, close: frame.ErrTruncated},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ra := frame.NewReassembler[int]("r", 1, 8)
			var put, end error
			for _, fr := range tc.frames {
				_, err := ra.Put(ident.Request(fr.request), fr.attempt, fr.seq, 0)
				put = errors.Join(put, err)
				ra.Take()
			}
			if tc.finalCount >= 0 {
				end = ra.SetFinalCount("r", 1, uint64(tc.finalCount))
			}
			for _, it := range []struct{ got, want error }{{put, tc.put}, {end, tc.end}, {ra.Close(), tc.close}} {
				if !errors.Is(it.got, it.want) {
					t.Errorf("got %v, want %v", it.got, it.want)
				}
			}
		})
	}
	ra := frame.NewReassembler[int]("r", 1, 8)
	_ = ra.SetFinalCount("r", 1, 0)
	if _, err := ra.Put("r", 1, 1, 0); !errors.Is(err, frame.ErrAfterEnd) {
		t.Errorf("frame after the end: %v", err)
	}
}
