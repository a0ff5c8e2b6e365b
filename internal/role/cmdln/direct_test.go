package cmdln_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/opstor"
	"github.com/balsamwood/balsamwood/internal/role/cmdln"
)

// syncBuffer collects the output of a program. It is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (sb *syncBuffer) Write(data []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.Write(data)
}

func (sb *syncBuffer) await(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		sb.mu.Lock()
		found := strings.Contains(sb.buf.String(), text)
		sb.mu.Unlock()
		if found {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s is not in the output:\n%s", text, sb.buf.String())
		}
	}
}

// writeDirectSettings writes the settings file of a direct router that listens on
// free ports.
func writeDirectSettings(t *testing.T, path, store, seed string) {
	t.Helper()
	ports := make([]any, 4)
	for ix := range ports {
		ls, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ports[ix] = ls.Addr().String()
		_ = ls.Close()
	}
	text := fmt.Sprintf("vm: a\ndomain: d\nstore: %q\nlisten: %q\nmetricsListen: %q\npeerListen: %q\nready: {listen: %q, path: /r}\nseeds: [%q]\ndrain: 1s\n",
		append(append([]any{store}, ports...), seed)...)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestReload guards against a router that stops at SIGHUP, that does not apply the
// new settings, or that applies settings that cannot be used.
func TestReload(t *testing.T) {
	st := opstor.New()
	defer st.Close()
	path := filepath.Join(t.TempDir(), "direct.yaml")
	writeDirectSettings(t, path, st.Addr(), "10.0.0.1:1")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out, code := &syncBuffer{}, make(chan int, 1)
	go func() {
		code <- cmdln.Main(ctx, []string{"direct", "-s", path}, strings.NewReader(""), out, out)
	}()
	out.await(t, `"event":9301`)
	writeDirectSettings(t, path, st.Addr(), "10.0.0.2:2")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	out.await(t, "10.0.0.2:2")
	writeDirectSettings(t, path, st.Addr(), "nowhere")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	out.await(t, `"event":9310`)
	cancel()
	if got := <-code; got != 0 {
		t.Errorf("exit code %d, want 0", got)
	}
	out.await(t, `"event":9304`)
}
