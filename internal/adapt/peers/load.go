package peers

import (
	"context"
	"net/http"
	"time"
)

// loadTimeout is the timeout of a call for the load of a router. The link of the router
// that calls is congested.
const loadTimeout = time.Second

// Load says whether a router has capacity for requests of others.
type Load struct {
	Congested     bool `json:"congested"`
	OutOfRotation bool `json:"outOfRotation"`
	// OutMs is how much longer the router stays out of the rotation, or zero if it is not
	// known.
	OutMs int64 `json:"outMs,omitempty"`
}

// FetchLoad requests the load of the router at addr.
func (cl *Client) FetchLoad(ctx context.Context, addr string) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+loadPath, nil)
	if err != nil {
		return Load{}, err
	}
	var lo Load
	return lo, call(cl.loads, re, maxMessageBytes, &lo)
}
