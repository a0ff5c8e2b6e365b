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
	defaultAudit = 20
	maxAudit     = 500
)

// Holding is what one incarnation holds.
type Holding struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	VM          ident.VM          `json:"vm"`
	Domain      ident.Domain      `json:"domain"`
	State       escrow.State      `json:"state"`
	Opened      time.Time         `json:"opened"`
	Held        []HeldBudget      `json:"held"`
}

// HeldBudget is what an incarnation holds of one budget.
type HeldBudget struct {
	Account ident.Account `json:"account"`
	Budget  ident.Budget  `json:"budget"`
	Settled ident.Tokens  `json:"settled"`
	Held    ident.Tokens  `json:"held"`
}

// Declare is the body that declares an incarnation dead.
type Declare struct {
	VM ident.VM `json:"vm"`
}

// Resolve is the body that settles held escrow. Used is the total that the
// incarnation used of the budget.
type Resolve struct {
	Account ident.Account `json:"account"`
	Budget  ident.Budget  `json:"budget"`
	Used    *ident.Tokens `json:"used"`
}

// Done is the answer to a request without a result.
type Done struct {
	Done bool `json:"done"`
}

func (sv *Server) config(ec echo.Context) error {
	sn, err := sv.use.Current(ec.Request().Context())
	if err != nil {
		return err
	}
	data, err := codec.Config{}.Encode(sn)
	if err != nil {
		return err
	}
	return ec.JSONBlob(http.StatusOK, data)
}

// replace takes a whole configuration. Its member revision is the base unless
// the query names one.
func (sv *Server) replace(ec echo.Context) error {
	data, err := sv.read(ec)
	if err != nil {
		return err
	}
	if err := strict[codec.Document](data); err != nil {
		return err
	}
	next, err := codec.Config{}.Decode(data)
	if err != nil {
		return badRequest("body: %v", err)
	}
	return change(ec, http.StatusOK, func(te admin.Terms) (admin.Changed, error) {
		if te.Base == nil {
			base := next.Revision()
			te.Base = &base
		}
		return sv.use.Replace(ec.Request().Context(), te, next)
	})
}

func (sv *Server) audit(ec echo.Context) error {
	limit := defaultAudit
	if text := ec.QueryParam("limit"); text != "" {
		num, err := strconv.Atoi(text)
		if err != nil || num < 1 || num > maxAudit {
			return badRequest("limit is 1 to %d, got %q", maxAudit, text)
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
		return sv.use.Latest(ec.Request().Context(), limit)
	}
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, badRequest("after is not a revision: %q", text)
	}
	return sv.use.History(ec.Request().Context(), ident.Revision(after), limit)
}

func (sv *Server) nodes(ec echo.Context) error {
	all, err := sv.use.Nodes(ec.Request().Context())
	if err != nil {
		return err
	}
	cur, err := sv.use.Current(ec.Request().Context())
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, List[admin.Node]{cur.Revision(), append([]admin.Node{}, all...)})
}

func (sv *Server) forgetNode(ec echo.Context) error {
	if err := sv.use.ForgetNode(ec.Request().Context(), ident.VM(ec.Param("vm"))); err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, Done{true})
}

func (sv *Server) outcome(ec echo.Context) error {
	key := ec.Param("key")
	// The parameter is still escaped only if the path could not be matched in
	// its decoded form.
	if ec.Request().URL.RawPath != "" {
		plain, err := url.PathUnescape(key)
		if err != nil {
			return badRequest("key: %v", err)
		}
		key = plain
	}
	rc, err := sv.use.Outcome(ec.Request().Context(), accountOf(ec), ident.Key(key))
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, rc)
}

func (sv *Server) held(ec echo.Context) error {
	all, err := sv.use.Held(ec.Request().Context())
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

func (sv *Server) declare(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusOK, func(te admin.Terms, de Declare) (Done, error) {
		if te.DryRun || te.Base != nil {
			return Done{}, badRequest("closing has neither base nor dryRun")
		}
		return Done{true}, sv.use.Declare(ec.Request().Context(), te, ident.Incarnation(ec.Param("incarnation")), de.VM)
	})
}

func (sv *Server) resolve(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusOK, func(te admin.Terms, re Resolve) (Done, error) {
		if te.DryRun || te.Base != nil {
			return Done{}, badRequest("resolving has neither base nor dryRun")
		}
		if re.Used == nil {
			return Done{}, badRequest("used is missing")
		}
		rf := ident.BudgetRef{Account: re.Account, Budget: re.Budget}
		return Done{true}, sv.use.Resolve(ec.Request().Context(), te, ident.Incarnation(ec.Param("incarnation")), rf, *re.Used)
	})
}
