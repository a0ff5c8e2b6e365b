package dynamo_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/balsamwood/balsamwood/internal/adapt/dynamo"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// fixedResponse is a transport that returns the same response to every request.
type fixedResponse struct {
	status int
	body   []byte
}

func (fr fixedResponse) RoundTrip(re *http.Request) (*http.Response, error) {
	_, _ = io.Copy(io.Discard, re.Body)
	return &http.Response{
		StatusCode: fr.status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(fr.body)), Request: re,
	}, nil
}

// FuzzResponses guards against a response of the table that makes the adapter panic
// or scan forever, against an error that is not one of the port, and against a
// commit that is reported as written or as not written although the response does
// not show it.
func FuzzResponses(f *testing.F) {
	for status, body := range map[int]string{
		200: `{"Item":{"pk":{"S":"a"},"sk":{"S":"b"},"ver":{"N":"3"},"val":{"B":"eA=="}}}`,
		201: `{}`,
		400: `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"ConditionalCheckFailed"}]}`,
		413: `{"__type":"ValidationException","Message":"m"}`,
		500: `{"__type":"InternalServerError"}`,
		503: ``,
	} {
		f.Add(status, []byte(body))
	}
	f.Add(200, []byte(`{"Items":[],"LastEvaluatedKey":{"pk":{"S":"a"},"sk":{"S":"b"}}}`))
	known := []error{store.ErrConflict, store.ErrThrottled, store.ErrUnavailable, store.ErrUncertain}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 || status/100 == 3 {
			return
		}
		ta := dynamo.New("http://table", dynamo.WithClient(&http.Client{Transport: fixedResponse{status, body}}))
		check := func(op string, err error) {
			if err == nil && status >= 300 {
				t.Errorf("%s: no error for status %d", op, status)
			}
			for _, kn := range known {
				if errors.Is(err, kn) {
					return
				}
			}
			if err != nil {
				t.Errorf("%s: %v, want an error of the port", op, err)
			}
		}
		_, _, err := ta.Get(t.Context(), "a/b")
		check("get", err)
		_, err = ta.Scan(t.Context(), "a/", "", 0)
		check("scan", err)
		err = ta.Commit(t.Context(), store.Write{Key: "a/b", Value: []byte("x"), Mode: store.Put})
		check("commit", err)
		if status >= 500 && !errors.Is(err, store.ErrUncertain) {
			t.Errorf("commit: %v for status %d, want uncertain", err, status)
		}
	})
}
