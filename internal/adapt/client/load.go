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

type load struct {
	Running         int          `json:"running"`
	Waiting         int          `json:"waiting"`
	Slots           int          `json:"slots"`
	QueuedTokens    ident.Tokens `json:"queuedTokens"`
	TokensPerSecond float64      `json:"tokensPerSecond"`
	Leaving         bool         `json:"leaving"`
}

// Load reads the load report of an upstream at the URL and dates it now.
func Load(ctx context.Context, hc *http.Client, url string, now time.Time) (engine.Load, error) {
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
	var lo load
	if err := json.Unmarshal(data, &lo); err != nil {
		return engine.Load{}, fmt.Errorf("load report: %w", err)
	}
	return engine.Load{
		At: now, Running: lo.Running, Waiting: lo.Waiting, Slots: lo.Slots,
		QueuedTokens: lo.QueuedTokens, TokensPerSecond: lo.TokensPerSecond, Leaving: lo.Leaving,
	}, nil
}
