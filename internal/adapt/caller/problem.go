package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// problemType is the media type of RFC 9457.
const problemType = "application/problem+json"

// problem is a refusal in the problem details format. The member error has the
// same content in the format that clients of the chat completions API expect.
type problem struct {
	Type        string         `json:"type"`
	Title       string         `json:"title"`
	Status      int            `json:"status"`
	Detail      string         `json:"detail,omitempty"`
	Outcome     refuse.Outcome `json:"outcome"`
	Reason      refuse.Reason  `json:"reason"`
	Request     ident.Request  `json:"request,omitempty"`
	OutcomePath string         `json:"askAt,omitempty"`
	Error       chatError      `json:"error"`
}

type chatError struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    refuse.Reason `json:"code"`
}

func newProblem(id ident.Request, status int, rf *refuse.Refusal) problem {
	return problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: rf.Detail, Outcome: rf.Outcome, Reason: rf.Reason,
		Request: id, OutcomePath: rf.OutcomePath,
		Error: chatError{
			Message: string(rf.Reason) + ": " + rf.Detail, Type: string(rf.Outcome), Code: rf.Reason,
		},
	}
}

// writeProblem writes the response, with Retry-After if the refusal has a retry
// time in the future.
func writeProblem(ec echo.Context, pr problem, rf *refuse.Refusal, now time.Time) error {
	hd := ec.Response().Header()
	if wait := rf.RetryAt.Sub(now); !rf.RetryAt.IsZero() && wait > 0 {
		hd.Set(echo.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	if rf.Reason == refuse.Unauthorized {
		hd.Set(echo.HeaderWWWAuthenticate, "Bearer")
	}
	hd.Set(echo.HeaderContentType, problemType)
	ec.Response().WriteHeader(pr.Status)
	return ec.Echo().JSONSerializer.Serialize(ec, pr, "")
}

func statusOf(re refuse.Reason) int {
	switch re {
	case refuse.BadRequest, refuse.KeyRequired, refuse.Rejected:
		return http.StatusBadRequest
	case refuse.TooLarge:
		return http.StatusRequestEntityTooLarge
	case refuse.Unauthorized:
		return http.StatusUnauthorized
	case refuse.OverBudget:
		return http.StatusPaymentRequired
	case refuse.Forbidden:
		return http.StatusForbidden
	case refuse.UnknownModel, refuse.UnknownService:
		return http.StatusNotFound
	case refuse.Cancelled, refuse.InProgress:
		return http.StatusConflict
	case refuse.KeyReused:
		return http.StatusUnprocessableEntity
	case refuse.RateLimited:
		return http.StatusTooManyRequests
	case refuse.LinkLost, refuse.UpstreamFailed, refuse.Truncated:
		return http.StatusBadGateway
	case refuse.TimedOut, refuse.DeadlinePassed:
		return http.StatusGatewayTimeout
	case refuse.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
