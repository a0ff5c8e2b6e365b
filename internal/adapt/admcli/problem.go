package admcli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/errs"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

// Problem holds the problem details of an error response of the router.
type Problem struct {
	Status   int              `json:"status"`
	Title    string           `json:"title"`
	Detail   string           `json:"detail"`
	Outcome  refuse.Outcome   `json:"outcome"`
	Reason   string           `json:"reason"`
	Revision ident.Revision   `json:"revision"`
	Author   ident.Operator   `json:"author"`
	Fence    ident.Fence      `json:"fence"`
	Op       ident.Op         `json:"op"`
	Findings []config.Finding `json:"findings"`
}

// Error returns the reason, the outcome, the detail and all findings.
func (pr *Problem) Error() string {
	if len(pr.Findings) > 0 {
		lines := []string{fmt.Sprintf("%s (%s):", pr.Reason, pr.Outcome)}
		for _, fi := range pr.Findings {
			lines = append(lines, fi.String())
		}
		return strings.Join(lines, "\n")
	}
	text := fmt.Sprintf("%s (%s): %s", pr.Reason, pr.Outcome, pr.Detail)
	if pr.Op != "" {
		text += fmt.Sprintf("; repeat the command with --op %s", pr.Op)
	}
	return text
}

// problemError returns the error for a response with an error status. A response
// without problem details gets the reason noProblemDetails.
func problemError(status int, data []byte) error {
	pr := &Problem{}
	if json.Unmarshal(data, pr) != nil || pr.Reason == "" {
		pr = &Problem{Title: http.StatusText(status), Reason: "noProblemDetails", Outcome: refuse.Unknown,
			Detail: fmt.Sprintf("status %d; is this the address of the administration API?", status)}
	}
	pr.Status = status
	switch {
	case pr.Reason == "conflict":
		return errs.Conflict.Wrap(pr, "the change was not made")
	case pr.Reason == "invalid":
		return errs.Config.Wrap(pr, "the change was not made")
	case status == http.StatusServiceUnavailable:
		return errs.Platform.Wrap(pr, "platform")
	case status == http.StatusInternalServerError:
		return errs.Internal.Wrap(pr, "router")
	default:
		return errs.Refused.Wrap(pr, "refused")
	}
}
