package admin

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	defaultAuditLimit = 20
	maxAuditLimit     = 500
)

// Holding is the escrow that one incarnation holds.
type Holding struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	VM          ident.VM          `json:"vm"`
	Domain      ident.Domain      `json:"domain"`
	State       escrow.State      `json:"state"`
	Opened      time.Time         `json:"opened"`
	Held        []HeldBudget      `json:"held"`
}

// HeldBudget is the escrow of one budget that an incarnation holds.
type HeldBudget struct {
	Account ident.Account `json:"account"`
	Budget  ident.Budget  `json:"budget"`
	Settled ident.Tokens  `json:"settled"`
	Held    ident.Tokens  `json:"held"`
}

// DeclareDead is the request body to declare an incarnation dead. VM is the VM of
// the incarnation.
type DeclareDead struct {
	VM ident.VM `json:"vm"`
}

// Resolve is the request body to settle held escrow. Used is the total usage of
// the budget by the incarnation.
type Resolve struct {
	Account ident.Account `json:"account"`
	Budget  ident.Budget  `json:"budget"`
	Used    *ident.Tokens `json:"used"`
}

// Done is the response to a request that has no other result.
type Done struct {
	Done bool `json:"done"`
}

func (sv *Server) config(ec echo.Context) error {
	sn, err := sv.service.Current(ec.Request().Context())
	if err != nil {
		return err
	}
	data, err := codec.Config{}.Encode(sn)
	if err != nil {
		return err
	}
	return ec.JSONBlob(http.StatusOK, data)
}

// replaceConfig replaces the whole configuration. Its member revision is the base
// unless the query contains a base.
func (sv *Server) replaceConfig(ec echo.Context) error {
	data, err := sv.readBody(ec)
	if err != nil {
		return err
	}
	if err := checkMembers[codec.Document](data); err != nil {
		return err
	}
	next, err := codec.Config{}.Decode(data)
	if err != nil {
		return badRequest("body: %v", err)
	}
	return change(ec, http.StatusOK, func(co admin.ChangeOptions) (admin.ChangeResult, error) {
		if co.Base == nil {
			base := next.Revision()
			co.Base = &base
		}
		return sv.service.Replace(ec.Request().Context(), co, next)
	})
}

func (sv *Server) audit(ec echo.Context) error {
	limit := defaultAuditLimit
	if text := ec.QueryParam("limit"); text != "" {
		num, err := strconv.Atoi(text)
		if err != nil || num < 1 || num > maxAuditLimit {
			return badRequest("limit must be from 1 to %d, got %q", maxAuditLimit, text)
		}
		limit = num
	}
	rows, err := sv.auditRows(ec, limit)
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, List[update.Audit]{Items: rows})
}

func (sv *Server) auditRows(ec echo.Context, limit int) ([]update.Audit, error) {
	text := ec.QueryParam("after")
	if text == "" {
		return sv.service.LatestAudits(ec.Request().Context(), limit)
	}
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, badRequest("after is not a revision: %q", text)
	}
	return sv.service.History(ec.Request().Context(), ident.Revision(after), limit)
}

func (sv *Server) nodes(ec echo.Context) error {
	all, err := sv.service.Nodes(ec.Request().Context())
	if err != nil {
		return err
	}
	cur, err := sv.service.Current(ec.Request().Context())
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, List[admin.Node]{cur.Revision(), append([]admin.Node{}, all...)})
}

func (sv *Server) removeNode(ec echo.Context) error {
	if err := sv.service.RemoveNode(ec.Request().Context(), ident.VM(ec.Param("vm"))); err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, Done{true})
}

func (sv *Server) outcome(ec echo.Context) error {
	key := ec.Param("key")
	// Echo matches the escaped path if it differs from the default encoding of
	// the decoded path. Only then the parameter is still escaped.
	if ec.Request().URL.RawPath != "" {
		unescaped, err := url.PathUnescape(key)
		if err != nil {
			return badRequest("key: %v", err)
		}
		key = unescaped
	}
	rc, err := sv.service.Outcome(ec.Request().Context(), accountOf(ec), ident.Key(key))
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, rc)
}

func (sv *Server) held(ec echo.Context) error {
	all, err := sv.service.Held(ec.Request().Context())
	if err != nil {
		return err
	}
	out := List[Holding]{Items: make([]Holding, 0, len(all))}
	for _, ho := range all {
		it := Holding{
			Incarnation: ho.ID, VM: ho.Row.VM, Domain: ho.Row.Domain, State: ho.Row.State,
			Opened: time.UnixMilli(ho.Row.Opened).UTC(), Held: []HeldBudget{},
		}
		for _, he := range ho.Held {
			it.Held = append(it.Held, HeldBudget{
				Account: he.Ref.Account, Budget: he.Ref.Budget, Settled: he.Grant.Settled, Held: he.Grant.Outstanding(),
			})
		}
		out.Items = append(out.Items, it)
	}
	return ec.JSON(http.StatusOK, out)
}

func (sv *Server) closeIncarnation(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusOK, func(co admin.ChangeOptions, dd DeclareDead) (Done, error) {
		if co.DryRun || co.Base != nil {
			return Done{}, badRequest("closing an incarnation accepts neither base nor dryRun")
		}
		return Done{true}, sv.service.DeclareDead(ec.Request().Context(), co, ident.Incarnation(ec.Param("incarnation")), dd.VM)
	})
}

func (sv *Server) resolveHeld(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusOK, func(co admin.ChangeOptions, re Resolve) (Done, error) {
		if co.DryRun || co.Base != nil {
			return Done{}, badRequest("resolving held escrow accepts neither base nor dryRun")
		}
		if re.Used == nil {
			return Done{}, badRequest("used is missing")
		}
		rf := ident.BudgetRef{Account: re.Account, Budget: re.Budget}
		return Done{true}, sv.service.Resolve(ec.Request().Context(), co, ident.Incarnation(ec.Param("incarnation")), rf, *re.Used)
	})
}
