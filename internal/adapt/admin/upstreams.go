package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// SetFencingRequest is the request body to change whether an upstream checks
// fencing numbers.
type SetFencingRequest struct {
	ChecksFencing *bool `json:"checksFencing"`
}

// Routes is the request body to add or replace a service.
type Routes struct {
	Routes []config.Route `json:"routes"`
}

func (sv *Server) upstreams(ec echo.Context) error {
	sn, err := sv.service.Current(ec.Request().Context())
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, List[config.Upstream]{sn.Revision(), sn.Upstreams()})
}

func (sv *Server) addUpstream(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusCreated, func(co admin.ChangeOptions, up config.Upstream) (admin.ChangeResult, error) {
		return sv.service.AddUpstream(ec.Request().Context(), co, up)
	})
}

func (sv *Server) setUpstream(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusOK, func(co admin.ChangeOptions, sf SetFencingRequest) (admin.ChangeResult, error) {
		if sf.ChecksFencing == nil {
			return admin.ChangeResult{}, badRequest("checksFencing is missing")
		}
		return sv.service.SetFencing(ec.Request().Context(), co, ident.Upstream(ec.Param("upstream")), *sf.ChecksFencing)
	})
}

func (sv *Server) removeUpstream(ec echo.Context) error {
	return change(ec, http.StatusOK, func(co admin.ChangeOptions) (admin.ChangeResult, error) {
		return sv.service.RemoveUpstream(ec.Request().Context(), co, ident.Upstream(ec.Param("upstream")))
	})
}

func (sv *Server) services(ec echo.Context) error {
	sn, err := sv.service.Current(ec.Request().Context())
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, List[config.Service]{sn.Revision(), sn.Services()})
}

func (sv *Server) putService(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusOK, func(co admin.ChangeOptions, ro Routes) (admin.ChangeResult, error) {
		return sv.service.PutService(ec.Request().Context(), co,
			config.Service{ID: ident.Service(ec.Param("service")), Routes: ro.Routes})
	})
}

func (sv *Server) removeService(ec echo.Context) error {
	return change(ec, http.StatusOK, func(co admin.ChangeOptions) (admin.ChangeResult, error) {
		return sv.service.RemoveService(ec.Request().Context(), co, ident.Service(ec.Param("service")))
	})
}
