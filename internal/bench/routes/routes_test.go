package routes_test

import (
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/routes"
)

func TestTrial(t *testing.T) {
	st := time.Now()
	res, err := routes.RunAll(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", routes.Table(res))
	for _, re := range res {
		t.Logf("%s %s: %s", re.Scenario, re.Arm, routes.Reasons(re))
	}
	t.Log(time.Since(st))
}
