package admin

import (
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Domain is a failure domain with its state and the number of its upstreams.
type Domain struct {
	ID        ident.Domain `json:"id"`
	Closed    bool         `json:"closed"`
	Upstreams int          `json:"upstreams"`
}

// SetDomainRequest is the request body to close or open a failure domain.
type SetDomainRequest struct {
	Closed *bool `json:"closed"`
}

// domainsOf returns the failure domains that have upstreams or are closed, ordered by
// their first upstream.
func domainsOf(sn config.Snapshot) []Domain {
	out, index := []Domain{}, map[ident.Domain]int{}
	add := func(id ident.Domain) int {
		if _, ok := index[id]; !ok {
			index[id] = len(out)
			out = append(out, Domain{ID: id, Closed: sn.DomainClosed(id)})
		}
		return index[id]
	}
	for _, up := range sn.Upstreams() {
		out[add(up.Domain)].Upstreams++
	}
	for _, cd := range sn.ClosedDomains() {
		add(cd.ID)
	}
	return out
}

func (sv *Server) domains(ec echo.Context) error {
	sn, err := sv.service.Current(ec.Request().Context())
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, List[Domain]{sn.Revision(), domainsOf(sn)})
}

func (sv *Server) setDomain(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusOK, func(co admin.ChangeOptions, sd SetDomainRequest) (admin.ChangeResult, error) {
		if sd.Closed == nil {
			return admin.ChangeResult{}, badRequest("closed is missing")
		}
		id, err := pathParam(ec, "domain")
		if err != nil {
			return admin.ChangeResult{}, badRequest("the failure domain cannot be read: %v", err)
		}
		return sv.service.SetDomainClosed(ec.Request().Context(), co, ident.Domain(id), *sd.Closed)
	})
}

// pathParam returns a part of the path that may contain any characters. Echo leaves it
// escaped only if the path has an escaped slash.
func pathParam(ec echo.Context, name string) (string, error) {
	if ec.Request().URL.RawPath == "" {
		return ec.Param(name), nil
	}
	return url.PathUnescape(ec.Param(name))
}
