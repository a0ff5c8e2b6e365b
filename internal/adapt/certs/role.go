// Package certs builds the TLS configurations of the programs: TLS for callers
// and operators, and mutual TLS between routers and sidecars.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Role is a role of a process that a certificate of the fleet attests.
type Role string

const (
	// Router is the role of a router.
	Router Role = "router"
	// Sidecar is the role of a sidecar.
	Sidecar Role = "sidecar"
)

// roleURI is the prefix of a URI SAN that states a role.
const roleURI = "balsamwood://role/"

// errNoPeerCert means that the peer presented no certificate.
var errNoPeerCert = errors.New("certs: the peer presented no certificate")

// roles returns the roles in the certificate's organizational units and URI
// SANs.
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

// verify checks that the peer's certificate chains to the fleet's CA, permits
// the key usage and states the role.
func verify(st tls.ConnectionState, pool *x509.CertPool, usage x509.ExtKeyUsage, want Role) error {
	if len(st.PeerCertificates) == 0 {
		return errNoPeerCert
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
