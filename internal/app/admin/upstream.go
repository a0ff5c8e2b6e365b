package admin

import (
	"context"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// AddUpstream adds an upstream to the configuration.
func (se *Service) AddUpstream(ctx context.Context, co ChangeOptions, up config.Upstream) (ChangeResult, error) {
	return se.change(ctx, co, func(sn config.Snapshot) (config.Snapshot, error) {
		if _, ok := sn.Upstream(up.ID); ok {
			return sn, fmt.Errorf("%w: upstream %s", ErrExists, up.ID)
		}
		return sn.WithUpstream(up), nil
	})
}

// SetFencing sets whether an upstream itself checks fencing numbers and refuses
// superseded orders.
func (se *Service) SetFencing(ctx context.Context, co ChangeOptions, id ident.Upstream, checks bool) (ChangeResult, error) {
	return se.change(ctx, co, func(sn config.Snapshot) (config.Snapshot, error) {
		up, ok := sn.Upstream(id)
		if !ok {
			return sn, fmt.Errorf("%w: upstream %s", ErrNotFound, id)
		}
		up.ChecksFencing = checks
		return sn.WithUpstream(up), nil
	})
}

// RemoveUpstream removes an upstream. The upstream gets no new requests, and its
// requests in flight finish.
func (se *Service) RemoveUpstream(ctx context.Context, co ChangeOptions, id ident.Upstream) (ChangeResult, error) {
	return se.change(ctx, co, func(sn config.Snapshot) (config.Snapshot, error) {
		if _, ok := sn.Upstream(id); !ok {
			return sn, fmt.Errorf("%w: upstream %s", ErrNotFound, id)
		}
		return sn.WithoutUpstream(id), nil
	})
}

// PutService adds a plain service or replaces its routes.
func (se *Service) PutService(ctx context.Context, co ChangeOptions, sv config.Service) (ChangeResult, error) {
	return se.change(ctx, co, func(sn config.Snapshot) (config.Snapshot, error) { return sn.WithService(sv), nil })
}

// RemoveService removes a plain service that no upstream offers.
func (se *Service) RemoveService(ctx context.Context, co ChangeOptions, id ident.Service) (ChangeResult, error) {
	return se.change(ctx, co, func(sn config.Snapshot) (config.Snapshot, error) {
		if _, ok := sn.Service(id); !ok {
			return sn, fmt.Errorf("%w: service %s", ErrNotFound, id)
		}
		for _, up := range sn.Upstreams() {
			if up.Service == id {
				return sn, fmt.Errorf("%w: upstream %s offers service %s", ErrInUse, up.ID, id)
			}
		}
		return sn.WithoutService(id), nil
	})
}
