package dynamo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// read runs an operation without effect: whatever fails, nothing was written.
func (ta *Table) read(ctx context.Context, op string, req, out any) error {
	data, status, _, err := ta.send(ctx, op, req)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %s: %w", store.ErrUnavailable, op, err)
	case status != http.StatusOK:
		if err := failureOf(op, status, data); throttled(err) {
			return err
		}
		return fmt.Errorf("%w: %s: status %d: %s", store.ErrUnavailable, op, status, brief(data))
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %s: %w", store.ErrUnavailable, op, err)
	}
	return nil
}

// write runs an operation that changes rows. Only a complete answer proves
// what happened.
func (ta *Table) write(ctx context.Context, op string, req any) error {
	data, status, sent, err := ta.send(ctx, op, req)
	switch {
	case err != nil && !sent:
		return fmt.Errorf("%w: %s: %w", store.ErrUnavailable, op, err)
	case err != nil:
		return fmt.Errorf("%w: %s: %w", store.ErrUncertain, op, err)
	case status != http.StatusOK:
		return failureOf(op, status, data)
	}
	return nil
}

// send makes one call. The request has no header that makes net/http repeat a
// POST.
func (ta *Table) send(ctx context.Context, op string, req any) (data []byte, status int, sent bool, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, 0, false, err
	}
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, ta.base, bytes.NewReader(body))
	if err != nil {
		return nil, 0, false, err
	}
	re.Header.Set("Content-Type", "application/x-amz-json-1.0")
	re.Header.Set("X-Amz-Target", "DynamoDB_20120810."+op)
	resp, sent, err := client.Do(ta.hc, re)
	if err != nil {
		return nil, 0, sent, err
	}
	data, err = client.ReadAll(resp.Body, ta.limit)
	return data, resp.StatusCode, true, err
}

// failureOf maps an error answer. An answer that is not understood, or of a
// server error, leaves the effect of a write uncertain.
func failureOf(op string, status int, data []byte) error {
	var fa failure
	if err := json.Unmarshal(data, &fa); err != nil || status != http.StatusBadRequest {
		return fmt.Errorf("%w: %s: status %d: %s", store.ErrUncertain, op, status, brief(data))
	}
	_, kind, ok := strings.Cut(fa.Type, "#")
	if !ok {
		kind = fa.Type
	}
	switch kind {
	case "TransactionCanceledException":
		return cancelled(op, fa)
	case "ThrottlingException", "ProvisionedThroughputExceededException", "RequestLimitExceeded":
		return fmt.Errorf("%w: %s: %s", store.ErrThrottled, op, kind)
	case "ValidationException", "SerializationException", "UnknownOperationException",
		"ResourceNotFoundException", "AccessDeniedException":
		return fmt.Errorf("%w: %s: %s: %s", store.ErrUnavailable, op, kind, fa.Message)
	default:
		return fmt.Errorf("%w: %s: %s: %s", store.ErrUncertain, op, kind, fa.Message)
	}
}

// cancelled maps the reasons of a cancelled transaction, which wrote nothing.
// A failed condition is the definite one; any other reason permits a retry.
func cancelled(op string, fa failure) error {
	codes := make([]string, 0, len(fa.Reasons))
	result := store.ErrThrottled
	for _, re := range fa.Reasons {
		codes = append(codes, re.Code)
		if re.Code == "ConditionalCheckFailed" {
			result = store.ErrConflict
		}
	}
	return fmt.Errorf("%w: %s: %s", result, op, strings.Join(codes, ", "))
}
