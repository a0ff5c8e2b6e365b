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

const examples = "../../../docs/examples/"

// TestExamples guards against documented settings that can no longer be loaded.
func TestExamples(t *testing.T) {
	ro, err := conf.LoadRouter(examples + "router.yaml")
	if err != nil {
		t.Fatal(err)
	}
	si, err := conf.LoadSidecar(examples + "sidecar.yaml")
	if err != nil {
		t.Fatal(err)
	}
	got := []any{ro.VM, ro.Limits.MaxBodyBytes, ro.Drain, len(ro.AdminKeys), si.Limits.ReplayFor}
	want := []any{ro.VM, int64(786432), 30 * time.Second, 1, time.Minute}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

const faultySettings = `vm: a
domian: fd-1
region: north
region: south
listen: localhost:80
adminListen: 10.0.0.1:1
metricsListen: 10.0.0.1:2
platform: {table: "http://10.0.0.1:1", objects: "ftp://10.0.0.1", vms: "http://10.0.0.1"}
tls: {}
limits:
  queue: many
  maxBody: 3
drain: 30
log: {level: inof}
adminKeys:
  - {operator: o, role: admin, keyHash: abc}
`

// TestFindingsTogether guards against errors of a file that are reported one at a
// time or without a position.
func TestFindingsTogether(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.yaml")
	if err := os.WriteFile(path, []byte(faultySettings), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := conf.LoadRouter(path)
	var fs conf.Findings
	if !errors.As(err, &fs) {
		t.Fatalf("error is %v, want Findings", err)
	}
	type row struct {
		Line, Column int
		Path, Text   string
	}
	var got []row
	for _, fi := range fs {
		got = append(got, row{fi.Line, fi.Column, fi.Path, fi.Text})
	}
	want := []row{
		{1, 1, "domain", "missing key"},
		{2, 1, "domian", `unknown key (did you mean "domain"?)`},
		{4, 1, "region", "duplicate key"},
		{5, 9, "listen", `want ip:port, got "localhost:80"`},
		{8, 49, "platform.objects", `want http(s)://ip:port, got "ftp://10.0.0.1"`},
		{9, 6, "tls.fleetCA", "missing key; TLS is on unless tls.disabled is true"},
		{9, 6, "tls.cert", "missing key; TLS is on unless tls.disabled is true"},
		{9, 6, "tls.key", "missing key; TLS is on unless tls.disabled is true"},
		{11, 10, "limits.queue", `want an integer, got "many"`},
		{12, 12, "limits.maxBody", "3 is below the minimum 1024"},
		{13, 8, "drain", `want a duration such as 2s, got "30"`},
		{14, 14, "log.level", `want one of debug, info, warn, error, got "inof" (did you mean "info"?)`},
		{16, 41, "adminKeys[0].keyHash", "want a SHA-256 with 64 hexadecimal digits"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}

// TestTLSRequired guards against a fleet that runs without TLS because a key of the
// settings is missing.
func TestTLSRequired(t *testing.T) {
	base := "vm: a\ndomain: d\nregion: r\nlisten: 10.0.0.1:1\nadminListen: 10.0.0.1:2\nmetricsListen: 10.0.0.1:3\n" +
		"platform: {table: \"http://10.0.0.1\", objects: \"http://10.0.0.1\", vms: \"http://10.0.0.1\"}\n"
	for _, tc := range []struct {
		name, add string
		ok        bool
	}{
		{"absent", "", false},
		{"empty", "tls:\n", false},
		{"explicitly disabled", "tls: {disabled: true}\n", true},
		{"files", "tls: {fleetCA: a, cert: b, key: c}\n", true},
		{"caller certificate without key", "tls: {fleetCA: a, cert: b, key: c, callerCert: d}\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "r.yaml")
			if err := os.WriteFile(path, []byte(base+tc.add), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := conf.LoadRouter(path); (err == nil) != tc.ok {
				t.Errorf("error = %v, want ok %v", err, tc.ok)
			}
		})
	}
}
