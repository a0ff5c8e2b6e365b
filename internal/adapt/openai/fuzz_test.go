package openai_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/openai"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// fakeTransport returns the same event stream for every request.
type fakeTransport struct{ body func() io.Reader }

func (ft fakeTransport) RoundTrip(re *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
		Body: io.NopCloser(ft.body()), Request: re,
	}, nil
}

// FuzzEvents guards against responses that make the reader panic, that count as
// complete without the last event, or that are read differently when the network
// delivers them in small parts.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n",
		"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n", "data: [DONE]", "data:[DONE]\r\n\r\n",
		": comment\n\nevent: x\ndata: {\ndata: }\n\ndata: [DONE]\n\n", "data: {\"error\":{\"message\":\"x\"}}\n\n", "\n\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		run := func(body func() io.Reader) (out [][]byte, res engine.Result, err error) {
			en := openai.New("http://engine", openai.WithMaxEventBytes(1<<12), openai.WithMaxResponseBytes(1<<16),
				openai.WithClient(&http.Client{Transport: fakeTransport{body}}))
			res, err = en.Run(t.Context(), call("q", ""), func(ch engine.Chunk) error {
				out = append(out, bytes.Clone(ch.Data))
				return nil
			})
			return out, res, err
		}
		events, res, err := run(func() io.Reader { return bytes.NewReader(data) })
		if err == nil && !bytes.Contains(data, []byte("[DONE]")) {
			t.Errorf("%d events without the last one count as a complete response", len(events))
		}
		for _, ev := range events {
			if !json.Valid(ev) {
				t.Errorf("event %q is not JSON", ev)
			}
		}
		if res.Usage.Prompt < 0 || res.Usage.Completion < 0 {
			t.Errorf("usage %+v is negative", res.Usage)
		}
		byteEvents, byteRes, byteErr := run(func() io.Reader { return iotest.OneByteReader(bytes.NewReader(data)) })
		if diff := cmp.Diff(events, byteEvents); diff != "" || res.Usage != byteRes.Usage || (err == nil) != (byteErr == nil) {
			t.Errorf("byte by byte: error %v and %v, usage %+v and %+v (-at once +byte by byte):\n%s", err, byteErr, res.Usage, byteRes.Usage, diff)
		}
	})
}
