// Package link implements the peer port between routers and sidecars with
// protobuf messages over yamux streams.
package link

import (
	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// protocolVersion is sent in Hello. Peers with another version are rejected.
const protocolVersion = 1

// Identity identifies the local process to its peers.
type Identity struct {
	VM          ident.VM
	Incarnation ident.Incarnation
	Domain      ident.Domain
	Upstream    ident.Upstream
}

func (id Identity) hello(re ident.Revision) *wire.Hello {
	return &wire.Hello{
		Protocol:    protocolVersion,
		Vm:          string(id.VM),
		Incarnation: string(id.Incarnation),
		Domain:      string(id.Domain),
		Upstream:    string(id.Upstream),
		Revision:    uint64(re),
	}
}
