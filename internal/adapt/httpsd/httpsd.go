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

// List is a store.VMs. It reads the list again only after it has changed, by the
// entity tag of the answer. It is safe for concurrent use.
type List struct {
	url   string
	limit int64
	hc    *http.Client
	pace  *rate.Limiter
	last  *snap.Cell[answer]
}

// answer is the last whole list. No request is sent before next.
type answer struct {
	tag  string
	vms  []store.VM
	next time.Time
}

var _ store.VMs = (*List)(nil)

// Option configures a List.
type Option func(*List)

// WithMaxBytes sets the largest answer in bytes. The default is 4 MiB, enough
// for 10,000 VMs.
func WithMaxBytes(n int64) Option { return func(li *List) { li.limit = n } }

// WithClient sets the HTTP client. The default is client.New().
func WithClient(hc *http.Client) Option { return func(li *List) { li.hc = hc } }

// WithRate bounds the bytes of whole lists: List waits while more than burst
// bytes were read above the rate. The default is 12 KiB/s, half of a node's
// control budget, with a burst of 512 KiB, four lists of 980 VMs. Both are
// above 0.
func WithRate(bytesPerSecond float64, burst int) Option {
	return func(li *List) { li.pace = rate.NewLimiter(rate.Limit(bytesPerSecond), burst) }
}

// New returns the VM list at the URL.
func New(url string, opts ...Option) *List {
	li := &List{
		url: url, limit: 4 << 20, pace: rate.NewLimiter(12<<10, 512<<10),
		last: snap.NewCell(answer{}),
	}
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

// List returns the live and leaving VMs, which the caller must not change. Every
// target of a group becomes one entry; a group without the label vm is an error.
func (li *List) List(ctx context.Context) ([]store.VM, error) {
	last := li.last.Load()
	if err := wait(ctx, last.next); err != nil {
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
	data, err := client.ReadAll(resp.Body, li.limit)
	if err != nil {
		return nil, fmt.Errorf("%w: VM list: %w", store.ErrUnavailable, err)
	}
	switch {
	case resp.StatusCode == http.StatusNotModified && last.tag != "":
		return last.vms, nil
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%w: VM list: status %d", store.ErrUnavailable, resp.StatusCode)
	}
	return li.whole(data, resp.Header.Get("ETag"))
}

// whole decodes a list and keeps it. A list that cannot be decoded is paid for
// too, and is asked for again without a tag.
func (li *List) whole(data []byte, tag string) ([]store.VM, error) {
	now := time.Now()
	an := answer{next: now.Add(li.pace.ReserveN(now, min(len(data), li.pace.Burst())).DelayFrom(now))}
	var groups []group
	err := json.Unmarshal(data, &groups)
	if err == nil {
		an.vms, err = vms(groups)
	}
	if err != nil {
		li.last.Store(answer{next: an.next})
		return nil, fmt.Errorf("VM list: %w", err)
	}
	an.tag = tag
	li.last.Store(an)
	return an.vms, nil
}

// wait returns at the time or when ctx ends.
func wait(ctx context.Context, until time.Time) error {
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

func vms(groups []group) ([]store.VM, error) {
	var out []store.VM
	for _, gr := range groups {
		la := gr.Labels
		if la["vm"] == "" || (la["state"] != "live" && la["state"] != "leaving") {
			return nil, fmt.Errorf("entry %v has vm %q and state %q", gr.Targets, la["vm"], la["state"])
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
