// Package admcli implements a client of the administration API.
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

// maxResponseBytes limits the size of a response. The longest response is the list
// of held escrow for the planned number of budgets.
const maxResponseBytes = 64 << 20

// Client sends requests to one router.
type Client struct {
	base string
	key  string
	hc   *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithCA sets the trusted certificates in PEM format. The default is the
// certificates of the system.
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
// request opens its own connection, because net/http can send a request again if a
// reused connection fails.
func New(base, key string, opts ...Option) *Client {
	cl := &Client{base: strings.TrimRight(base, "/"), key: key, hc: client.New(client.WithoutKeepAlives())}
	for _, op := range opts {
		op(cl)
	}
	return cl
}

// Request is a request to the API.
type Request struct {
	Method string
	// Path is the escaped path below the prefix of the API.
	Path  string
	Query url.Values
	// Body is sent as JSON unless it is nil.
	Body any
}

// Path escapes the parts and joins them into a path.
func Path(parts ...string) string {
	var sb strings.Builder
	for _, pa := range parts {
		sb.WriteString("/" + url.PathEscape(pa))
	}
	return sb.String()
}

// Do sends the request and returns the response, which is JSON. The error has one
// of the types of package errs. If the router responded with an error status, the
// cause of the error is a *Problem.
func (cl *Client) Do(ctx context.Context, rq Request) (json.RawMessage, error) {
	hr, err := cl.request(ctx, rq)
	if err != nil {
		return nil, errs.Usage.Wrap(err, "administration request")
	}
	rs, sent, err := client.Do(cl.hc, hr)
	if err != nil {
		return nil, noResponseError(rq, sent, err)
	}
	data, err := client.ReadAll(rs.Body, maxResponseBytes)
	if err != nil {
		return nil, noResponseError(rq, true, err)
	}
	if rs.StatusCode >= http.StatusBadRequest {
		return nil, problemError(rs.StatusCode, data)
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

// noResponseError returns the error for a request without a complete response. If
// sent is true, the router may have received the request.
func noResponseError(rq Request, sent bool, err error) error {
	switch {
	case !sent:
		return errs.Platform.Wrap(err, "the router could not be reached; nothing was changed")
	case rq.Method == http.MethodGet:
		return errs.Platform.Wrap(err, "the router did not respond")
	case rq.Query.Get("op") == "":
		return errs.Platform.Wrap(err, "the router did not respond and the outcome is unknown; the command can be repeated")
	default:
		return errs.Platform.Wrap(err, "the router did not respond and the outcome is unknown; repeat the command with --op %s",
			rq.Query.Get("op"))
	}
}
