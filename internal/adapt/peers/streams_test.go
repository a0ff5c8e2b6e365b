package peers_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/balsamwood/balsamwood/internal/adapt/peers"
	"github.com/balsamwood/balsamwood/internal/app/resume"
)

// TestStreamRecords guards against records of streams that are changed in transfer, and
// against a stream whose release is not known being taken for one without a release.
func TestStreamRecords(t *testing.T) {
	now := time.Now()
	want := resume.Stream{ID: "a", Service: "s", Release: "v1", Deadline: now.Add(5 * time.Second)}
	var added []resume.Stream
	var asked resume.Query
	sv := httptest.NewServer(peers.Handler(peers.LocalRouter{
		AddStreams: func(streams []resume.Stream) { added = streams },
		FindStream: func(qu resume.Query) (resume.Stream, bool) { asked = qu; return want, qu.ID == "a" },
	}))
	t.Cleanup(sv.Close)
	addr, cl := strings.TrimPrefix(sv.URL, "http://"), peers.NewClient(nil)
	if err := cl.SendStreams(t.Context(), addr, []resume.Stream{want}); err != nil {
		t.Fatal(err)
	}
	qu := resume.Query{ID: "a", Service: "s", Since: now.Add(-10 * time.Second)}
	found, ok, err := cl.FetchStream(t.Context(), addr, qu)
	if !ok || err != nil {
		t.Fatalf("known stream: %v, %v", ok, err)
	}
	got := []any{added, asked, found}
	if diff := cmp.Diff([]any{[]resume.Stream{want}, qu, want}, got, cmpopts.EquateApproxTime(2*time.Second)); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
	if st, ok, err := cl.FetchStream(t.Context(), addr, resume.Query{ID: "b", Since: now}); ok || err != nil {
		t.Errorf("unknown stream: %v, %v, %v", st, ok, err)
	}
}
