package stats_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/logs"
	"github.com/balsamwood/balsamwood/internal/adapt/stats"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

var _ meter.Meter = (*stats.Meter)(nil)

func scrape(me *stats.Meter) string {
	re := httptest.NewRecorder()
	me.Handler().ServeHTTP(re, httptest.NewRequest("GET", "/metrics", nil))
	return re.Body.String()
}

func checkLines(t *testing.T, text string, lines ...string) {
	t.Helper()
	for _, li := range lines {
		if !strings.Contains(text, li+"\n") {
			t.Errorf("metrics lack the line %s", li)
		}
	}
}

// TestReasonSeriesExistAtStart guards against reasons whose series are missing
// from dashboards until the first refusal or retry.
func TestReasonSeriesExistAtStart(t *testing.T) {
	me := stats.NewMeter(logs.NewLogger(io.Discard))
	me.Count(stats.Refusals, stats.ReasonLabel, string(refuse.Busy), 2)
	if err := me.Close(); err != nil {
		t.Fatal(err)
	}
	text := scrape(me)
	checkLines(t, text, `refusals{reason="busy"} 2`, `retries{reason="busy"} 0`)
	for _, re := range refuse.All()[:3] {
		checkLines(t, text, fmt.Sprintf("refusals{reason=%q} 0", re), fmt.Sprintf("retries{reason=%q} 0", re))
	}
	if got := strings.Count(text, "\nrefusals{") + strings.Count(text, "\nretries{"); got != 2*len(refuse.All()) {
		t.Errorf("%d series for %d reasons", got, len(refuse.All()))
	}
}

// TestLabelValuesBounded guards against memory that grows with values that a
// caller chooses.
func TestLabelValuesBounded(t *testing.T) {
	me := stats.NewMeter(logs.NewLogger(io.Discard), stats.WithMaxLabelValues(10))
	for ix := range 1000 {
		me.Count("calls", "account", fmt.Sprint(ix), 1)
		me.Gauge("level", "account", fmt.Sprint(ix), 7)
		me.Observe("wait", "account", fmt.Sprint(ix), 50*time.Millisecond)
	}
	if err := me.Close(); err != nil {
		t.Fatal(err)
	}
	text := scrape(me)
	checkLines(t, text, `calls{account="other"} 990`, `level{account="other"} 7`, `wait_count{account="other"} 990`)
	if got := strings.Count(text, "\ncalls{"); got != 11 {
		t.Errorf("%d series, want 10 and other", got)
	}
}

// TestConcurrentCounts guards against counts that are lost while a new series
// is added.
func TestConcurrentCounts(t *testing.T) {
	me := stats.NewMeter(logs.NewLogger(io.Discard))
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for ix := range 400 {
				me.Count("calls", "n", fmt.Sprint(ix%20), 1)
			}
		})
	}
	wg.Wait()
	if err := me.Close(); err != nil {
		t.Fatal(err)
	}
	checkLines(t, scrape(me), `calls{n="0"} 160`, `calls{n="19"} 160`)
}

// TestLabelMismatchLogged guards against a program that panics because one metric
// name is used with different labels.
func TestLabelMismatchLogged(t *testing.T) {
	var buf bytes.Buffer
	me := stats.NewMeter(logs.NewLogger(&buf))
	me.Count("calls", "a", "1", 1)
	me.Count("calls", "b", "1", 1)
	if err := me.Close(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(buf.String(), `"event":9001`) {
		t.Errorf("log is %q", buf.String())
	}
}

// TestBoundCountAllocations guards against allocations by Count, which is on the
// path of each request.
func TestBoundCountAllocations(t *testing.T) {
	me := stats.NewMeter(logs.NewLogger(io.Discard))
	defer me.Close()
	got := testing.AllocsPerRun(1000, func() {
		me.Count(stats.Refusals, stats.ReasonLabel, string(refuse.Busy), 1)
	})
	if got > 0 {
		t.Errorf("%v allocations for a count, want 0", got)
	}
}
