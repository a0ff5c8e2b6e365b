package router_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/balsamwood/balsamwood/internal/adapt/certs"
	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/bench/stack"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/fake/model"
	"github.com/balsamwood/balsamwood/internal/fake/trust"
)

// issueCertificate issues a certificate for the role and returns the settings and
// the TLS configurations that use it.
func issueCertificate(t *testing.T, au *trust.Authority, ro certs.Role) (conf.TLS, *certs.Credentials) {
	t.Helper()
	le, err := au.Leaf(ro)
	if err != nil {
		t.Fatal(err)
	}
	fi, err := au.Write(t.TempDir(), le)
	if err != nil {
		t.Fatal(err)
	}
	cr, err := certs.NewCredentials(fi.WithDefaults())
	if err != nil {
		t.Fatal(err)
	}
	return conf.TLS{FleetCA: fi.FleetCA, Cert: fi.Cert, Key: fi.Key}, cr
}

// accepted reports whether the server keeps the connection open. A server reports
// that it refuses a client's certificate only after the client's handshake.
func accepted(t *testing.T, addr string, tc *tls.Config) bool {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if tc == nil {
		_, _ = nc.Write(make([]byte, 64))
	} else {
		ts := tls.Client(nc, tc)
		if ts.Handshake() != nil {
			return false
		}
		nc = ts
	}
	_ = nc.SetReadDeadline(time.Now().Add(time.Second))
	_, err = nc.Read(make([]byte, 1<<10))
	ne, ok := err.(net.Error)
	return err == nil || ok && ne.Timeout()
}

func dialTLS(tc *tls.Config) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		return (&tls.Dialer{Config: tc}).DialContext(ctx, "tcp", addr)
	}
}

// TestTLS guards against links and callers that only work without TLS, and against
// peers that are accepted without a certificate for their role.
func TestTLS(t *testing.T) {
	au, err := trust.NewAuthority("fleet")
	if err != nil {
		t.Fatal(err)
	}
	routeTLS, router := issueCertificate(t, au, certs.Router)
	sideTLS, sidecar := issueCertificate(t, au, certs.Sidecar)
	st := stack.New(stack.WithTLS(sideTLS, routeTLS))
	t.Cleanup(st.Close)
	wrongRole := stack.New(stack.WithTLS(routeTLS, routeTLS))
	t.Cleanup(wrongRole.Close)
	url := st.Serve(model.New(model.WithResponseTokens(20, 20)))
	up := config.Upstream{ID: "e1", VM: "vm-e1", Kind: config.Engine, Domain: "d1", Models: []ident.Model{"m1"}}
	impostor, _, err := wrongRole.StartSidecar(up, url)
	if err != nil {
		t.Fatal(err)
	}
	if up, _, err = st.StartSidecar(up, url); err != nil {
		t.Fatal(err)
	}
	key := config.NewAPIKey()
	if err := st.ChangeConfig(func(sn config.Snapshot) config.Snapshot {
		return sn.WithUpstream(up).WithAccount(config.Account{
			ID: "a1", Keys: []config.KeyHash{config.HashAPIKey(key)}, Budgets: []ident.Budget{"b1"}, Preference: config.AvoidRefusal,
		})
	}); err != nil {
		t.Fatal(err)
	}
	if err := st.CreateBudget(ident.BudgetRef{Account: "a1", Budget: "b1"}, prepaid); err != nil {
		t.Fatal(err)
	}
	ro, _, err := st.StartRouter("vm-r1", "d1")
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(au.PEM())
	hc := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	until(t, "ready", func() bool {
		rs, err := hc.Get("https://" + ro.CallerAddr() + "/readyz")
		if err != nil {
			return false
		}
		_ = rs.Body.Close()
		return rs.StatusCode == http.StatusOK
	})
	cl := openai.NewClient(option.WithBaseURL("https://"+ro.CallerAddr()+"/v1"), option.WithAPIKey(key), option.WithHTTPClient(hc))
	co, err := cl.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model: "m1", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("wording?")},
	})
	if err != nil || co.Usage.CompletionTokens != 20 {
		t.Fatalf("response over TLS: %v", err)
	}
	incs, err := st.Ledger.Incarnations(t.Context())
	if err != nil || len(incs) != 1 || incs[0].Row.PeerAddress == "" {
		t.Fatalf("incarnations %v: %v", incs, err)
	}
	peer := incs[0].Row.PeerAddress
	for _, ca := range []struct {
		name, addr string
		tc         *tls.Config
		want       bool
	}{
		{"router to sidecar", up.Sidecar, router.ClientConfig(certs.Sidecar), true},
		{"sidecar to sidecar", up.Sidecar, sidecar.ClientConfig(certs.Sidecar), false},
		{"plain to sidecar", up.Sidecar, nil, false},
		{"sidecar with a router's certificate", impostor.Sidecar, router.ClientConfig(certs.Sidecar), false},
	} {
		if got := accepted(t, ca.addr, ca.tc); got != ca.want {
			t.Errorf("%s: accepted %v, want %v", ca.name, got, ca.want)
		}
	}
	for _, ca := range []struct {
		name string
		dial func(context.Context, string) (net.Conn, error)
		want bool
	}{
		{"router to router", dialTLS(router.ClientConfig(certs.Router)), true},
		{"sidecar to router", dialTLS(sidecar.ClientConfig(certs.Router)), false},
		{"plain to router", func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}, false},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := link.NewReleaser(ca.dial).Release(ctx, peer, incs[0].ID, ident.BudgetRef{Account: "a1", Budget: "b1"})
		cancel()
		if (err == nil) != ca.want {
			t.Errorf("%s: %v, want it accepted: %v", ca.name, err, ca.want)
		}
	}
	if rs, err := http.Get("http://" + ro.CallerAddr() + "/readyz"); err == nil {
		_ = rs.Body.Close()
		if rs.StatusCode == http.StatusOK {
			t.Error("a caller without TLS was served")
		}
	}
}
