// Package trust creates certificate authorities and issues certificates for tests
// and the demo.
package trust

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/certs"
)

// validity is the time from now until a certificate expires. Certificates are
// valid from one hour before now.
const validity = 48 * time.Hour

// Leaf is a leaf certificate with its private key, both in PEM form.
type Leaf struct {
	Cert []byte
	Key  []byte
}

// Authority is a certificate authority in memory.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	te := template(name)
	te.IsCA, te.BasicConstraintsValid = true, true
	te.KeyUsage = x509.KeyUsageCertSign
	te.ExtKeyUsage = nil
	der, err := x509.CreateCertificate(rand.Reader, te, te, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, pem: pemBlock("CERTIFICATE", der)}, nil
}

// PEM returns the certificate of the authority in PEM form.
func (au *Authority) PEM() []byte { return au.pem }

// Leaf issues a certificate that states the role in its organizational unit.
func (au *Authority) Leaf(role certs.Role) (Leaf, error) {
	te := template(string(role))
	te.Subject.OrganizationalUnit = []string{string(role)}
	return au.issue(te)
}

// LeafURI issues a certificate that states the role in a URI subject alternative
// name.
func (au *Authority) LeafURI(role certs.Role) (Leaf, error) {
	te := template("peer")
	te.URIs = []*url.URL{{Scheme: "balsamwood", Host: "role", Path: "/" + string(role)}}
	return au.issue(te)
}

// Write writes the certificate of the authority and the leaf to files in dir and
// returns their paths.
func (au *Authority) Write(dir string, le Leaf) (certs.Files, error) {
	fi := certs.Files{
		FleetCA: filepath.Join(dir, "ca.pem"),
		Cert:    filepath.Join(dir, "cert.pem"),
		Key:     filepath.Join(dir, "key.pem"),
	}
	for _, it := range []struct {
		path string
		data []byte
	}{{fi.FleetCA, au.pem}, {fi.Cert, le.Cert}, {fi.Key, le.Key}} {
		if err := os.WriteFile(it.path, it.data, 0o600); err != nil {
			return fi, err
		}
	}
	return fi, nil
}

func (au *Authority) issue(te *x509.Certificate) (Leaf, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Leaf{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, te, au.cert, key.Public(), au.key)
	if err != nil {
		return Leaf{}, err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Leaf{}, fmt.Errorf("trust: encode private key: %w", err)
	}
	return Leaf{Cert: pemBlock("CERTIFICATE", der), Key: pemBlock("PRIVATE KEY", raw)}, nil
}

// template returns a certificate template for servers and clients on loopback.
func template(name string) *x509.Certificate {
	now := time.Now()
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
	}
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
