package admin

import (
	"log/slog"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/adapt/conf"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// role is the role of an operator. A higher role has all permissions of the lower
// ones.
type role int

const (
	viewerRole role = iota + 1
	operatorRole
	adminRole
)

var roles = map[string]role{"viewer": viewerRole, "operator": operatorRole, "admin": adminRole}

// principal is the operator that a key authenticates.
type principal struct {
	name     ident.Operator
	role     role
	roleName string
}

// keyring maps the hashes of keys to operators. The duration of a lookup reveals
// nothing about the keys, because an attacker cannot choose the hash of a key.
type keyring map[config.KeyHash]principal

func newKeyring(keys []conf.AdminKey) keyring {
	kr := make(keyring, len(keys))
	for _, ak := range keys {
		kr[config.KeyHash(strings.ToLower(ak.KeyHash))] = principal{ak.Operator, roles[ak.Role], ak.Role}
	}
	return kr
}

// principalKey is the key of the principal in the context of a request.
const principalKey = "person"

// authenticate identifies the operator by the bearer key. It logs requests without
// a valid key and all other requests except GET.
func (sv *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ec echo.Context) error {
		key, ok := strings.CutPrefix(ec.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		pri, known := sv.keys[config.HashAPIKey(key)]
		if !ok || !known {
			sv.logRequest(evRefused, ec, "", http.StatusUnauthorized)
			ec.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return &problem{Status: http.StatusUnauthorized, Reason: "unauthorized", Detail: "a valid administration key is required"}
		}
		ec.Set(principalKey, pri)
		err := next(ec)
		if ec.Request().Method != http.MethodGet {
			status := ec.Response().Status
			if err != nil {
				status = problemOf(err).Status
			}
			sv.logRequest(evRequest, ec, pri.name, status)
		}
		return err
	}
}

// requireRole refuses requests of operators whose role is lower than minRole.
func (sv *Server) requireRole(minRole role) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(ec echo.Context) error {
			pri, _ := ec.Get(principalKey).(principal)
			if pri.role < minRole {
				sv.logRequest(evRefused, ec, pri.name, http.StatusForbidden)
				return &problem{Status: http.StatusForbidden, Reason: "forbidden",
					Detail: "the role " + pri.roleName + " does not allow this request"}
			}
			return next(ec)
		}
	}
}

func operatorOf(ec echo.Context) ident.Operator {
	pri, _ := ec.Get(principalKey).(principal)
	return pri.name
}

func (sv *Server) logRequest(ev meter.Event, ec echo.Context, by ident.Operator, status int) {
	sv.met.Log(ev, slog.String("operator", string(by)), slog.String("method", ec.Request().Method),
		slog.String("path", ec.Request().URL.Path), slog.Int("status", status))
}
