// Package admcli is the client of the administration API.
package admcli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/admin"
	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/adapt/errs"
)

// maxAnswer bounds an answer in bytes. The list of held escrow at the planned
// number of budgets is the longest.
const maxAnswer = 64 << 20

// Client sends requests to one router.
type Client struct {
	base string
	key  string
	hc   *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithCA trusts the PEM certificates in place of those of the system. The
// default is the system's.
func WithCA(pem []byte) Option {
	return func(cl *Client) {
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(pem)
		tr, ok := cl.hc.Transport.(*http.Transport)
		if ok {
			tr.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		}
	}
}

// New returns a client for the base URL that authenticates with the key. Every
// request opens its own connection, because net/http repeats requests on kept
// ones.
func New(base, key string, opts ...Option) *Client {
	cl := &Client{base: strings.TrimRight(base, "/"), key: key, hc: client.New(client.WithFresh())}
	for _, op := range opts {
		op(cl)
	}
	return cl
}

// Request is one call of the API.
type Request struct {
	Method string
	// Path is below the API's prefix. Path escapes its parts.
	Path  string
	Query url.Values
	// Body is sent as JSON, or not at all if it is nil.
	Body any
}

// Path joins parts into a path and escapes each.
func Path(parts ...string) string {
	var sb strings.Builder
	for _, pa := range parts {
		sb.WriteString("/" + url.PathEscape(pa))
	}
	return sb.String()
}

// Do sends the request and returns the JSON answer. The error has one of the
// types of package errs and, for an answer of the router, is a *Problem.
func (cl *Client) Do(ctx context.Context, rq Request) (json.RawMessage, error) {
	hr, err := cl.request(ctx, rq)
	if err != nil {
		return nil, errs.Usage.Wrap(err, "administration request")
	}
	rs, sent, err := client.Do(cl.hc, hr)
	if err != nil {
		return nil, lost(rq, sent, err)
	}
	data, err := client.ReadAll(rs.Body, maxAnswer)
	if err != nil {
		return nil, lost(rq, true, err)
	}
	if rs.StatusCode >= http.StatusBadRequest {
		return nil, refused(rs.StatusCode, data)
	}
	return data, nil
}

func (cl *Client) request(ctx context.Context, rq Request) (*http.Request, error) {
	var body []byte
	if rq.Body != nil {
		var err error
		if body, err = json.Marshal(rq.Body); err != nil {
			return nil, err
		}
	}
	target := cl.base + admin.Prefix + rq.Path
	if len(rq.Query) > 0 {
		target += "?" + rq.Query.Encode()
	}
	hr, err := http.NewRequestWithContext(ctx, rq.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	hr.Header.Set("Authorization", "Bearer "+cl.key)
	if rq.Body != nil {
		hr.Header.Set("Content-Type", "application/json")
	}
	return hr, nil
}

// lost describes a request without an answer.
func lost(rq Request, sent bool, err error) error {
	switch {
	case !sent:
		return errs.Platform.Wrap(err, "the router was not reached, nothing was changed")
	case rq.Method == http.MethodGet:
		return errs.Platform.Wrap(err, "the router did not answer")
	case rq.Query.Get("op") == "":
		return errs.Platform.Wrap(err, "the router did not answer and the outcome is unknown; the command may be repeated")
	default:
		return errs.Platform.Wrap(err, "the router did not answer and the outcome is unknown; repeat the command with --op %s",
			rq.Query.Get("op"))
	}
}
