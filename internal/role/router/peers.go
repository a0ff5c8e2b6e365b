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

// listenPeers opens the listener for other routers if one is set.
func (ro *Router) listenPeers() error {
	if ro.set.PeerListen == "" {
		return nil
	}
	ls, err := net.Listen("tcp", ro.set.PeerListen)
	if err != nil {
		return errs.Settings.Wrap(err, "peerListen")
	}
	if ro.certs != nil {
		ls = tls.NewListener(ls, ro.certs.Server(certs.Router))
	}
	ro.peers = ls
	return nil
}

// holderOptions makes the holder ask other routers only if they can ask it.
func (ro *Router) holderOptions() []budget.Option {
	opts := []budget.Option{budget.WithMeter(ro.met), budget.WithAddress(ro.reachable)}
	if ro.peers == nil {
		return opts
	}
	return append(opts, budget.WithPeerAddress(ro.peers.Addr().String()), budget.WithPeers(link.NewReleaser(ro.dialPeer)))
}

// dialPeer connects to another router.
func (ro *Router) dialPeer(ctx context.Context, addr string) (net.Conn, error) {
	nd := &net.Dialer{KeepAlive: tcpKeepAlive}
	if ro.certs == nil {
		return nd.DialContext(ctx, "tcp", addr)
	}
	td := &tls.Dialer{NetDialer: nd, Config: ro.certs.Client(certs.Router)}
	return td.DialContext(ctx, "tcp", addr)
}

// servePeers answers other routers until ctx ends.
func (ro *Router) servePeers(ctx context.Context) {
	if ro.peers != nil {
		_ = link.ServeReleases(ctx, ro.peers, ro.holder)
	}
}
