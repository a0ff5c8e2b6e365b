// Package admin implements the HTTP API for operators, the administration API.
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
	evRequest = meter.Event{Number: 6001, Level: slog.LevelInfo, Text: "administration request"}
	evRefused = meter.Event{Number: 6002, Level: slog.LevelWarn, Text: "administration request without a valid key or role"}
)

// Prefix is the prefix of all paths of the API.
const Prefix = "/v1/admin"

// Server is the front end for operators. Handler returns its HTTP handler.
type Server struct {
	service      *admin.Service
	keys         keyring
	met          meter.Meter
	maxBodyBytes int64
}

// Option configures a Server.
type Option func(*Server)

// WithMeter sets the meter. The default discards everything.
func WithMeter(me meter.Meter) Option { return func(sv *Server) { sv.met = me } }

// WithMaxBodyBytes limits the size of request bodies. The default is 4 MiB, which
// is larger than the largest configuration that is accepted.
func WithMaxBodyBytes(size int64) Option { return func(sv *Server) { sv.maxBodyBytes = size } }

// New returns the front end. Without keys, it refuses all requests.
func New(service *admin.Service, keys []conf.AdminKey, opts ...Option) *Server {
	sv := &Server{service: service, keys: newKeyring(keys), met: meter.Nop{}, maxBodyBytes: 4 << 20}
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
	asViewer, asOperator, asAdmin := sv.requireRole(viewerRole), sv.requireRole(operatorRole), sv.requireRole(adminRole)

	gr.GET("/config", sv.config, asViewer)
	gr.PUT("/config", sv.replaceConfig, asOperator)
	gr.GET("/audit", sv.audit, asViewer)
	gr.GET("/nodes", sv.nodes, asViewer)
	gr.DELETE("/nodes/:vm", sv.removeNode, asOperator)
	gr.GET("/outcomes/:account/:key", sv.outcome, asViewer)

	gr.GET("/accounts", sv.accounts, asViewer)
	gr.POST("/accounts", sv.addAccount, asOperator)
	gr.PATCH("/accounts/:account", sv.setAccount, asOperator)
	gr.DELETE("/accounts/:account", sv.removeAccount, asOperator)
	gr.POST("/accounts/:account/keys", sv.addKey, asOperator)
	gr.POST("/accounts/:account/keys/:hash/rotate", sv.rotateKey, asOperator)
	gr.DELETE("/accounts/:account/keys/:hash", sv.revokeKey, asOperator)

	gr.GET("/accounts/:account/budgets", sv.balances, asViewer)
	gr.GET("/accounts/:account/budgets/:budget", sv.balance, asViewer)
	gr.POST("/accounts/:account/budgets", sv.addBudget, asOperator)
	gr.DELETE("/accounts/:account/budgets/:budget", sv.removeBudget, asOperator)
	gr.POST("/accounts/:account/budgets/:budget/topups", sv.topUp, asOperator)

	gr.GET("/upstreams", sv.upstreams, asViewer)
	gr.POST("/upstreams", sv.addUpstream, asOperator)
	gr.PATCH("/upstreams/:upstream", sv.setUpstream, asOperator)
	gr.DELETE("/upstreams/:upstream", sv.removeUpstream, asOperator)
	gr.GET("/upstreams/:upstream/orders", sv.orders, asViewer)
	gr.POST("/upstreams/:upstream/orders", sv.issueOrder, asOperator)
	gr.GET("/slots", sv.slots, asViewer)
	gr.DELETE("/slots/:slot/:upstream", sv.freeSlot, asOperator)
	gr.GET("/domains", sv.domains, asViewer)
	gr.PATCH("/domains/:domain", sv.setDomain, asOperator)
	gr.GET("/services", sv.services, asViewer)
	gr.PUT("/services/:service", sv.putService, asOperator)
	gr.DELETE("/services/:service", sv.removeService, asOperator)

	gr.GET("/held", sv.held, asViewer)
	gr.POST("/held/:incarnation/close", sv.closeIncarnation, asAdmin)
	gr.POST("/held/:incarnation/resolve", sv.resolveHeld, asAdmin)
	return ec
}

// changeOptions returns the operator and the query parameters op, base and dryRun,
// which are common to all changes.
func changeOptions(ec echo.Context) (admin.ChangeOptions, error) {
	co := admin.ChangeOptions{By: operatorOf(ec), Op: ident.Op(ec.QueryParam("op"))}
	if len(co.Op) > maxOpLength || !validOp(string(co.Op)) {
		return co, badRequest("op must have at most %d characters, which are letters, digits, dots, hyphens and underscores", maxOpLength)
	}
	if text := ec.QueryParam("base"); text != "" {
		re, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return co, badRequest("base is not a revision: %q", text)
		}
		base := ident.Revision(re)
		co.Base = &base
	}
	switch text := ec.QueryParam("dryRun"); text {
	case "", "false":
	case "true":
		co.DryRun = true
	default:
		return co, badRequest("dryRun must be true or false, got %q", text)
	}
	return co, nil
}

// maxOpLength limits the length of an op, because ops are parts of keys in the
// table.
const maxOpLength = 64

func validOp(text string) bool {
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

// readBody returns the request body, or a problem if it exceeds its limit.
func (sv *Server) readBody(ec echo.Context) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(ec.Response(), ec.Request().Body, sv.maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &problem{Status: http.StatusRequestEntityTooLarge, Reason: "tooLarge",
			Detail: "the body exceeds " + strconv.FormatInt(sv.maxBodyBytes, 10) + " bytes"}
	case err != nil:
		return nil, badRequest("read body: %v", err)
	}
	return data, nil
}

// decode decodes the request body as one JSON value. It refuses unknown members.
func decode[T any](sv *Server, ec echo.Context) (T, error) {
	var val T
	data, err := sv.readBody(ec)
	if err != nil {
		return val, err
	}
	if err := json.Unmarshal(data, &val); err != nil {
		return val, badRequest("body: %v", err)
	}
	return val, checkMembers[T](data)
}

// change reads the options of a change, runs it and responds with its result.
func change[T any](ec echo.Context, status int, run func(admin.ChangeOptions) (T, error)) error {
	co, err := changeOptions(ec)
	if err != nil {
		return err
	}
	out, err := run(co)
	if err != nil {
		return err
	}
	if co.DryRun {
		status = http.StatusOK
	}
	return ec.JSON(status, out)
}

// changeBody is like change, but also decodes the request body.
func changeBody[B, T any](sv *Server, ec echo.Context, status int, run func(admin.ChangeOptions, B) (T, error)) error {
	body, err := decode[B](sv, ec)
	if err != nil {
		return err
	}
	return change(ec, status, func(co admin.ChangeOptions) (T, error) { return run(co, body) })
}
