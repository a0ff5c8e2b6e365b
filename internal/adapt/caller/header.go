package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// authenticate returns the client account of the API key.
func (fe *Frontend) authenticate(hd http.Header) (config.Account, error) {
	scheme, key, ok := strings.Cut(hd.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return config.Account{}, refuse.New(refuse.Unauthorized, "an API key is required: Authorization: Bearer KEY")
	}
	sn := fe.cfg.Load()
	if sn.Revision() == 0 {
		return config.Account{}, refuse.New(refuse.NotReady, "no configuration is in force yet")
	}
	ac, ok := sn.AccountByKey(config.HashAPIKey(strings.TrimSpace(key)))
	if !ok {
		return config.Account{}, refuse.New(refuse.Unauthorized, "the API key is unknown or revoked")
	}
	return ac, nil
}

// budgetOf returns the budget that the header names, or the first budget of the
// account.
func budgetOf(ac config.Account, hd http.Header) (ident.Budget, error) {
	name := ident.Budget(hd.Get(headerBudget))
	switch {
	case name == "" && len(ac.Budgets) == 0:
		return "", refuse.New(refuse.Forbidden, "the client account has no budget")
	case name == "":
		return ac.Budgets[0], nil
	case !ac.Owns(name):
		return "", refuse.New(refuse.Forbidden, "the client account has no budget %q", name)
	default:
		return name, nil
	}
}

// classOf returns the priority class. The default is normal.
func classOf(hd http.Header) (config.Class, error) {
	name := hd.Get(headerClass)
	if name == "" {
		return config.Normal, nil
	}
	cl := config.Class(name)
	if !cl.Valid() {
		return "", refuse.New(refuse.BadRequest, "%s must be urgent, normal or batch", headerClass)
	}
	return cl, nil
}

// deadlineOf returns the deadline of the request. Callers send a time, or a timeout
// if their clock is not synchronized; both are limited to maxTimeout from now. By
// default, the timeout of the class applies.
func (fe *Frontend) deadlineOf(hd http.Header, cl config.Class) (time.Time, error) {
	now := fe.clk.Now()
	if text := hd.Get(headerDeadline); text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return time.Time{}, refuse.New(refuse.BadRequest, "%s must be a time in RFC 3339 format", headerDeadline)
		}
		return earlier(at, now.Add(fe.maxTimeout)), nil
	}
	if text := hd.Get(headerTimeout); text != "" {
		du, err := time.ParseDuration(text)
		if err != nil || du <= 0 {
			return time.Time{}, refuse.New(refuse.BadRequest, "%s must be a positive duration such as 1.8s", headerTimeout)
		}
		return now.Add(min(du, fe.maxTimeout)), nil
	}
	return now.Add(fe.defaultTimeouts[cl]), nil
}

func earlier(at, other time.Time) time.Time {
	if at.Before(other) {
		return at
	}
	return other
}
