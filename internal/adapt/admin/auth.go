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

// role orders what operators may do. A higher role includes the lower ones.
type role int

const (
	viewer role = iota + 1
	operator
	adminRole
)

var roles = map[string]role{"viewer": viewer, "operator": operator, "admin": adminRole}

// person is the holder of a key.
type person struct {
	name ident.Operator
	role role
	text string
}

// keyring finds the holder of a key by its hash. The time of the look-up tells
// nothing about a key, because an attacker does not choose its hash.
type keyring map[config.KeyHash]person

func newKeyring(keys []conf.AdminKey) keyring {
	kr := make(keyring, len(keys))
	for _, ak := range keys {
		kr[config.KeyHash(strings.ToLower(ak.KeyHash))] = person{ak.Operator, roles[ak.Role], ak.Role}
	}
	return kr
}

const personKey = "person"

// authenticate finds the operator by the bearer key and logs changes.
func (sv *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ec echo.Context) error {
		key, ok := strings.CutPrefix(ec.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		pe, known := sv.keys[config.HashAPIKey(key)]
		if !ok || !known {
			sv.log(evRefused, ec, "", http.StatusUnauthorized)
			ec.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return &problem{Status: http.StatusUnauthorized, Reason: "unauthorized", Detail: "a valid administration key is required"}
		}
		ec.Set(personKey, pe)
		err := next(ec)
		if ec.Request().Method != http.MethodGet {
			status := ec.Response().Status
			if err != nil {
				status = problemOf(err).Status
			}
			sv.log(evChange, ec, pe.name, status)
		}
		return err
	}
}

// require refuses operators below the role.
func (sv *Server) require(least role) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(ec echo.Context) error {
			pe, _ := ec.Get(personKey).(person)
			if pe.role < least {
				sv.log(evRefused, ec, pe.name, http.StatusForbidden)
				return &problem{Status: http.StatusForbidden, Reason: "forbidden",
					Detail: "the role " + pe.text + " does not allow this"}
			}
			return next(ec)
		}
	}
}

func operatorOf(ec echo.Context) ident.Operator {
	pe, _ := ec.Get(personKey).(person)
	return pe.name
}

func (sv *Server) log(ev meter.Event, ec echo.Context, by ident.Operator, status int) {
	sv.met.Log(ev, slog.String("operator", string(by)), slog.String("method", ec.Request().Method),
		slog.String("path", ec.Request().URL.Path), slog.Int("status", status))
}
