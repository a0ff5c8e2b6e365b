package routes_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/bench/routes"
	"github.com/balsamwood/balsamwood/internal/core/route"
)

// defaultArm is the default configuration of the router.
var defaultArm = routes.Arm{Policy: route.ExpectedFinish, Admission: true}

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

// TestRunRepeats guards against results that depend on anything but the seed. Such
// results could not be compared.
func TestRunRepeats(t *testing.T) {
	sc := scenario(t, "retry storm")
	if diff := cmp.Diff(run(t, sc, defaultArm), run(t, sc, defaultArm)); diff != "" {
		t.Errorf("second run (-first +second):\n%s", diff)
	}
}

// TestReport guards against a table that omits an arm and a plot that cannot be
// rendered.
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
