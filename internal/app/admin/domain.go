package admin

import (
	"context"
	"fmt"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// SetDomainClosed closes a failure domain or opens it. The upstreams of a closed one get
// no new requests, and their requests in flight finish. A domain without upstreams can
// only be opened.
func (se *Service) SetDomainClosed(ctx context.Context, co ChangeOptions, id ident.Domain, closed bool) (ChangeResult, error) {
	return se.change(ctx, co, func(sn config.Snapshot) (config.Snapshot, error) {
		switch {
		case !closed:
			return sn.WithoutClosedDomain(id), nil
		case !sn.HasDomain(id):
			return sn, fmt.Errorf("%w: no upstream is in failure domain %s", ErrNotFound, id)
		default:
			return sn.WithClosedDomain(id), nil
		}
	})
}
