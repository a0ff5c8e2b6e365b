package certs_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/certs"
	"github.com/balsamwood/balsamwood/internal/fake/trust"
)

func authority(t *testing.T) *trust.Authority {
	t.Helper()
	au, err := trust.NewAuthority("fleet")
	if err != nil {
		t.Fatal(err)
	}
	return au
}

func fleet(t *testing.T, au *trust.Authority, issue func(certs.Role) (trust.Leaf, error), role certs.Role) *certs.Fleet {
	t.Helper()
	le, err := issue(role)
	if err != nil {
		t.Fatal(err)
	}
	fi, err := au.Write(t.TempDir(), le)
	if err != nil {
		t.Fatal(err)
	}
	fl, err := certs.NewFleet(fi)
	if err != nil {
		t.Fatal(err)
	}
	return fl
}

// shake runs a handshake and one byte in each direction, because a TLS 1.3
// client learns of a refused certificate only when it reads.
func shake(client, server *tls.Config) (clientErr, serverErr error) {
	le, ri := net.Pipe()
	defer le.Close()
	done := make(chan error, 1)
	go func() {
		defer ri.Close()
		co := tls.Server(ri, server)
		_, err := co.Write([]byte{1})
		done <- err
	}()
	co := tls.Client(le, client)
	_, clientErr = co.Read(make([]byte, 1))
	le.Close()
	return clientErr, <-done
}

// TestPeers guards against an unauthenticated peer that speaks as a router and
// against a router that talks to a process of another role or fleet.
func TestPeers(t *testing.T) {
	au, other := authority(t), authority(t)
	side := fleet(t, au, au.Leaf, certs.Sidecar)
	router := fleet(t, au, au.Leaf, certs.Router)
	foreign := fleet(t, other, other.Leaf, certs.Router)
	for _, tc := range []struct {
		name           string
		client, server *tls.Config
		ok             bool
	}{
		{"router to sidecar", router.Client(certs.Sidecar), side.Server(certs.Router), true},
		{"role in URI", fleet(t, au, au.LeafURI, certs.Router).Client(certs.Sidecar), side.Server(certs.Router), true},
		{"sidecar as router", side.Client(certs.Sidecar), side.Server(certs.Router), false},
		{"no role", fleet(t, au, au.Leaf, "").Client(certs.Sidecar), side.Server(certs.Router), false},
		{"other fleet", foreign.Client(certs.Sidecar), side.Server(certs.Router), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, side.Server(certs.Router), false},
		{"server of another role", router.Client(certs.Sidecar), router.Server(certs.Router), false},
		{"server of another fleet", router.Client(certs.Router), foreign.Server(certs.Router), false},
		{"TLS 1.2", &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}, side.CallerServer(), false},
		{"caller", &tls.Config{RootCAs: pool(au), ServerName: "127.0.0.1"}, side.CallerServer(), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clientErr, serverErr := shake(tc.client, tc.server)
			if ok := clientErr == nil && serverErr == nil; ok != tc.ok {
				t.Errorf("client: %v, server: %v, want ok %v", clientErr, serverErr, tc.ok)
			}
		})
	}
}

func pool(au *trust.Authority) *x509.CertPool {
	po := x509.NewCertPool()
	po.AppendCertsFromPEM(au.PEM())
	return po
}

// TestReload guards against certificates that need a restart to be renewed, and
// against a half-written pair that takes the process off the fleet.
func TestReload(t *testing.T) {
	au := authority(t)
	dir := t.TempDir()
	issue := func() trust.Leaf {
		le, err := au.Leaf(certs.Router)
		if err != nil {
			t.Fatal(err)
		}
		return le
	}
	fi, err := au.Write(dir, issue())
	if err != nil {
		t.Fatal(err)
	}
	fl, err := certs.NewFleet(fi)
	if err != nil {
		t.Fatal(err)
	}
	config := fl.CallerServer()
	first, _ := config.GetCertificate(nil)
	if changed, err := fl.Reload(); changed || err != nil {
		t.Errorf("reload of the same files: %v, %v", changed, err)
	}
	next := issue()
	if err := os.WriteFile(fi.Cert, next.Cert, 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := fl.Reload(); changed || err == nil {
		t.Errorf("reload of a certificate without its key: %v, %v", changed, err)
	}
	if err := os.WriteFile(fi.Key, next.Key, 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := fl.Reload(); !changed || err != nil {
		t.Errorf("reload of the new pair: %v, %v", changed, err)
	}
	second, _ := config.GetCertificate(nil)
	if string(first.Certificate[0]) == string(second.Certificate[0]) {
		t.Error("the earlier certificate is still in use")
	}
}
