package progs_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/balsamwood/balsamwood/internal/fake/progs"
)

func parse(t *testing.T, args ...string) (*kong.Context, error) {
	t.Helper()
	ko, err := kong.New(&progs.Commands{}, kong.Exit(func(int) { t.Error("the parser exits") }))
	if err != nil {
		t.Fatal(err)
	}
	return ko.Parse(args)
}

// TestCommands guards against a command that does not print its address first,
// ignores its flags, or does not stop while a request without a response is in
// flight.
func TestCommands(t *testing.T) {
	vms := filepath.Join(t.TempDir(), "vms.json")
	if err := os.WriteFile(vms, []byte(`[{"vm":"v1","address":"127.0.0.1:1"}]`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct{ args, path, want string }{
		{"platform --vms " + vms, "/vms", `"vm":"v1"`},
		{"engine --slots 3 --token-time 100ms --no-fencing", "/load", `"slots":3,"queuedTokens":0,"tokensPerSecond":30`},
		{"service --slots 5", "/load", `"slots":5`},
	}
	for _, tt := range tests {
		kc, err := parse(t, strings.Fields(tt.args+" --listen 127.0.0.1:0 --grace 0s")...)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		rd, wr := io.Pipe()
		kc.BindTo(ctx, (*context.Context)(nil))
		kc.BindTo(wr, (*io.Writer)(nil))
		ended := make(chan error, 1)
		go func() { ended <- kc.Run() }()
		addr, err := bufio.NewReader(rd).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		base := "http://" + strings.TrimSpace(addr)
		resp, err := http.Get(base + tt.path)
		if err != nil {
			t.Fatal(err)
		}
		if data, err := io.ReadAll(resp.Body); !strings.Contains(string(data), tt.want) || err != nil {
			t.Errorf("%s: %s, %v, want %s", tt.args, data, err, tt.want)
		}
		if _, err := http.Post(base+"/control/faults", "application/json", strings.NewReader(`{"silent":true}`)); err != nil {
			t.Fatal(err)
		}
		aborted := make(chan error, 1)
		go func() {
			_, err := http.Get(base + tt.path)
			aborted <- err
		}()
		stop()
		if err := <-ended; err != nil {
			t.Errorf("%s: Run = %v", tt.args, err)
		}
		if err := <-aborted; err == nil {
			t.Errorf("%s: the silent request has a response", tt.args)
		}
	}
}

// TestInvalid guards against an invalid command or flag that is accepted, so that
// the stand-in fails only later.
func TestInvalid(t *testing.T) {
	for _, args := range []string{"engine --slots 0", "engine --max-answer 1", "platform --page 0", "service --slots 0",
		"platform --vms /dev/null/x", "engine --slots many", "other"} {
		kc, err := parse(t, strings.Fields(args)...)
		if err == nil {
			kc.BindTo(t.Context(), (*context.Context)(nil))
			kc.BindTo(io.Discard, (*io.Writer)(nil))
			err = kc.Run()
		}
		if err == nil {
			t.Errorf("%s: no error", args)
		}
	}
}

// TestHelp guards against a command or flag without help.
func TestHelp(t *testing.T) {
	ko, err := kong.New(&progs.Commands{})
	if err != nil {
		t.Fatal(err)
	}
	if err := kong.Visit(ko.Model, func(no kong.Visitable, next kong.Next) error {
		switch it := no.(type) {
		case *kong.Command:
			if it.Help == "" {
				t.Errorf("command %s has no help", it.Name)
			}
		case *kong.Flag:
			if it.Help == "" {
				t.Errorf("flag --%s has no help", it.Name)
			}
		}
		return next(nil)
	}); err != nil {
		t.Fatal(err)
	}
}
