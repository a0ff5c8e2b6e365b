package httpsd_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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

// TestMalformed guards against an answer that is not a VM list and is read as
// an empty one, after which every VM would count as gone.
func TestMalformed(t *testing.T) {
	answers := map[string]string{
		"no JSON":       `<html>`,
		"no state":      `[{"targets":["127.0.0.1:1"],"labels":{"vm":"v1"}}]`,
		"unknown state": `[{"targets":["127.0.0.1:1"],"labels":{"vm":"v1","state":"x"}}]`,
		"too long":      `[` + strings.Repeat(" ", 100) + `]`,
	}
	for name, body := range answers {
		srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			_, _ = wr.Write([]byte(body))
		}))
		if got, err := httpsd.New(srv.URL, httpsd.WithMaxBytes(90)).List(t.Context()); err == nil {
			t.Errorf("%s: list %v, want an error", name, got)
		}
		srv.Close()
	}
}
