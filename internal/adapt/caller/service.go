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

// maxAnswer bounds the answer of a plain service in bytes. It is held until
// the service has answered, because only then its status is known.
const maxAnswer = 4 << 20

// forwarded are the header fields that a plain service receives.
var forwarded = []string{"Content-Type", "Accept", "Accept-Language"}

func (ca *Caller) service(ec echo.Context) error {
	rq, err := ca.begin(ec)
	if err != nil {
		return err
	}
	if rq, err = ca.serviceRequest(ec, rq); err != nil {
		return err
	}
	var body []byte
	an, err := ca.sv.Serve(ec.Request().Context(), rq, func(ch engine.Chunk) error {
		if len(body)+len(ch.Data) > maxAnswer {
			return refuse.New(refuse.UpstreamFailed, "the answer exceeds %d bytes", maxAnswer)
		}
		body = append(body, ch.Data...)
		return nil
	})
	if err != nil {
		return err
	}
	setCharged(ec, an)
	return writeAnswer(ec, an, body)
}

func writeAnswer(ec echo.Context, an front.Answer, body []byte) error {
	status := an.Result.Status
	if status < http.StatusOK || status > 599 {
		return refuse.New(refuse.UpstreamFailed, "the service answered with status %d", status)
	}
	mediaType := echo.MIMEOctetStream
	for _, fi := range an.Result.Header {
		if strings.EqualFold(fi.Name, echo.HeaderContentType) {
			mediaType = fi.Value
		}
	}
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return ec.NoContent(status)
	}
	return ec.Blob(status, mediaType, body)
}

func (ca *Caller) serviceRequest(ec echo.Context, rq front.Request) (front.Request, error) {
	id := ident.Service(ec.Param("service"))
	se, ok := ca.cfg.Load().Service(id)
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
		return rq, refuse.New(refuse.UnknownService, "the service %q has no call %s %s", id, hr.Method, path)
	}
	body, err := ca.body(ec)
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
		Request: rq.ID, Key: rq.Key, Method: hr.Method, Path: path, Header: forward(hr.Header),
		Body: body, Deadline: rq.Deadline, Priority: rq.Class.Rank(), MaxTokens: ro.Cost,
	}
	return rq, nil
}

// matchRoute returns the first route that matches.
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

func fingerprint(method, path string, body []byte) []byte {
	ha := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path)} {
		_, _ = ha.Write(part)
		_, _ = ha.Write([]byte{0})
	}
	_, _ = ha.Write(body)
	return ha.Sum(nil)
}

func forward(hd http.Header) []engine.Field {
	var out []engine.Field
	for _, name := range forwarded {
		if val := hd.Get(name); val != "" && utf8.ValidString(val) {
			out = append(out, engine.Field{Name: name, Value: val})
		}
	}
	return out
}

// outcome tells a caller how a keyed call of its own account ended.
func (ca *Caller) outcome(ec echo.Context) error {
	ac, err := ca.authenticate(ec.Request().Header)
	if err != nil {
		return err
	}
	key := ident.Key(ec.Param("key"))
	if ca.outcomes == nil {
		return refuse.New(refuse.StoreUnavailable, "outcomes are not kept here")
	}
	ou, ok, err := ca.outcomes.Outcome(ec.Request().Context(), ac.ID, key)
	if err != nil {
		return refuse.New(refuse.StoreUnavailable, "%v", err)
	}
	if !ok {
		ou = Outcome{State: "none"}
	}
	return ec.JSON(http.StatusOK, ou)
}
