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
	walkthroughPage = "../../../docs/walkthrough.md"
	// scriptTimeout bounds the run of all commands of the page.
	scriptTimeout = 80 * time.Second
)

var (
	shellBlock      = regexp.MustCompile("(?ms)^```sh\n(.*?)^```$")
	addressVariable = regexp.MustCompile(`(?m)^: "\$\{([A-Z]+):=127\.0\.0\.1:\d+\}"`)
)

// TestWalkthrough guards against a walkthrough page whose commands do not work with
// the current programs.
func TestWalkthrough(t *testing.T) {
	text, err := os.ReadFile(walkthroughPage)
	if err != nil {
		t.Fatal(err)
	}
	var script strings.Builder
	script.WriteString("set -eu -o pipefail\n")
	for _, ma := range shellBlock.FindAllStringSubmatch(string(text), -1) {
		script.WriteString(ma[1])
	}
	env := append(os.Environ(), "PATH="+buildPrograms(t)+string(os.PathListSeparator)+os.Getenv("PATH"))
	variables := addressVariable.FindAllStringSubmatch(script.String(), -1)
	if len(variables) != 5 {
		t.Fatalf("the page sets %d address variables, want 5", len(variables))
	}
	for ix, addr := range freeAddresses(t, len(variables)) {
		env = append(env, variables[ix][1]+"="+addr)
	}
	dir := t.TempDir()
	out, err := runScript(t, dir, env, script.String())
	if err != nil {
		t.Fatalf("%v\n%s%s", err, out, readLogs(dir))
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

// buildPrograms builds the programs and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	cm := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/balsamwood", "./cmd/balsamfake")
	cm.Dir = "../../.."
	if out, err := cm.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return dir
}

// freeAddresses returns loopback addresses at which nothing listens.
func freeAddresses(t *testing.T, count int) []string {
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

// runScript runs the script in a process group of its own, which is killed
// afterwards. The output goes to a file, because a process in the background would
// keep a pipe open.
func runScript(t *testing.T, dir string, env []string, script string) (string, error) {
	t.Helper()
	file, err := os.Create(filepath.Join(dir, "output"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), scriptTimeout)
	defer cancel()
	cm := exec.CommandContext(ctx, "bash", "-c", script)
	cm.Dir, cm.Env, cm.Stdout, cm.Stderr = dir, env, file, file
	cm.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	killGroup := func() error { return syscall.Kill(-cm.Process.Pid, syscall.SIGKILL) }
	cm.Cancel = killGroup
	if err := cm.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = killGroup() }()
	err = cm.Wait()
	out, readErr := os.ReadFile(file.Name())
	if readErr != nil {
		t.Fatal(readErr)
	}
	return string(out), err
}

// readLogs returns the logs that the commands of the page wrote.
func readLogs(dir string) string {
	var sb strings.Builder
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, fi := range files {
		data, _ := os.ReadFile(fi)
		sb.WriteString("\n== " + filepath.Base(fi) + "\n" + string(data))
	}
	return sb.String()
}
