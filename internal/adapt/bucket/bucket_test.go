package bucket_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/bucket"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// TestPutIfAbsent guards against an object that is overwritten, and against an
// object that is reported as not stored when only the response was lost.
func TestPutIfAbsent(t *testing.T) {
	cl := cloud.New()
	srv := httptest.NewServer(cl)
	defer srv.Close()
	bu := bucket.New(srv.URL, bucket.WithMaxBytes(8))
	steps := []struct {
		name, key, val string
		lose           int
		want           error
		stored         string
	}{
		{"new", "config/1 a", "one", 0, nil, "one"},
		{"exists", "config/1 a", "two", 0, store.ErrConflict, "one"},
		{"response lost", "config/2", "two", 1, store.ErrUncertain, "two"},
		{"too large", "config/3", "123456789", 0, store.ErrUnavailable, ""},
	}
	for _, st := range steps {
		cl.Faults().Set(fault.Setting{}.WithLoseNext(st.lose))
		if err := bu.PutIfAbsent(t.Context(), st.key, []byte(st.val)); !errors.Is(err, st.want) {
			t.Errorf("%s: PutIfAbsent = %v, want %v", st.name, err, st.want)
		}
		data, ok, err := bu.Get(t.Context(), st.key)
		if string(data) != st.stored || ok != (st.stored != "") || err != nil {
			t.Errorf("%s: Get = %q, %v, %v, want %q", st.name, data, ok, err, st.stored)
		}
	}
	srv.Close()
	if err := bu.PutIfAbsent(t.Context(), "config/4", nil); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("connection refused: PutIfAbsent = %v, want %v", err, store.ErrUnavailable)
	}
}
