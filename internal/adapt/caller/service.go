package caller

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// maxResponseBytes bounds the response of a plain service. The response is
// buffered, because its status is only known at the end.
const maxResponseBytes = 4 << 20

// forwardedNames are the names of the header fields that are forwarded to a plain
// service.
var forwardedNames = []string{"Content-Type", "Accept", "Accept-Language"}

func (fe *Frontend) service(ec echo.Context) error {
	rq, err := fe.newRequest(ec)
	if err != nil {
		return err
	}
	if rq, err = fe.serviceRequest(ec, rq); err != nil {
		return err
	}
	var body []byte
	rs, err := fe.sv.Serve(ec.Request().Context(), rq, func(ch engine.Chunk) error {
		if len(body)+len(ch.Data) > maxResponseBytes {
			return refuse.New(refuse.UpstreamFailed, "the response exceeds %d bytes", maxResponseBytes)
		}
		body = append(body, ch.Data...)
		return nil
	})
	if err != nil {
		return err
	}
	setResultHeader(ec, rs)
	return writeResponse(ec, rs, body)
}

func writeResponse(ec echo.Context, rs front.Response, body []byte) error {
	status := rs.Result.Status
	if status < http.StatusOK || status > 599 {
		return refuse.New(refuse.UpstreamFailed, "the service returned the invalid status %d", status)
	}
	mediaType := echo.MIMEOctetStream
	for _, fi := range rs.Result.Header {
		if strings.EqualFold(fi.Name, echo.HeaderContentType) {
			mediaType = fi.Value
		}
	}
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return ec.NoContent(status)
	}
	return ec.Blob(status, mediaType, body)
}

// serviceRequest checks the service and the route and adds the call to the
// request.
func (fe *Frontend) serviceRequest(ec echo.Context, rq front.Request) (front.Request, error) {
	id := ident.Service(ec.Param("service"))
	se, ok := fe.cfg.Load().Service(id)
	if !ok {
		return rq, refuse.New(refuse.UnknownService, "the service %q is not configured", id)
	}
	if !rq.Account.MayUseService(id) {
		return rq, refuse.New(refuse.Forbidden, "the client account may not use the service %q", id)
	}
	hr := ec.Request()
	path := "/" + ec.Param("*")
	ro, ok := matchRoute(se, hr.Method, path)
	if !ok {
		return rq, refuse.New(refuse.UnknownService, "the service %q has no route for %s %s", id, hr.Method, path)
	}
	body, err := fe.readBody(ec, rq.Account.ID)
	if err != nil {
		return rq, err
	}
	if !utf8.ValidString(path + hr.URL.RawQuery) {
		return rq, refuse.New(refuse.BadRequest, "the path is not valid UTF-8")
	}
	if query := hr.URL.RawQuery; query != "" {
		path += "?" + query
	}
	rq.Kind, rq.Service, rq.Idempotent, rq.MaxTokens = config.Plain, id, ro.Idempotent, ro.Cost
	rq.Fingerprint = fingerprint(hr.Method, path, body)
	rq.Call = engine.Call{
		Request: rq.ID, Key: rq.Key, Method: hr.Method, Path: path, Header: forwardedHeader(hr.Header),
		Body: body, Deadline: rq.Deadline, Priority: rq.Class.Rank(), MaxTokens: ro.Cost,
	}
	return rq, nil
}

// matchRoute returns the first matching route of the service. A route whose path
// ends with a slash matches all paths below it.
func matchRoute(se config.Service, method, path string) (config.Route, bool) {
	for _, ro := range se.Routes {
		if ro.Method != method {
			continue
		}
		if ro.Path == path || strings.HasSuffix(ro.Path, "/") && strings.HasPrefix(path, ro.Path) {
			return ro, true
		}
	}
	return config.Route{}, false
}

// fingerprint returns a hash by which two calls with the same key are compared.
func fingerprint(method, path string, body []byte) []byte {
	ha := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path)} {
		_, _ = ha.Write(part)
		_, _ = ha.Write([]byte{0})
	}
	_, _ = ha.Write(body)
	return ha.Sum(nil)
}

func forwardedHeader(hd http.Header) []engine.Field {
	var out []engine.Field
	for _, name := range forwardedNames {
		if val := hd.Get(name); val != "" && utf8.ValidString(val) {
			out = append(out, engine.Field{Name: name, Value: val})
		}
	}
	return out
}

// outcome returns the outcome of a call with an idempotency key of the caller's
// own account.
func (fe *Frontend) outcome(ec echo.Context) error {
	ac, err := fe.authenticate(ec.Request().Header)
	if err != nil {
		return err
	}
	key := ident.Key(ec.Param("key"))
	if fe.outcomes == nil {
		return refuse.New(refuse.StoreUnavailable, "this router has no access to stored outcomes")
	}
	ou, ok, err := fe.outcomes.Outcome(ec.Request().Context(), ac.ID, key)
	if err != nil {
		return refuse.New(refuse.StoreUnavailable, "%v", err)
	}
	if !ok {
		ou = Outcome{State: "none"}
	}
	return ec.JSON(http.StatusOK, ou)
}
