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

func newAuthority(t *testing.T) *trust.Authority {
	t.Helper()
	au, err := trust.NewAuthority("fleet")
	if err != nil {
		t.Fatal(err)
	}
	return au
}

func newCredentials(t *testing.T, au *trust.Authority, issue func(certs.Role) (trust.Leaf, error), role certs.Role) *certs.Credentials {
	t.Helper()
	le, err := issue(role)
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

// handshake runs a TLS handshake and transfers one byte from the server to the
// client, because a TLS 1.3 client learns only from a read that its certificate
// was rejected.
func handshake(client, server *tls.Config) (clientErr, serverErr error) {
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	done := make(chan error, 1)
	go func() {
		defer serverConn.Close()
		co := tls.Server(serverConn, server)
		_, err := co.Write([]byte{1})
		done <- err
	}()
	co := tls.Client(clientConn, client)
	_, clientErr = co.Read(make([]byte, 1))
	clientConn.Close()
	return clientErr, <-done
}

// TestPeers guards against a peer that is accepted as a router without
// authentication, and against a router that accepts a process of another role or
// fleet.
func TestPeers(t *testing.T) {
	au, other := newAuthority(t), newAuthority(t)
	sidecar := newCredentials(t, au, au.Leaf, certs.Sidecar)
	router := newCredentials(t, au, au.Leaf, certs.Router)
	otherRouter := newCredentials(t, other, other.Leaf, certs.Router)
	for _, tc := range []struct {
		name           string
		client, server *tls.Config
		ok             bool
	}{
		{"router to sidecar", router.ClientConfig(certs.Sidecar), sidecar.ServerConfig(certs.Router), true},
		{"role in URI", newCredentials(t, au, au.LeafURI, certs.Router).ClientConfig(certs.Sidecar), sidecar.ServerConfig(certs.Router), true},
		{"sidecar as router", sidecar.ClientConfig(certs.Sidecar), sidecar.ServerConfig(certs.Router), false},
		{"no role", newCredentials(t, au, au.Leaf, "").ClientConfig(certs.Sidecar), sidecar.ServerConfig(certs.Router), false},
		{"other fleet", otherRouter.ClientConfig(certs.Sidecar), sidecar.ServerConfig(certs.Router), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, sidecar.ServerConfig(certs.Router), false},
		{"server of another role", router.ClientConfig(certs.Sidecar), router.ServerConfig(certs.Router), false},
		{"server of another fleet", router.ClientConfig(certs.Router), otherRouter.ServerConfig(certs.Router), false},
		{"TLS 1.2", &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}, sidecar.CallerServerConfig(), false},
		{"caller", &tls.Config{RootCAs: newCertPool(au), ServerName: "127.0.0.1"}, sidecar.CallerServerConfig(), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clientErr, serverErr := handshake(tc.client, tc.server)
			if ok := clientErr == nil && serverErr == nil; ok != tc.ok {
				t.Errorf("client: %v, server: %v, want ok %v", clientErr, serverErr, tc.ok)
			}
		})
	}
}

func newCertPool(au *trust.Authority) *x509.CertPool {
	po := x509.NewCertPool()
	po.AppendCertsFromPEM(au.PEM())
	return po
}

// TestReload guards against certificates whose renewal needs a restart, and
// against a half-replaced pair of files that disconnects the process from the
// fleet.
func TestReload(t *testing.T) {
	au := newAuthority(t)
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
	cr, err := certs.NewCredentials(fi)
	if err != nil {
		t.Fatal(err)
	}
	config := cr.CallerServerConfig()
	first, _ := config.GetCertificate(nil)
	if changed, err := cr.Reload(); changed || err != nil {
		t.Errorf("reload of the same files: %v, %v", changed, err)
	}
	next := issue()
	if err := os.WriteFile(fi.Cert, next.Cert, 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := cr.Reload(); changed || err == nil {
		t.Errorf("reload of a certificate without its key: %v, %v", changed, err)
	}
	if err := os.WriteFile(fi.Key, next.Key, 0o600); err != nil {
		t.Fatal(err)
	}
	if changed, err := cr.Reload(); !changed || err != nil {
		t.Errorf("reload of the new pair: %v, %v", changed, err)
	}
	second, _ := config.GetCertificate(nil)
	if string(first.Certificate[0]) == string(second.Certificate[0]) {
		t.Error("the earlier certificate is still in use")
	}
}
