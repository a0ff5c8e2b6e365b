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

// read calls an operation that writes nothing. Its errors are
// store.ErrThrottled and store.ErrUnavailable, because no failure leaves an
// uncertain write.
func (ta *Table) read(ctx context.Context, op string, req, out any) error {
	data, status, _, err := ta.send(ctx, op, req)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %s: %w", store.ErrUnavailable, op, err)
	case status != http.StatusOK:
		if err := responseError(op, status, data); isThrottled(err) {
			return err
		}
		return fmt.Errorf("%w: %s: status %d: %s", store.ErrUnavailable, op, status, excerpt(data))
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %s: %w", store.ErrUnavailable, op, err)
	}
	return nil
}

// write calls an operation that changes rows. Once the call was sent, only a
// complete response shows whether the write took effect.
func (ta *Table) write(ctx context.Context, op string, req any) error {
	data, status, sent, err := ta.send(ctx, op, req)
	switch {
	case err != nil && !sent:
		return fmt.Errorf("%w: %s: %w", store.ErrUnavailable, op, err)
	case err != nil:
		return fmt.Errorf("%w: %s: %w", store.ErrUncertain, op, err)
	case status != http.StatusOK:
		return responseError(op, status, data)
	}
	return nil
}

// send sends one request. It has no header that makes net/http repeat a POST.
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
	data, err = client.ReadAll(resp.Body, ta.maxBytes)
	return data, resp.StatusCode, true, err
}

// responseError returns the error of the table port for an error response. An
// unknown response or a server error leaves the effect of a write uncertain.
func responseError(op string, status int, data []byte) error {
	var er errorResponse
	if err := json.Unmarshal(data, &er); err != nil || status != http.StatusBadRequest {
		return fmt.Errorf("%w: %s: status %d: %s", store.ErrUncertain, op, status, excerpt(data))
	}
	_, kind, ok := strings.Cut(er.Type, "#")
	if !ok {
		kind = er.Type
	}
	switch kind {
	case "TransactionCanceledException":
		return cancelledError(op, er)
	case "ThrottlingException", "ProvisionedThroughputExceededException", "RequestLimitExceeded":
		return fmt.Errorf("%w: %s: %s", store.ErrThrottled, op, kind)
	case "ValidationException", "SerializationException", "UnknownOperationException",
		"ResourceNotFoundException", "AccessDeniedException":
		return fmt.Errorf("%w: %s: %s: %s", store.ErrUnavailable, op, kind, er.Message)
	default:
		return fmt.Errorf("%w: %s: %s: %s", store.ErrUncertain, op, kind, er.Message)
	}
}

// cancelledError returns the error for a cancelled transaction, which wrote
// nothing. If a condition failed, the error is store.ErrConflict; all other
// reasons allow a retry.
func cancelledError(op string, er errorResponse) error {
	codes := make([]string, 0, len(er.Reasons))
	result := store.ErrThrottled
	for _, re := range er.Reasons {
		codes = append(codes, re.Code)
		if re.Code == "ConditionalCheckFailed" {
			result = store.ErrConflict
		}
	}
	return fmt.Errorf("%w: %s: %s", result, op, strings.Join(codes, ", "))
}
