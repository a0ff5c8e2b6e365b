package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// maxLoadBytes bounds a load report, which has six short members.
const maxLoadBytes = 64 << 10

type loadReport struct {
	Running         int          `json:"running"`
	Waiting         int          `json:"waiting"`
	Slots           int          `json:"slots"`
	QueuedTokens    ident.Tokens `json:"queuedTokens"`
	TokensPerSecond float64      `json:"tokensPerSecond"`
	Leaving         bool         `json:"leaving"`
}

// FetchLoad fetches the load report of an upstream from the URL. now becomes the
// time of the report.
func FetchLoad(ctx context.Context, hc *http.Client, url string, now time.Time) (engine.Load, error) {
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return engine.Load{}, err
	}
	resp, _, err := Do(hc, re)
	if err != nil {
		return engine.Load{}, fmt.Errorf("load report: %w", err)
	}
	data, err := ReadAll(resp.Body, maxLoadBytes)
	if err != nil {
		return engine.Load{}, fmt.Errorf("load report: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return engine.Load{}, fmt.Errorf("load report: status %d", resp.StatusCode)
	}
	var lr loadReport
	if err := json.Unmarshal(data, &lr); err != nil {
		return engine.Load{}, fmt.Errorf("load report: %w", err)
	}
	return engine.Load{
		At: now, Running: lr.Running, Waiting: lr.Waiting, Slots: lr.Slots,
		QueuedTokens: lr.QueuedTokens, TokensPerSecond: lr.TokensPerSecond, Leaving: lr.Leaving,
	}, nil
}
