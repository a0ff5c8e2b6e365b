// Package rejoin_test takes up streams at routers that run as processes.
package rejoin_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/bench/faults"
	"github.com/balsamwood/balsamwood/internal/bench/procs"
	"github.com/balsamwood/balsamwood/internal/fake/opstor"
	"github.com/balsamwood/balsamwood/internal/fake/origin"
)

const (
	host, path, key = "desk.example", "/draft/", "key"
	// streams is the number of streams that are begun and taken up.
	streams = 8
	// events is the length of a stream, and gap the pause after each event.
	events, gap = 1000, 20 * time.Millisecond
	timeout     = 30 * time.Second
)

// fleet is two routers as processes with their stand-ins.
type fleet struct {
	t        *testing.T
	bin, dir string
	store    *opstor.Store
	addrs    [2]procs.RouterAddrs
	routers  [2]*procs.Proc
}

// newFleet starts the routers before two upstreams, whose names are their releases.
func newFleet(t *testing.T, releases ...string) *fleet {
	t.Helper()
	fl := &fleet{t: t, bin: t.TempDir(), dir: t.TempDir(), store: opstor.New()}
	t.Cleanup(fl.store.Close)
	if err := faults.Build(t.Context(), fl.bin); err != nil {
		t.Fatal(err)
	}
	fl.register(releases...)
	fl.store.Configure(1, opstor.Config{
		Host: host, Routes: []opstor.Route{{Prefix: path, Kind: "stream", Service: "llm", Resumable: true}}, Engines: []string{"llm"},
		EventTokens: 1, Accounts: []opstor.Account{{Name: "desk", Key: key, Prepaid: 10_000_000}},
	})
	for no := range fl.addrs {
		var err error
		if fl.addrs[no], err = procs.FreeRouterAddrs(); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(fl.kill)
	fl.start()
	return fl
}

// register starts upstreams, one of each release, and writes their entries.
func (fl *fleet) register(releases ...string) {
	fl.t.Helper()
	for _, release := range releases {
		or, err := origin.New(release, events, gap)
		if err != nil {
			fl.t.Fatal(err)
		}
		fl.t.Cleanup(or.Close)
		fl.store.RegisterRelease(release, "llm", or.Addr(), release)
	}
}

// start starts both routers and waits until they know each other.
func (fl *fleet) start() {
	fl.t.Helper()
	ctx, cancel := context.WithTimeout(fl.t.Context(), timeout)
	defer cancel()
	for no := range fl.routers {
		var err error
		fl.routers[no], err = procs.StartRouter(ctx, fl.bin, fl.dir, procs.RouterSettings{
			VM: fmt.Sprint("vm", no), Store: fl.store.Addr(), Addrs: fl.addrs[no], MemoryMB: 256, MaxFDs: 1000,
		})
		if err != nil {
			fl.t.Fatal(err)
		}
	}
	for _, pr := range fl.routers {
		if _, err := pr.WaitLine(ctx, func(line string) bool {
			return strings.Contains(line, `"event":5131`) && strings.Contains(line, `"routers":2`)
		}); err != nil {
			fl.t.Fatal(err)
		}
	}
}

// kill kills both routers.
func (fl *fleet) kill() {
	for no := range fl.routers {
		fl.killOne(no)
	}
}

func (fl *fleet) killOne(no int) {
	if fl.routers[no] != nil {
		fl.routers[no].Kill()
	}
}

// send sends a request for a stream to a router, which goes on after an earlier one if
// that is named, and returns the response once its first event has arrived.
func (fl *fleet) send(no int, id, resumes string) *http.Response {
	fl.t.Helper()
	re, err := http.NewRequestWithContext(fl.t.Context(), http.MethodPost, "http://"+fl.addrs[no].Callers+path, strings.NewReader("body"))
	if err != nil {
		fl.t.Fatal(err)
	}
	re.Host = host
	for name, value := range map[string]string{"Attempt-Id": id, "Authorization": "Bearer " + key, "Deadline-Ms": "5000", "Token-Counts": "10,2000", "Prompt-Prefix": "aa:5,bb:5"} {
		re.Header.Set(name, value)
	}
	if resumes != "" {
		re.Header.Set("Resumes", resumes)
		re.Header.Set("Last-Event-Id", "0")
	}
	resp, err := http.DefaultClient.Do(re)
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.t.Cleanup(func() { _ = resp.Body.Close() })
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil && resp.StatusCode == http.StatusOK {
		fl.t.Fatal(err)
	}
	return resp
}

// begin begins streams at the first router and returns their upstreams.
func (fl *fleet) begin() []string {
	fl.t.Helper()
	var out []string
	for no := range streams {
		resp := fl.send(0, fmt.Sprint("stream", no), "")
		out = append(out, resp.Header.Get("Server-Stamp"))
	}
	return out
}

// takeUp takes the streams up at the second router, by requests whose ids begin with the
// prefix, and returns their upstreams, or the status of a refusal.
func (fl *fleet) takeUp(prefix string) []string {
	fl.t.Helper()
	var out []string
	for no := range streams {
		resp := fl.send(1, fmt.Sprint(prefix, no), fmt.Sprint("stream", no))
		if resp.StatusCode != http.StatusOK {
			out = append(out, fmt.Sprint(resp.StatusCode))
			continue
		}
		out = append(out, resp.Header.Get("Server-Stamp"))
	}
	return out
}

// awaitRecords waits until the first router has sent the records of the streams.
func (fl *fleet) awaitRecords() {
	fl.t.Helper()
	ctx, cancel := context.WithTimeout(fl.t.Context(), timeout)
	defer cancel()
	want := fmt.Sprintf(`streamRecords{result="sent"} %d`, streams)
	for {
		re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fl.addrs[0].Metrics+"/metrics", nil)
		if err != nil {
			fl.t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(re)
		if err != nil {
			fl.t.Fatal(err)
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if strings.Contains(string(data), want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRouterKilled guards against a stream that goes on at another software release, or is
// refused, after the router that served it was killed.
func TestRouterKilled(t *testing.T) {
	fl := newFleet(t, "v1", "v2")
	began := fl.begin()
	fl.awaitRecords()
	fl.killOne(0)
	for _, prefix := range []string{"first", "second"} {
		if diff := cmp.Diff(began, fl.takeUp(prefix)); diff != "" {
			t.Errorf("upstreams, taken up for the %s time (-want +got):\n%s", prefix, diff)
		}
	}
}

// TestAllRoutersKilled guards against a stream that goes on at the release that is in
// service after all routers were killed, while the one that began it has left, and against
// streams that began after the start and are refused.
func TestAllRoutersKilled(t *testing.T) {
	fl := newFleet(t, "v1")
	fl.begin()
	fl.kill()
	fl.store.Remove("servers", "v1")
	fl.register("v2")
	fl.start()
	var refused []string
	for range streams {
		refused = append(refused, "503")
	}
	if diff := cmp.Diff(refused, fl.takeUp("first")); diff != "" {
		t.Errorf("streams from before (-want +got):\n%s", diff)
	}
	began := fl.begin()
	fl.awaitRecords()
	if diff := cmp.Diff(began, fl.takeUp("second")); diff != "" {
		t.Errorf("streams after the start (-want +got):\n%s", diff)
	}
}
