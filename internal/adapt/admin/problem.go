package admin

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/app/admin"
	"github.com/balsamwood/balsamwood/internal/app/budget"
	"github.com/balsamwood/balsamwood/internal/app/orders"
	"github.com/balsamwood/balsamwood/internal/app/update"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/escrow"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// problemType is the media type of RFC 9457.
const problemType = "application/problem+json"

// problem is an error in the problem details format. Outcome is notRun if the
// change was not made, or unknown if it may have been made, for example because
// the response of the table was lost.
type problem struct {
	Type     string           `json:"type"`
	Title    string           `json:"title"`
	Status   int              `json:"status"`
	Detail   string           `json:"detail,omitempty"`
	Outcome  refuse.Outcome   `json:"outcome"`
	Reason   string           `json:"reason"`
	Revision *ident.Revision  `json:"revision,omitempty"`
	Author   ident.Operator   `json:"author,omitempty"`
	Fence    ident.Fence      `json:"fence,omitempty"`
	Op       ident.Op         `json:"op,omitempty"`
	Findings []config.Finding `json:"findings,omitempty"`
}

// Error returns the reason and the detail.
func (pr *problem) Error() string { return pr.Reason + ": " + pr.Detail }

func badRequest(format string, args ...any) *problem {
	return &problem{Status: http.StatusBadRequest, Reason: "badRequest", Detail: fmt.Sprintf(format, args...)}
}

// opError adds the op to an error, so that the operator can repeat the change with
// the same op.
type opError struct {
	op  ident.Op
	err error
}

// Error returns the text of the error.
func (oe *opError) Error() string { return oe.err.Error() }

// Unwrap returns the error.
func (oe *opError) Unwrap() error { return oe.err }

// errorResponses maps errors to HTTP statuses and reasons. The first match is used.
var errorResponses = []struct {
	err    error
	status int
	reason string
}{
	{admin.ErrNotFound, http.StatusNotFound, "notFound"},
	{budget.ErrUnknownBudget, http.StatusNotFound, "notFound"},
	{budget.ErrUnknownIncarnation, http.StatusNotFound, "notFound"},
	{budget.ErrUnknownGrant, http.StatusNotFound, "notFound"},
	{orders.ErrInvalidKind, http.StatusBadRequest, "badRequest"},
	{orders.ErrNoLink, http.StatusConflict, "noLink"},
	{orders.ErrOpReused, http.StatusConflict, "opReused"},
	{orders.ErrNotHeld, http.StatusConflict, "notHeld"},
	{admin.ErrNoOrders, http.StatusConflict, "noOrders"},
	{admin.ErrExists, http.StatusConflict, "exists"},
	{admin.ErrNotEmpty, http.StatusConflict, "notEmpty"},
	{admin.ErrInUse, http.StatusConflict, "inUse"},
	{admin.ErrWrongVM, http.StatusConflict, "wrongVM"},
	{admin.ErrAmbiguous, http.StatusConflict, "ambiguous"},
	{budget.ErrStillOpen, http.StatusConflict, "stillOpen"},
	{admin.ErrOpReused, http.StatusConflict, "opReused"},
	{budget.ErrOpReused, http.StatusConflict, "opReused"},
	{escrow.ErrInvalidAmount, http.StatusUnprocessableEntity, "amount"},
	{escrow.ErrExceedsOutstanding, http.StatusUnprocessableEntity, "amount"},
	{store.ErrUncertain, http.StatusServiceUnavailable, "storeUncertain"},
	{store.ErrThrottled, http.StatusServiceUnavailable, "storeThrottled"},
	{store.ErrConflict, http.StatusServiceUnavailable, "storeContended"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, "storeUnavailable"},
}

// problemOf returns the problem details of an error. The outcome of an unexpected
// error is unknown.
func problemOf(err error) *problem {
	pr := classify(err)
	var oe *opError
	if errors.As(err, &oe) {
		pr.Op = oe.op
	}
	pr.Type, pr.Title = "about:blank", http.StatusText(pr.Status)
	if pr.Outcome == "" {
		pr.Outcome = refuse.NotRun
	}
	if pr.Detail == "" {
		pr.Detail = err.Error()
	}
	return pr
}

// classify returns the status and the reason of an error, with the details that
// depend on its type.
func classify(err error) *problem {
	var pr *problem
	var conflict *update.ConflictError
	var invalid *update.InvalidError
	var unknown *update.UnknownOutcomeError
	var behind *update.TableBehindError
	var he *echo.HTTPError
	if pr := classifyOrderError(err); pr != nil {
		return pr
	}
	switch {
	case errors.As(err, &pr):
		cp := *pr
		return &cp
	case errors.As(err, &conflict):
		return &problem{Status: http.StatusConflict, Reason: "conflict", Revision: &conflict.Revision, Author: conflict.Author}
	case errors.As(err, &invalid):
		return &problem{Status: http.StatusUnprocessableEntity, Reason: "invalid", Findings: invalid.Findings}
	case errors.As(err, &unknown):
		return &problem{Status: http.StatusServiceUnavailable, Reason: "storeUncertain", Outcome: refuse.Unknown,
			Revision: &unknown.Revision, Op: unknown.Op}
	case errors.As(err, &behind):
		return &problem{Status: http.StatusServiceUnavailable, Reason: "tableBehind", Revision: &behind.InForce}
	case errors.As(err, &he):
		return &problem{Status: he.Code, Reason: "badRequest", Detail: fmt.Sprint(he.Message)}
	}
	for _, er := range errorResponses {
		if errors.Is(err, er.err) {
			out := &problem{Status: er.status, Reason: er.reason}
			if er.status == http.StatusServiceUnavailable {
				// An earlier attempt of the same call may have taken effect
				// although its response was lost.
				out.Outcome = refuse.Unknown
			}
			return out
		}
	}
	return &problem{Status: http.StatusInternalServerError, Reason: "internal", Outcome: refuse.Unknown}
}

// handleError responds to an error with problem details. A GET request changes
// nothing, so its outcome is always notRun.
func handleError(err error, ec echo.Context) {
	if ec.Response().Committed {
		return
	}
	pr := problemOf(err)
	if ec.Request().Method == http.MethodGet {
		pr.Outcome = refuse.NotRun
	}
	ec.Response().Header().Set(echo.HeaderContentType, problemType)
	ec.Response().WriteHeader(pr.Status)
	_ = ec.Echo().JSONSerializer.Serialize(ec, pr, "")
}
