package reach_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/core/reach"
)

// call returns a call that was sent and ended so many milliseconds after the start.
func call(sent, ended int, re reach.Result) reach.Call {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	return reach.Call{Sent: at(sent), Ended: at(ended), Result: re}
}

func cut(ca reach.Call) reach.Call       { ca.Cut = true; return ca }
func congested(ca reach.Call) reach.Call { ca.Congested = true; return ca }

// TestDown guards against a table that counts as down because of one slow call, the
// deadline of a caller or the own link, and against an outage that is not noticed.
func TestDown(t *testing.T) {
	quick := call(0, 4, reach.Responded)
	for _, tc := range []struct {
		name  string
		calls []reach.Call
		want  bool
	}{
		{"refused connection", []reach.Call{quick, call(10, 11, reach.Rejected)}, true},
		{"refused connection while the link is congested", []reach.Call{quick, congested(call(10, 11, reach.Rejected))}, true},
		{"no response", []reach.Call{quick, call(10, 500, reach.Silent)}, true},
		{"no response while the link is congested", []reach.Call{quick, congested(call(10, 2500, reach.Silent))}, false},
		{"timed-out read while the link is congested", []reach.Call{quick, congested(call(10, 250, reach.Rejected))}, false},
		{"lost response", []reach.Call{quick, call(10, 14, reach.Silent)}, false},
		{"lost responses for a second", []reach.Call{quick, call(10, 14, reach.Silent), call(600, 604, reach.Silent), call(1010, 1014, reach.Silent)}, true},
		{"short deadline", []reach.Call{quick, cut(call(10, 110, reach.Rejected))}, false},
		{"short deadlines for seconds", []reach.Call{quick, cut(call(10, 110, reach.Rejected)), cut(call(2000, 2100, reach.Silent))}, false},
		{"long deadline", []reach.Call{quick, cut(call(10, 900, reach.Rejected))}, true},
		{"deadline of a slow table", []reach.Call{call(0, 300, reach.Responded), cut(call(300, 900, reach.Rejected))}, false},
		{"slow call beside a response", []reach.Call{call(20, 24, reach.Responded), call(10, 900, reach.Silent)}, false},
		{"response after an outage", []reach.Call{quick, call(10, 11, reach.Rejected), call(20, 24, reach.Responded)}, false},
		{"throttled", []reach.Call{quick, call(10, 900, reach.Throttled)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ta reach.Table
			for _, ca := range tc.calls {
				ta = ta.WithCall(ca)
			}
			if diff := cmp.Diff(tc.want, ta.Down()); diff != "" {
				t.Errorf("down (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUsual guards against a usual response time that does not follow the table.
func TestUsual(t *testing.T) {
	ta := reach.Table{}.WithCall(call(0, 4, reach.Responded)).WithCall(call(0, 300, reach.Responded))
	if ta.Usual() != 300*time.Millisecond {
		t.Errorf("usual time %v after a slow response", ta.Usual())
	}
	for range 20 {
		ta = ta.WithCall(call(0, 4, reach.Responded))
	}
	if ta.Usual() > 10*time.Millisecond {
		t.Errorf("usual time %v after 20 quick responses", ta.Usual())
	}
}
