package store

import (
	"context"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// VM is an entry in the platform's list of VMs. The list lags behind the actual
// state.
type VM struct {
	ID      ident.VM
	Address string
	Domain  ident.Domain
	// Role is "router", "engine" or "service".
	Role    string
	Leaving bool
}

// VMs is the platform's list of live and leaving VMs.
type VMs interface {
	// List returns the current entries.
	List(ctx context.Context) ([]VM, error)
}
