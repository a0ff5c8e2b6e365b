package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/balsamwood/balsamwood/internal/core/snap"
)

// Files holds the paths of the PEM files of one process. CallerCert and
// CallerKey default to Cert and Key.
type Files struct {
	FleetCA    string
	Cert       string
	Key        string
	CallerCert string
	CallerKey  string
}

// WithDefaults returns a copy in which CallerCert and CallerKey are set.
func (fi Files) WithDefaults() Files {
	if fi.CallerCert == "" {
		fi.CallerCert, fi.CallerKey = fi.Cert, fi.Key
	}
	return fi
}

// material holds the certificates and keys that the files contain. It is
// immutable.
type material struct {
	raw    []byte
	pool   *x509.CertPool
	fleet  tls.Certificate
	caller tls.Certificate
}

// Credentials holds the certificates and keys of one process. After a reload, the
// configurations that it has returned use the new content of the files.
type Credentials struct {
	files Files
	cell  *snap.Cell[material]
}

// NewCredentials returns the certificates and keys in the files.
func NewCredentials(fi Files) (*Credentials, error) {
	fi = fi.WithDefaults()
	ma, err := load(fi)
	if err != nil {
		return nil, err
	}
	return &Credentials{files: fi, cell: snap.NewCell(ma)}, nil
}

// Reload reads the files again and reports whether they have changed. After an
// error the previous content stays in use, because a certificate and its key
// are not replaced at the same time.
func (cr *Credentials) Reload() (bool, error) {
	ma, err := load(cr.files)
	if err != nil {
		return false, err
	}
	if bytes.Equal(ma.raw, cr.cell.Load().raw) {
		return false, nil
	}
	cr.cell.Store(ma)
	return true, nil
}

// CallerServerConfig returns the configuration of a server that callers connect
// to.
func (cr *Credentials) CallerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			ce := cr.cell.Load().caller
			return &ce, nil
		},
	}
}

// ServerConfig returns the configuration of a server that accepts only peers with
// the given role.
func (cr *Credentials) ServerConfig(peer Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain, so that a reloaded CA takes
		// effect; it also runs for resumed sessions.
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			ce := cr.cell.Load().fleet
			return &ce, nil
		},
		VerifyConnection: func(st tls.ConnectionState) error {
			return verify(st, cr.cell.Load().pool, x509.ExtKeyUsageClientAuth, peer)
		},
	}
}

// ClientConfig returns the configuration of a client that accepts only servers
// with the given role.
func (cr *Credentials) ClientConfig(peer Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The standard verification compares the host name. VMs are replaced at
		// any time and addressed by IP address, so the fleet's certificates name
		// a role and no host. VerifyConnection verifies the chain and the role.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			ce := cr.cell.Load().fleet
			return &ce, nil
		},
		VerifyConnection: func(st tls.ConnectionState) error {
			return verify(st, cr.cell.Load().pool, x509.ExtKeyUsageServerAuth, peer)
		},
	}
}

func load(fi Files) (material, error) {
	var ma material
	var parts [5][]byte
	for ix, path := range []string{fi.FleetCA, fi.Cert, fi.Key, fi.CallerCert, fi.CallerKey} {
		data, err := os.ReadFile(path)
		if err != nil {
			return ma, fmt.Errorf("certs: %w", err)
		}
		parts[ix] = data
	}
	ma.raw = bytes.Join(parts[:], []byte{0})
	ma.pool = x509.NewCertPool()
	if !ma.pool.AppendCertsFromPEM(parts[0]) {
		return ma, fmt.Errorf("certs: %s: no PEM certificate found", fi.FleetCA)
	}
	var err error
	if ma.fleet, err = tls.X509KeyPair(parts[1], parts[2]); err != nil {
		return ma, fmt.Errorf("certs: %s, %s: %w", fi.Cert, fi.Key, err)
	}
	if ma.caller, err = tls.X509KeyPair(parts[3], parts[4]); err != nil {
		return ma, fmt.Errorf("certs: %s, %s: %w", fi.CallerCert, fi.CallerKey, err)
	}
	return ma, nil
}
