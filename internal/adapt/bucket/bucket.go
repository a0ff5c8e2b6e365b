// Package bucket implements the object store port over the S3 REST calls GET
// and PUT with If-None-Match.
package bucket

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Bucket is a store.ObjectStore in one bucket, with path-style URLs.
type Bucket struct {
	base     string
	name     string
	maxBytes int64
	hc       *http.Client
}

var _ store.ObjectStore = (*Bucket)(nil)

// Option configures a Bucket.
type Option func(*Bucket)

// WithName sets the name of the bucket. The default is "balsamwood".
func WithName(name string) Option { return func(bu *Bucket) { bu.name = name } }

// WithMaxBytes sets the maximum size of an object in bytes. The default is 64 MiB.
func WithMaxBytes(n int64) Option { return func(bu *Bucket) { bu.maxBytes = n } }

// WithClient sets the HTTP client. The default is client.New().
func WithClient(hc *http.Client) Option { return func(bu *Bucket) { bu.hc = hc } }

// New returns the bucket at the base URL.
func New(baseURL string, opts ...Option) *Bucket {
	bu := &Bucket{base: strings.TrimSuffix(baseURL, "/"), name: "balsamwood", maxBytes: 64 << 20}
	for _, opt := range opts {
		opt(bu)
	}
	if bu.hc == nil {
		bu.hc = client.New()
	}
	return bu
}

// Get returns the object and whether it exists.
func (bu *Bucket) Get(ctx context.Context, name string) ([]byte, bool, error) {
	data, status, _, err := bu.send(ctx, http.MethodGet, name, nil)
	switch {
	case err != nil:
		return nil, false, fmt.Errorf("%w: get object %s: %w", store.ErrUnavailable, name, err)
	case status == http.StatusOK:
		return data, true, nil
	case status == http.StatusNotFound:
		return nil, false, nil
	default:
		return nil, false, fmt.Errorf("%w: get object %s: status %d", store.ErrUnavailable, name, status)
	}
}

// PutIfAbsent stores the object. It returns ErrConflict if the name exists and
// ErrUncertain if the object may have been stored.
func (bu *Bucket) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	if int64(len(data)) > bu.maxBytes {
		return fmt.Errorf("%w: object %s: %w", store.ErrUnavailable, name, client.ErrTooLarge)
	}
	_, status, sent, err := bu.send(ctx, http.MethodPut, name, data)
	kind := store.ErrUncertain
	switch {
	case err != nil && !sent:
		kind = store.ErrUnavailable
	case err != nil:
	case status == http.StatusOK:
		return nil
	case status == http.StatusPreconditionFailed:
		kind = store.ErrConflict
	case status == http.StatusConflict, status == http.StatusTooManyRequests:
		// S3 returns 409 for a concurrent request. In both cases this request
		// stored nothing.
		kind = store.ErrThrottled
	case status < http.StatusInternalServerError:
		kind = store.ErrUnavailable
	}
	if err != nil {
		return fmt.Errorf("%w: put object %s: %w", kind, name, err)
	}
	return fmt.Errorf("%w: put object %s: status %d", kind, name, status)
}

// send sends one request. It returns the body, the status, and whether the request
// may have reached the server.
func (bu *Bucket) send(ctx context.Context, method, name string, data []byte) ([]byte, int, bool, error) {
	path := (&url.URL{Path: "/" + bu.name + "/" + name}).EscapedPath()
	re, err := http.NewRequestWithContext(ctx, method, bu.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, 0, false, err
	}
	if method == http.MethodPut {
		re.Header.Set("If-None-Match", "*")
	}
	resp, sent, err := client.Do(bu.hc, re)
	if err != nil {
		return nil, 0, sent, err
	}
	if method == http.MethodPut || resp.StatusCode != http.StatusOK {
		// Only the status is needed, and the body of an error may exceed the
		// limit of an object.
		return nil, resp.StatusCode, true, resp.Body.Close()
	}
	out, err := client.ReadAll(resp.Body, bu.maxBytes)
	return out, resp.StatusCode, true, err
}
