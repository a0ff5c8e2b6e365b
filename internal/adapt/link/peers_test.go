package link_test

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/certs"
	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/fake/trust"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

func newCredentials(t *testing.T, au *trust.Authority, role certs.Role) *certs.Credentials {
	le, err := au.Leaf(role)
	if err != nil {
		t.Fatal(err)
	}
	fi, err := au.Write(t.TempDir(), le)
	if err != nil {
		t.Fatal(err)
	}
	cr, err := certs.NewCredentials(fi)
	if err != nil {
		t.Fatal(err)
	}
	return cr
}

func newAuthority(t *testing.T) *trust.Authority {
	au, err := trust.NewAuthority("fleet")
	if err != nil {
		t.Fatal(err)
	}
	return au
}

// testUntrustedPeers guards against a peer that is accepted as a router without
// a router certificate of the fleet.
func testUntrustedPeers(t *testing.T) {
	au, other := newAuthority(t), newAuthority(t)
	server := newCredentials(t, au, certs.Sidecar).ServerConfig(certs.Router)
	for name, tc := range map[string]struct {
		config  *tls.Config
		trusted bool
	}{
		"router":                  {newCredentials(t, au, certs.Router).ClientConfig(certs.Sidecar), true},
		"sidecar as router":       {newCredentials(t, au, certs.Sidecar).ClientConfig(certs.Sidecar), false},
		"router of another fleet": {newCredentials(t, other, certs.Router).ClientConfig(certs.Sidecar), false},
		"without certificate":     {&tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}, false},
		"without TLS":             {nil, false},
	} {
		sc := respondWith(peer.Event{Kind: peer.Accepted}, peer.Event{Kind: peer.Final})
		nw := newNetwork()
		ctx, stop := context.WithCancel(t.Context())
		sv := link.NewServer(link.Identity{Incarnation: "s1", Upstream: "u1"}, sc, nopControl{})
		go func() { _ = sv.Serve(ctx, tls.NewListener(nw.listen(), server)) }()
		cl := link.NewClient(link.Identity{Incarnation: "r1"}, func(ctx context.Context) (net.Conn, error) {
			nc, err := nw.dial(ctx)
			if err != nil || tc.config == nil {
				return nc, err
			}
			return tls.Client(nc, tc.config), nil
		})
		done := make(chan struct{})
		go func() { defer close(done); cl.Run(ctx) }()
		time.Sleep(3 * time.Second)
		if cl.Connected() != tc.trusted {
			t.Errorf("%s: connected %v, want %v", name, cl.Connected(), tc.trusted)
		}
		if st, err := cl.Open(ctx, dispatch("q", time.Minute)); err == nil {
			var re reading
			re.read(ctx, st)
			st.Close()
		}
		want := 0
		if tc.trusted {
			want = 1
		}
		if opens, _ := sc.counts(); opens != want {
			t.Errorf("%s: %d dispatches reached the sidecar, want %d", name, opens, want)
		}
		stop()
		<-done
		nw.closeAll()
	}
}
