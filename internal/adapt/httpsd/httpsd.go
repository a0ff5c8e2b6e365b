// Package httpsd implements the VM list port over Prometheus HTTP service
// discovery.
package httpsd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// List is a store.VMs.
type List struct {
	url   string
	limit int64
	hc    *http.Client
}

var _ store.VMs = (*List)(nil)

// Option configures a List.
type Option func(*List)

// WithMaxBytes sets the largest answer in bytes. The default is 4 MiB, enough
// for 10,000 VMs.
func WithMaxBytes(n int64) Option { return func(li *List) { li.limit = n } }

// WithClient sets the HTTP client. The default is client.New().
func WithClient(hc *http.Client) Option { return func(li *List) { li.hc = hc } }

// New returns the VM list at the URL.
func New(url string, opts ...Option) *List {
	li := &List{url: url, limit: 4 << 20}
	for _, opt := range opts {
		opt(li)
	}
	if li.hc == nil {
		li.hc = client.New()
	}
	return li
}

type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// List returns the live and leaving VMs. Every target of a group becomes one
// entry; a group without the label vm is an error.
func (li *List) List(ctx context.Context) ([]store.VM, error) {
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, li.url, nil)
	if err != nil {
		return nil, err
	}
	resp, _, err := client.Do(li.hc, re)
	if err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", store.ErrUnavailable, err)
	}
	data, err := client.ReadAll(resp.Body, li.limit)
	if err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", store.ErrUnavailable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: VM list: status %d", store.ErrUnavailable, resp.StatusCode)
	}
	var groups []group
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	return vms(groups)
}

func vms(groups []group) ([]store.VM, error) {
	var out []store.VM
	for _, gr := range groups {
		la := gr.Labels
		if la["vm"] == "" || (la["state"] != "live" && la["state"] != "leaving") {
			return nil, fmt.Errorf("VM list: entry %v has vm %q and state %q", gr.Targets, la["vm"], la["state"])
		}
		for _, addr := range gr.Targets {
			out = append(out, store.VM{
				ID: ident.VM(la["vm"]), Address: addr, Domain: ident.Domain(la["domain"]),
				Role: la["role"], Leaving: la["state"] == "leaving",
			})
		}
	}
	return out, nil
}
