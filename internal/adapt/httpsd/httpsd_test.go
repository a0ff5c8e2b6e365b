package httpsd_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/httpsd"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// TestList guards against a leaving VM that is read as a live one.
func TestList(t *testing.T) {
	cl := cloud.New()
	cl.SetVMs(cloud.VM{ID: "v1", Address: "127.0.0.1:1", Domain: "d1", Role: "engine"},
		cloud.VM{ID: "v2", Address: "127.0.0.1:2", Domain: "d2", Role: "router", Leaving: true})
	srv := httptest.NewServer(cl)
	defer srv.Close()
	got, err := httpsd.New(srv.URL + "/vms").List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	want := []store.VM{
		{ID: "v1", Address: "127.0.0.1:1", Domain: "d1", Role: "engine"},
		{ID: "v2", Address: "127.0.0.1:2", Domain: "d2", Role: "router", Leaving: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}
}

// TestMalformed guards against a response that is not a VM list and is read as an
// empty one, after which every VM would be treated as removed.
func TestMalformed(t *testing.T) {
	responses := map[string]string{
		"not JSON":      `<html>`,
		"no state":      `[{"targets":["127.0.0.1:1"],"labels":{"vm":"v1"}}]`,
		"unknown state": `[{"targets":["127.0.0.1:1"],"labels":{"vm":"v1","state":"x"}}]`,
		"too large":     `[` + strings.Repeat(" ", 100) + `]`,
	}
	for name, body := range responses {
		srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			_, _ = wr.Write([]byte(body))
		}))
		if got, err := httpsd.New(srv.URL, httpsd.WithMaxBytes(90)).List(t.Context()); err == nil {
			t.Errorf("%s: list %v, want an error", name, got)
		}
		srv.Close()
	}
}

// TestUnchanged guards against a list that is transferred again although it has not
// changed, and against a change that is not read.
func TestUnchanged(t *testing.T) {
	cl := cloud.New()
	vm := cloud.VM{ID: "v1", Address: "127.0.0.1:1", Domain: "d1", Role: "engine"}
	cl.SetVMs(vm)
	srv := httptest.NewServer(cl)
	defer srv.Close()
	li := httpsd.New(srv.URL + "/vms")
	for step := range 20 {
		if step == 10 {
			vm.Leaving = true
			cl.SetVMs(vm)
		}
		got, err := li.List(t.Context())
		if err != nil || len(got) != 1 || got[0].Leaving != (step >= 10) {
			t.Fatalf("step %d: list %v, error %v", step, got, err)
		}
	}
	if co := cl.Counts(); co.VMReads != 20 || co.VMLists != 2 {
		t.Errorf("%d reads with %d transferred lists, want 20 with 2", co.VMReads, co.VMLists)
	}
}

// changingList is a transport that returns a different list of 128 KiB for every
// request.
type changingList struct{ reads int }

func (ch *changingList) RoundTrip(*http.Request) (*http.Response, error) {
	ch.reads++
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Etag": {fmt.Sprintf("%q", fmt.Sprint(ch.reads))}},
		Body: io.NopCloser(strings.NewReader("[" + strings.Repeat(" ", 128<<10-2) + "]")),
	}, nil
}

// TestRateLimit guards against a list that changes continuously and uses up the
// node's budget for control traffic of 24 KB/s.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ch := &changingList{}
		li := httpsd.New("http://127.0.0.1/vms", httpsd.WithClient(&http.Client{Transport: ch}))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		for ctx.Err() == nil {
			_, _ = li.List(ctx)
		}
		if rate := ch.reads * 128 << 10 / 600; ch.reads < 40 || rate > 14_000 {
			t.Errorf("%d lists in 10 minutes, %d B/s, want at least 40 and at most 14,000 B/s", ch.reads, rate)
		}
	})
}
