package walk_test

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	page = "../../../docs/walkthrough.md"
	// limit bounds the commands of the page.
	limit = 80 * time.Second
)

var (
	block    = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")
	variable = regexp.MustCompile(`(?m)^: "\$\{([A-Z]+):=127\.0\.0\.1:\d+\}"`)
)

// TestWalkthrough guards against a page for new users whose commands do not
// work with the programs as they are.
func TestWalkthrough(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var script strings.Builder
	script.WriteString("set -eu -o pipefail\n")
	for _, ma := range block.FindAllStringSubmatch(string(text), -1) {
		script.WriteString(ma[1])
	}
	env := append(os.Environ(), "PATH="+build(t)+string(os.PathListSeparator)+os.Getenv("PATH"))
	names := variable.FindAllStringSubmatch(script.String(), -1)
	if len(names) != 5 {
		t.Fatalf("the page has %d variables of addresses, want 5", len(names))
	}
	for ix, addr := range free(t, len(names)) {
		env = append(env, names[ix][1]+"="+addr)
	}
	dir := t.TempDir()
	out, err := run(t, dir, env, script.String())
	if err != nil {
		t.Fatalf("%v\n%s%s", err, out, logs(dir))
	}
	for _, want := range []string{
		`"revision": 0`, "dry run on revision 0", "accepted as revision 3", "topped up (op invoice-1)",
		`"choices"`, "prepaid 100000 = ", "accepted revision 4", "revision 4 by first-operator",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
}

// build builds the programs and returns their directory.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	cm := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/balsamwood", "./cmd/balsamfake")
	cm.Dir = "../../.."
	if out, err := cm.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return dir
}

// free returns loopback addresses at which nothing listens.
func free(t *testing.T, count int) []string {
	t.Helper()
	var out []string
	for range count {
		ls, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ls.Close() }()
		out = append(out, ls.Addr().String())
	}
	return out
}

// run runs the script in a process group of its own, which is ended with the
// test. The output goes to a file, because a process in the background would
// keep a pipe open.
func run(t *testing.T, dir string, env []string, script string) (string, error) {
	t.Helper()
	file, err := os.Create(filepath.Join(dir, "output"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	cm := exec.CommandContext(ctx, "bash", "-c", script)
	cm.Dir, cm.Env, cm.Stdout, cm.Stderr = dir, env, file, file
	cm.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	end := func() error { return syscall.Kill(-cm.Process.Pid, syscall.SIGKILL) }
	cm.Cancel = end
	if err := cm.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = end() }()
	err = cm.Wait()
	out, readErr := os.ReadFile(file.Name())
	if readErr != nil {
		t.Fatal(readErr)
	}
	return string(out), err
}

// logs returns the logs that the page's commands wrote.
func logs(dir string) string {
	var sb strings.Builder
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, fi := range files {
		data, _ := os.ReadFile(fi)
		sb.WriteString("\n== " + filepath.Base(fi) + "\n" + string(data))
	}
	return sb.String()
}
