// Package admin is the HTTP front end for operators.
package admin

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Events of the administration API.
var (
	evChange  = meter.Event{Number: 6001, Level: slog.LevelInfo, Text: "administration request"}
	evRefused = meter.Event{Number: 6002, Level: slog.LevelWarn, Text: "administration request without a valid key or role"}
)

// Prefix starts all paths of the API.
const Prefix = "/v1/admin"

// Server is the front end. Handler returns its HTTP handler.
type Server struct {
	use     *admin.Service
	keys    keyring
	met     meter.Meter
	maxBody int64
}

// Option configures a Server.
type Option func(*Server)

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(sv *Server) { sv.met = me } }

// WithMaxBody bounds request bodies in bytes. The default is 4 MiB, which
// exceeds the largest configuration that is accepted.
func WithMaxBody(size int64) Option { return func(sv *Server) { sv.maxBody = size } }

// New returns the front end. Without keys every request is refused.
func New(use *admin.Service, keys []conf.AdminKey, opts ...Option) *Server {
	sv := &Server{use: use, keys: newKeyring(keys), met: meter.Nop{}, maxBody: 4 << 20}
	for _, op := range opts {
		op(sv)
	}
	return sv
}

// Handler returns the HTTP handler.
func (sv *Server) Handler() http.Handler {
	ec := echo.New()
	ec.HideBanner, ec.HidePort = true, true
	ec.HTTPErrorHandler = handleError
	gr := ec.Group(Prefix, sv.authenticate)
	view, run, full := sv.require(viewer), sv.require(operator), sv.require(adminRole)

	gr.GET("/config", sv.config, view)
	gr.PUT("/config", sv.replace, run)
	gr.GET("/audit", sv.audit, view)
	gr.GET("/nodes", sv.nodes, view)
	gr.DELETE("/nodes/:vm", sv.forgetNode, run)
	gr.GET("/outcomes/:account/:key", sv.outcome, view)

	gr.GET("/accounts", sv.accounts, view)
	gr.POST("/accounts", sv.addAccount, run)
	gr.PATCH("/accounts/:account", sv.setAccount, run)
	gr.DELETE("/accounts/:account", sv.removeAccount, run)
	gr.POST("/accounts/:account/keys", sv.addKey, run)
	gr.POST("/accounts/:account/keys/:hash/rotate", sv.rotateKey, run)
	gr.DELETE("/accounts/:account/keys/:hash", sv.revokeKey, run)

	gr.GET("/accounts/:account/budgets", sv.balances, view)
	gr.GET("/accounts/:account/budgets/:budget", sv.balance, view)
	gr.POST("/accounts/:account/budgets", sv.addBudget, run)
	gr.DELETE("/accounts/:account/budgets/:budget", sv.removeBudget, run)
	gr.POST("/accounts/:account/budgets/:budget/topups", sv.topUp, run)

	gr.GET("/upstreams", sv.upstreams, view)
	gr.POST("/upstreams", sv.addUpstream, run)
	gr.PATCH("/upstreams/:upstream", sv.setUpstream, run)
	gr.DELETE("/upstreams/:upstream", sv.removeUpstream, run)
	gr.GET("/upstreams/:upstream/orders", sv.orders, view)
	gr.POST("/upstreams/:upstream/orders", sv.order, run)
	gr.GET("/slots", sv.slots, view)
	gr.DELETE("/slots/:slot/:upstream", sv.freeSlot, run)
	gr.GET("/services", sv.services, view)
	gr.PUT("/services/:service", sv.putService, run)
	gr.DELETE("/services/:service", sv.removeService, run)

	gr.GET("/held", sv.held, view)
	gr.POST("/held/:incarnation/close", sv.declare, full)
	gr.POST("/held/:incarnation/resolve", sv.resolve, full)
	return ec
}

// terms reads what all changes have in common from the query.
func terms(ec echo.Context) (admin.Terms, error) {
	te := admin.Terms{By: operatorOf(ec), Op: ident.Op(ec.QueryParam("op"))}
	if len(te.Op) > maxOp || !plain(string(te.Op)) {
		return te, badRequest("op has more than %d characters or others than letters, digits, dots, hyphens and underscores", maxOp)
	}
	if text := ec.QueryParam("base"); text != "" {
		re, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return te, badRequest("base is not a revision: %q", text)
		}
		base := ident.Revision(re)
		te.Base = &base
	}
	switch text := ec.QueryParam("dryRun"); text {
	case "", "false":
	case "true":
		te.DryRun = true
	default:
		return te, badRequest("dryRun is true or false, got %q", text)
	}
	return te, nil
}

// maxOp bounds operation ids, because they are parts of keys in the table.
const maxOp = 64

func plain(text string) bool {
	for _, ch := range text {
		switch {
		case ch >= 'a' && ch <= 'z', ch >= 'A' && ch <= 'Z', ch >= '0' && ch <= '9',
			ch == '-', ch == '_', ch == '.':
		default:
			return false
		}
	}
	return true
}

// read returns the bounded request body.
func (sv *Server) read(ec echo.Context) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(ec.Response(), ec.Request().Body, sv.maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &problem{Status: http.StatusRequestEntityTooLarge, Reason: "tooLarge",
			Detail: "the body exceeds " + strconv.FormatInt(sv.maxBody, 10) + " bytes"}
	case err != nil:
		return nil, badRequest("read body: %v", err)
	}
	return data, nil
}

// decode parses the request body as one JSON value without unknown members.
func decode[T any](sv *Server, ec echo.Context) (T, error) {
	var val T
	data, err := sv.read(ec)
	if err != nil {
		return val, err
	}
	if err := json.Unmarshal(data, &val); err != nil {
		return val, badRequest("body: %v", err)
	}
	return val, strict[T](data)
}

// change reads the terms, runs the change and answers with its result.
func change[T any](ec echo.Context, status int, run func(admin.Terms) (T, error)) error {
	te, err := terms(ec)
	if err != nil {
		return err
	}
	out, err := run(te)
	if err != nil {
		return err
	}
	if te.DryRun {
		status = http.StatusOK
	}
	return ec.JSON(status, out)
}

// changeBody is change with a request body.
func changeBody[B, T any](sv *Server, ec echo.Context, status int, run func(admin.Terms, B) (T, error)) error {
	body, err := decode[B](sv, ec)
	if err != nil {
		return err
	}
	return change(ec, status, func(te admin.Terms) (T, error) { return run(te, body) })
}
