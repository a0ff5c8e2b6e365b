package client

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// Unsent returns the refusal for a request that never reached the server.
func Unsent(err error) *refuse.Refusal {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return refuse.New(refuse.DeadlinePassed, "the upstream was not called: %v", err)
	case errors.Is(err, context.Canceled):
		return refuse.New(refuse.Cancelled, "the upstream was not called: %v", err)
	default:
		return refuse.New(refuse.Busy, "no connection to the upstream: %v", err)
	}
}

// NoResponse returns the refusal for a request that may have reached the server
// and whose response did not arrive.
func NoResponse(err error) *refuse.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return refuse.New(refuse.TimedOut, "no response from the upstream: %v", err)
	}
	return refuse.New(refuse.UpstreamFailed, "no response from the upstream: %v", err)
}

// RetryAt returns the time that the Retry-After header gives in seconds after
// now, or the zero time.
func RetryAt(resp *http.Response, now time.Time) time.Time {
	secs, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || secs < 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(secs) * time.Second)
}
