package conf_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
)

// FuzzSettings guards against a settings file that makes the decoder panic, against
// findings without a position, and against accepted values that are out of range.
func FuzzSettings(f *testing.F) {
	for _, name := range []string{"router.yaml", "sidecar.yaml"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "examples", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, seed := range []string{"", "a: &x [*x]", "- 1", "vm: [", "drain: -1s", "limits: {queue: 1e99}", "? {a: b}\n: c", "<<: {vm: a}"} {
		f.Add([]byte(seed))
	}
	path := filepath.Join(f.TempDir(), "settings.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		ro, err := conf.LoadRouter(path)
		checkFindings(t, err)
		if err == nil && (ro.VM == "" || ro.Limits.MaxRunning < 1 || ro.Limits.QueueCapacity < 0 || ro.Drain < 0) {
			t.Errorf("accepted router settings %+v", ro)
		}
		si, err := conf.LoadSidecar(path)
		checkFindings(t, err)
		if err == nil && (si.VM == "" || si.Upstream == "") {
			t.Errorf("accepted sidecar settings %+v", si)
		}
	})
}

func checkFindings(t *testing.T, err error) {
	var fs conf.Findings
	if err == nil {
		return
	}
	if !errors.As(err, &fs) || len(fs) == 0 {
		t.Errorf("%v is not a list of findings", err)
	}
	for _, fi := range fs {
		if fi.Line < 1 || fi.Column < 1 || fi.Text == "" {
			t.Errorf("finding without position or text: %+v", fi)
		}
	}
}
