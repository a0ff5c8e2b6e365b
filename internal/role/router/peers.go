package router

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/balsamwood/balsamwood/internal/adapt/certs"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/app/budget"
)

// listenPeers opens the listener for other routers if an address is configured.
func (ro *Router) listenPeers() error {
	if ro.settings.PeerListen == "" {
		return nil
	}
	ls, err := net.Listen("tcp", ro.settings.PeerListen)
	if err != nil {
		return errs.Settings.Wrap(err, "peerListen")
	}
	if ro.certs != nil {
		ls = tls.NewListener(ls, ro.certs.ServerConfig(certs.Router))
	}
	ro.peerListener = ls
	return nil
}

// holderOptions returns the options of the escrow holder. It requests escrow from
// other routers only if it can receive such requests itself.
func (ro *Router) holderOptions() []budget.Option {
	opts := []budget.Option{budget.WithMeter(ro.met), budget.WithAddress(ro.advertisedAddress)}
	if ro.peerListener == nil {
		return opts
	}
	return append(opts, budget.WithPeerAddress(ro.peerListener.Addr().String()), budget.WithPeers(link.NewReleaser(ro.dialPeer)))
}

// dialPeer connects to another router.
func (ro *Router) dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	nd := &net.Dialer{KeepAlive: tcpKeepAlive}
	if ro.certs == nil {
		return nd.DialContext(ctx, "tcp", addr)
	}
	td := &tls.Dialer{NetDialer: nd, Config: ro.certs.ClientConfig(certs.Router)}
	return td.DialContext(ctx, "tcp", addr)
}

// servePeers serves requests of other routers for unused escrow until ctx ends.
func (ro *Router) servePeers(ctx context.Context) {
	if ro.peerListener != nil {
		_ = link.ServeReleases(ctx, ro.peerListener, ro.holder)
	}
}
