// Package certs builds the TLS configurations of the programs: TLS towards
// callers and mutual TLS between routers, sidecars and operators.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Role is what a certificate of the fleet entitles its holder to speak as.
type Role string

const (
	// Router is the role of a router.
	Router Role = "router"
	// Sidecar is the role of a sidecar.
	Sidecar Role = "sidecar"
)

// roleURI is the URI SAN that states a role, followed by the role.
const roleURI = "balsamwood://role/"

// errNoPeer means that the peer showed no certificate.
var errNoPeer = errors.New("certs: the peer showed no certificate")

// roles returns the roles in the certificate's organizational units and URIs.
func roles(cert *x509.Certificate) []Role {
	var out []Role
	for _, ou := range cert.Subject.OrganizationalUnit {
		out = append(out, Role(ou))
	}
	for _, ur := range cert.URIs {
		if ro, ok := strings.CutPrefix(ur.String(), roleURI); ok {
			out = append(out, Role(ro))
		}
	}
	return out
}

// verify checks that the peer's certificate is signed by the fleet's CA for
// the given usage and states the role.
func verify(st tls.ConnectionState, pool *x509.CertPool, usage x509.ExtKeyUsage, want Role) error {
	if len(st.PeerCertificates) == 0 {
		return errNoPeer
	}
	leaf := st.PeerCertificates[0]
	inter := x509.NewCertPool()
	for _, ce := range st.PeerCertificates[1:] {
		inter.AddCert(ce)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: inter, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	if got := roles(leaf); !slices.Contains(got, want) {
		return fmt.Errorf("certs: the peer's certificate has roles %q, want %q", got, want)
	}
	return nil
}
