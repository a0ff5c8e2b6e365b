package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// List is a response with a list of items. Revision is set if the items are part
// of the configuration or are compared with it.
type List[T any] struct {
	Revision ident.Revision `json:"revision,omitempty"`
	Items    []T            `json:"items"`
}

// AddAccountRequest is the request body to add a client account.
type AddAccountRequest struct {
	ID ident.Account `json:"id"`
	admin.Limits
}

// AddBudgetRequest is the request body to add a budget.
type AddBudgetRequest struct {
	Budget ident.Budget `json:"budget"`
}

// TopUp is the request body to top up a budget.
type TopUp struct {
	Amount ident.Tokens `json:"amount"`
}

// TopUpResponse is the response to a top-up.
type TopUpResponse struct {
	Op      ident.Op `json:"op"`
	Balance Balance  `json:"balance"`
}

// Balance is the balance of a budget: prepaid = settled + held + free.
type Balance struct {
	Account ident.Account `json:"account"`
	Budget  ident.Budget  `json:"budget"`
	Prepaid ident.Tokens  `json:"prepaid"`
	Settled ident.Tokens  `json:"settled"`
	Held    ident.Tokens  `json:"held"`
	Free    ident.Tokens  `json:"free"`
	Holders []Holder      `json:"holders,omitempty"`
}

// Holder is the grant of a budget to an incarnation that holds or held escrow.
type Holder struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	State       escrow.State      `json:"state"`
	Drawn       ident.Tokens      `json:"drawn"`
	Settled     ident.Tokens      `json:"settled"`
	Returned    ident.Tokens      `json:"returned"`
	Held        ident.Tokens      `json:"held"`
}

func newBalance(ba budget.Balance) Balance {
	out := Balance{
		Account: ba.Ref.Account, Budget: ba.Ref.Budget,
		Prepaid: ba.Prepaid, Settled: ba.Settled, Held: ba.Held, Free: ba.Free,
	}
	for _, hb := range ba.Holders {
		gr := hb.Grant
		out.Holders = append(out.Holders, Holder{
			Incarnation: hb.Incarnation, State: hb.State,
			Drawn: gr.Drawn, Settled: gr.Settled, Returned: gr.Returned, Held: gr.Outstanding(),
		})
	}
	return out
}

func accountOf(ec echo.Context) ident.Account { return ident.Account(ec.Param("account")) }

func budgetRefOf(ec echo.Context) ident.BudgetRef {
	return ident.BudgetRef{Account: accountOf(ec), Budget: ident.Budget(ec.Param("budget"))}
}

func (sv *Server) accounts(ec echo.Context) error {
	sn, err := sv.service.Current(ec.Request().Context())
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, List[config.Account]{sn.Revision(), sn.Accounts()})
}

func (sv *Server) addAccount(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusCreated, func(co admin.ChangeOptions, ar AddAccountRequest) (admin.ChangeResult, error) {
		return sv.service.AddAccount(ec.Request().Context(), co, ar.ID, ar.Limits)
	})
}

func (sv *Server) setAccount(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusOK, func(co admin.ChangeOptions, li admin.Limits) (admin.ChangeResult, error) {
		return sv.service.SetAccount(ec.Request().Context(), co, accountOf(ec), li)
	})
}

func (sv *Server) removeAccount(ec echo.Context) error {
	return change(ec, http.StatusOK, func(co admin.ChangeOptions) (admin.ChangeResult, error) {
		return sv.service.RemoveAccount(ec.Request().Context(), co, accountOf(ec))
	})
}

func (sv *Server) addKey(ec echo.Context) error {
	return change(ec, http.StatusCreated, func(co admin.ChangeOptions) (admin.CreatedKey, error) {
		return sv.service.AddKey(ec.Request().Context(), co, accountOf(ec))
	})
}

func (sv *Server) rotateKey(ec echo.Context) error {
	return change(ec, http.StatusCreated, func(co admin.ChangeOptions) (admin.CreatedKey, error) {
		return sv.service.RotateKey(ec.Request().Context(), co, accountOf(ec), ec.Param("hash"))
	})
}

func (sv *Server) revokeKey(ec echo.Context) error {
	return change(ec, http.StatusOK, func(co admin.ChangeOptions) (admin.ChangeResult, error) {
		return sv.service.RevokeKey(ec.Request().Context(), co, accountOf(ec), ec.Param("hash"))
	})
}

func (sv *Server) balances(ec echo.Context) error {
	all, err := sv.service.Balances(ec.Request().Context(), accountOf(ec))
	if err != nil {
		return err
	}
	out := List[Balance]{Items: make([]Balance, 0, len(all))}
	for _, ba := range all {
		out.Items = append(out.Items, newBalance(ba))
	}
	return ec.JSON(http.StatusOK, out)
}

func (sv *Server) balance(ec echo.Context) error {
	ba, err := sv.service.Balance(ec.Request().Context(), budgetRefOf(ec))
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, newBalance(ba))
}

func (sv *Server) addBudget(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusCreated, func(co admin.ChangeOptions, br AddBudgetRequest) (admin.ChangeResult, error) {
		return sv.service.AddBudget(ec.Request().Context(), co, ident.BudgetRef{Account: accountOf(ec), Budget: br.Budget})
	})
}

func (sv *Server) removeBudget(ec echo.Context) error {
	return change(ec, http.StatusOK, func(co admin.ChangeOptions) (admin.ChangeResult, error) {
		return sv.service.RemoveBudget(ec.Request().Context(), co, budgetRefOf(ec))
	})
}

func (sv *Server) topUp(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusCreated, func(co admin.ChangeOptions, tu TopUp) (TopUpResponse, error) {
		if co.DryRun || co.Base != nil {
			return TopUpResponse{}, badRequest("a top-up accepts neither base nor dryRun")
		}
		op, err := sv.service.TopUp(ec.Request().Context(), co, budgetRefOf(ec), tu.Amount)
		if err != nil {
			return TopUpResponse{}, &opError{op, err}
		}
		ba, err := sv.service.Balance(ec.Request().Context(), budgetRefOf(ec))
		if err != nil {
			return TopUpResponse{}, &opError{op, err}
		}
		return TopUpResponse{Op: op, Balance: newBalance(ba)}, nil
	})
}
