package admin

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// Order is the request body to issue an order to a model engine. Supersede is the
// fencing number of an order in progress that this order replaces.
type Order struct {
	Kind      engine.OrderKind `json:"kind"`
	Subject   string           `json:"subject"`
	Supersede ident.Fence      `json:"supersede,omitempty"`
}

func (sv *Server) issueOrder(ec echo.Context) error {
	return changeBody(sv, ec, http.StatusOK, func(co admin.ChangeOptions, or Order) (orders.Result, error) {
		if co.Base != nil {
			return orders.Result{}, badRequest("an order does not accept base")
		}
		re, err := sv.service.Order(ec.Request().Context(), co, orders.Request{
			Upstream: ident.Upstream(ec.Param("upstream")), Kind: or.Kind, Subject: or.Subject, Supersede: or.Supersede,
		})
		if errors.Is(err, store.ErrUncertain) {
			err = &opError{re.Op, err}
		}
		return re, err
	})
}

func (sv *Server) orders(ec echo.Context) error {
	all, err := sv.service.Orders(ec.Request().Context(), ident.Upstream(ec.Param("upstream")))
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, List[orders.Entry]{Items: append([]orders.Entry{}, all...)})
}

func (sv *Server) slots(ec echo.Context) error {
	all, err := sv.service.Slots(ec.Request().Context())
	if err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, List[orders.Slot]{Items: all})
}

func (sv *Server) freeSlot(ec echo.Context) error {
	num, err := strconv.Atoi(ec.Param("slot"))
	if err != nil {
		return badRequest("slot is not a number: %q", ec.Param("slot"))
	}
	if err := sv.service.FreeSlot(ec.Request().Context(), num, ident.Upstream(ec.Param("upstream"))); err != nil {
		return err
	}
	return ec.JSON(http.StatusOK, Done{true})
}

// classifyOrderError returns the problem details of a failed order, or nil if the
// error is a different one.
func classifyOrderError(err error) *problem {
	var conflict *orders.ConflictError
	var noSlot *orders.NoSlotError
	var failed *orders.FailedError
	switch {
	case errors.Is(err, store.ErrUncertain):
		return nil
	case errors.As(err, &conflict):
		return &problem{Status: http.StatusConflict, Reason: "conflict", Author: conflict.Existing.By, Fence: conflict.Existing.Fence}
	case errors.As(err, &noSlot):
		return &problem{Status: http.StatusConflict, Reason: "noSlot"}
	case errors.As(err, &failed) && failed.Refusal.Outcome == refuse.NotRun:
		return &problem{Status: http.StatusConflict, Reason: "orderRefused", Fence: failed.Entry.Fence}
	case errors.As(err, &failed):
		return &problem{Status: http.StatusServiceUnavailable, Reason: "orderUnknown", Outcome: refuse.Unknown,
			Fence: failed.Entry.Fence, Op: failed.Entry.Op}
	}
	return nil
}
