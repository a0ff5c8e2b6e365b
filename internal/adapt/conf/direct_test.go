package conf_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
)

const validDirectRouter = `vm: "edge-1"
domain: north
listen: "10.0.0.1:1"
store: "10.0.0.9:1"
metricsListen: "10.0.0.1:2"
peerListen: "10.0.0.1:3"
seeds: ["10.0.0.2:3"]
ready: {listen: "10.0.0.1:4", path: /api/readiness}
retries: {ratio: 0.2, slack: 116}
drain: 8s
`

// TestDirectRouter guards against settings that are decoded wrongly, and against
// findings that are reported one at a time.
func TestDirectRouter(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{"valid", validDirectRouter, nil},
		{"invalid", "vm: a\ndomain: d\nlisten: x\nstore: \"10.0.0.9:1\"\nmetricsListen: \"10.0.0.1:2\"\npeerListen: \"10.0.0.1:3\"\n" +
			"ready: {listen: \"10.0.0.1:4\"}\nweight: heavy\nretries: {ratio: 3}\n",
			[]string{"listen", "ready.path", "weight", "retries.ratio"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "direct.yaml")
			if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			dr, err := conf.LoadDirectRouter(path)
			var fs conf.Findings
			_ = errors.As(err, &fs)
			var got []string
			for _, fi := range fs {
				got = append(got, fi.Path)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
			if err == nil && (dr.Drain != 8*time.Second || dr.RetryBudget.Reserve != 116 || dr.Seeds[0] != "10.0.0.2:3") {
				t.Errorf("settings are %+v", dr)
			}
		})
	}
}
