package routes_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/bench/routes"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

// arm is the default configuration.
var arm = routes.Arm{Policy: route.ExpectedFinish, Admission: true}

func scenario(t *testing.T, name string) routes.Scenario {
	t.Helper()
	for _, sc := range routes.Scenarios() {
		if sc.Name == name {
			return sc
		}
	}
	t.Fatalf("no scenario %q", name)
	return routes.Scenario{}
}

func run(t *testing.T, sc routes.Scenario, ar routes.Arm) routes.Result {
	t.Helper()
	re, err := routes.Run(sc, ar, 1)
	if err != nil {
		t.Fatal(err)
	}
	return re
}

// TestRunRepeats guards against runs that depend on anything but the seed, which
// would make figures incomparable.
func TestRunRepeats(t *testing.T) {
	sc := scenario(t, "retry storm")
	if diff := cmp.Diff(run(t, sc, arm), run(t, sc, arm)); diff != "" {
		t.Errorf("second run (-first +second):\n%s", diff)
	}
}

// TestReport guards against a report that leaves out an arm or cannot be drawn.
func TestReport(t *testing.T) {
	var results []routes.Result
	for _, ar := range routes.Arms() {
		results = append(results, routes.Result{Scenario: "planned load", Arm: ar, OnTime: [3]float64{1, 1, 1}})
	}
	table := routes.Table(results)
	for _, ar := range routes.Arms() {
		if !strings.Contains(table, ar.String()+"  ") {
			t.Errorf("%s is missing in\n%s", ar, table)
		}
	}
	for format, head := range map[string]string{"svg": "<?xml", "png": "\x89PNG"} {
		data, err := routes.Plot(results, format)
		if err != nil || !bytes.HasPrefix(data, []byte(head)) {
			t.Errorf("plot as %s: %d bytes, error %v", format, len(data), err)
		}
	}
	if _, err := routes.Plot(results, "unknown"); err == nil {
		t.Error("an unknown format was accepted")
	}
}
