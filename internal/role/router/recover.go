package router

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/netip"

	"github.com/balsamwood/balsamwood/internal/adapt/certs"
	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/app/fleet"
	"github.com/balsamwood/balsamwood/internal/app/recov"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// sidecars finds the sidecars at the open links.
type sidecars struct{ fl *fleet.Fleet }

// Connected returns the sidecars that are connected now.
func (si sidecars) Connected() []recov.Sidecar {
	var all []recov.Sidecar
	for _, ln := range si.fl.Links() {
		cl, ok := ln.(*link.Client)
		if !ok {
			continue
		}
		if vm, in, ok := cl.Peer(); ok {
			all = append(all, sidecar{cl: cl, vm: vm, in: in})
		}
	}
	return all
}

// sidecar is one incarnation of a connected sidecar.
type sidecar struct {
	cl *link.Client
	vm ident.VM
	in ident.Incarnation
}

// Incarnation returns the incarnation of the sidecar.
func (si sidecar) Incarnation() ident.Incarnation { return si.in }

// VM returns the VM of the sidecar.
func (si sidecar) VM() ident.VM { return si.vm }

// Close closes the router incarnation at this incarnation of the sidecar and
// returns what it used there.
func (si sidecar) Close(ctx context.Context, router ident.Incarnation) (escrow.ClosureRow, error) {
	used, err := si.cl.CloseIncarnationAt(ctx, si.in, router)
	if err != nil {
		return escrow.ClosureRow{}, err
	}
	var cr escrow.ClosureRow
	for _, us := range used {
		cr.Used = append(cr.Used, escrow.Use{Account: us.Budget.Account, Budget: us.Budget.Budget, Tokens: us.Tokens})
	}
	return cr, nil
}

// prober requests the health check of other routers.
type prober struct {
	hc     *http.Client
	scheme string
}

func newProber(cr *certs.Credentials) prober {
	if cr == nil {
		return prober{hc: client.New(client.WithoutKeepAlives()), scheme: "http"}
	}
	return prober{hc: client.New(client.WithoutKeepAlives()), scheme: "https"}
}

// Responds reports whether a process responds at the address. A certificate that
// this router does not trust counts as a response too.
func (pr prober) Responds(ctx context.Context, address string) bool {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, pr.scheme+"://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	rs, err := pr.hc.Do(rq)
	if err == nil {
		_ = rs.Body.Close()
		return true
	}
	var ce *tls.CertificateVerificationError
	return errors.As(err, &ce)
}

// advertisedAddress returns the address at which other routers reach this one. It
// is empty if this router listens on every address of the VM.
func (ro *Router) advertisedAddress() string {
	ap, err := netip.ParseAddrPort(ro.CallerAddr())
	if err != nil || ap.Addr().IsUnspecified() {
		return ""
	}
	return ap.String()
}
