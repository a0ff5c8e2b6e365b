package logs_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/logs"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// TestRecordCarriesNumber guards against records that cannot be found in the
// catalogue of events.
func TestRecordCarriesNumber(t *testing.T) {
	var buf bytes.Buffer
	lo := logs.NewLogger(&buf, logs.WithSettings("info", "json"), logs.WithAttrs(slog.String("vm", "a")))
	ev := meter.Event{Number: 9999, Level: slog.LevelWarn, Text: "something happened"}
	lo.Log(ev, slog.Int("revision", 3))
	lo.Log(meter.Event{Number: 9998, Level: slog.LevelDebug, Text: "hidden"})
	var got map[string]any
	if err := json.Unmarshal(buf.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	delete(got, "time")
	want := map[string]any{
		"level": "WARN", "msg": "something happened", "event": 9999.0, "revision": 3.0, "vm": "a",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("record (-want +got):\n%s", diff)
	}
}

// TestTextFormat guards against a format setting that has no effect.
func TestTextFormat(t *testing.T) {
	var buf bytes.Buffer
	logs.NewLogger(&buf, logs.WithSettings("debug", "text")).
		Log(meter.Event{Number: 9997, Level: slog.LevelDebug, Text: "shown"})
	if got := buf.String(); !strings.Contains(got, "event=9997") || strings.HasPrefix(got, "{") {
		t.Errorf("got %q", got)
	}
}
