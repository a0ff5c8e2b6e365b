// Package httpsd implements the VM list port over Prometheus HTTP service
// discovery.
package httpsd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// List is a store.VMs. By the entity tag of the response, it transfers the list
// only after it has changed. It is safe for concurrent use.
type List struct {
	url      string
	maxBytes int64
	hc       *http.Client
	limiter  *rate.Limiter
	cache    *snap.Cell[cachedList]
}

// cachedList is the last list that was transferred. No request is sent before the
// time next.
type cachedList struct {
	tag  string
	vms  []store.VM
	next time.Time
}

var _ store.VMs = (*List)(nil)

// Option configures a List.
type Option func(*List)

// WithMaxBytes sets the maximum size of a response in bytes. The default is 4 MiB,
// enough for 10,000 VMs.
func WithMaxBytes(n int64) Option { return func(li *List) { li.maxBytes = n } }

// WithClient sets the HTTP client. The default is client.New().
func WithClient(hc *http.Client) Option { return func(li *List) { li.hc = hc } }

// WithRate limits the rate of transferred lists in bytes per second: List waits
// while more than burst bytes were read above the rate. The default is 12 KiB/s,
// half of a node's budget for control traffic, with a burst of 512 KiB, four lists
// of 980 VMs. Both are above 0.
func WithRate(bytesPerSecond float64, burst int) Option {
	return func(li *List) { li.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burst) }
}

// New returns the VM list at the URL.
func New(url string, opts ...Option) *List {
	li := &List{
		url: url, maxBytes: 4 << 20, limiter: rate.NewLimiter(12<<10, 512<<10),
		cache: snap.NewCell(cachedList{}),
	}
	for _, opt := range opts {
		opt(li)
	}
	if li.hc == nil {
		li.hc = client.New()
	}
	return li
}

// group is a group of targets with common labels.
type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// List returns the live and leaving VMs. The caller must not change the slice.
// Every target of a group becomes one entry; a group without the label vm, or
// with a state other than live and leaving, is an error.
func (li *List) List(ctx context.Context) ([]store.VM, error) {
	last := li.cache.Load()
	if err := waitUntil(ctx, last.next); err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", store.ErrUnavailable, err)
	}
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, li.url, nil)
	if err != nil {
		return nil, err
	}
	if last.tag != "" {
		re.Header.Set("If-None-Match", last.tag)
	}
	resp, _, err := client.Do(li.hc, re)
	if err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", store.ErrUnavailable, err)
	}
	data, err := client.ReadAll(resp.Body, li.maxBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", store.ErrUnavailable, err)
	}
	switch {
	case resp.StatusCode == http.StatusNotModified && last.tag != "":
		return last.vms, nil
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%w: VM list: status %d", store.ErrUnavailable, resp.StatusCode)
	}
	return li.storeList(data, resp.Header.Get("ETag"))
}

// storeList decodes a list and caches it. A list that cannot be decoded counts
// against the rate as well, and is requested again without an entity tag.
func (li *List) storeList(data []byte, tag string) ([]store.VM, error) {
	now := time.Now()
	cl := cachedList{next: now.Add(li.limiter.ReserveN(now, min(len(data), li.limiter.Burst())).DelayFrom(now))}
	var groups []group
	err := json.Unmarshal(data, &groups)
	if err == nil {
		cl.vms, err = vms(groups)
	}
	if err != nil {
		li.cache.Store(cachedList{next: cl.next})
		return nil, fmt.Errorf("VM list: %w", err)
	}
	cl.tag = tag
	li.cache.Store(cl)
	return cl.vms, nil
}

// waitUntil waits until the given time, or until ctx ends.
func waitUntil(ctx context.Context, until time.Time) error {
	left := time.Until(until)
	if left <= 0 {
		return nil
	}
	tm := time.NewTimer(left)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// vms returns the VMs in the groups.
func vms(groups []group) ([]store.VM, error) {
	var out []store.VM
	for _, gr := range groups {
		la := gr.Labels
		if la["vm"] == "" || (la["state"] != "live" && la["state"] != "leaving") {
			return nil, fmt.Errorf("targets %v have vm %q and state %q, want a vm and the state live or leaving", gr.Targets, la["vm"], la["state"])
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
