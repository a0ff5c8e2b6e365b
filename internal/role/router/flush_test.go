package router_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// stepEngine streams one token at a time and waits for a step before it sends the
// next one.
type stepEngine struct {
	tokens int
	step   chan struct{}
}

func (se *stepEngine) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	if re.URL.Path != "/v1/chat/completions" {
		http.NotFound(wr, re)
		return
	}
	wr.Header().Set("Content-Type", "text/event-stream")
	for ix := range se.tokens {
		_, _ = fmt.Fprintf(wr, "data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", ix)
		wr.(http.Flusher).Flush()
		select {
		case <-se.step:
		case <-re.Context().Done():
			return
		}
	}
	_, _ = fmt.Fprintf(wr, "data: {\"id\":\"c\",\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\n", se.tokens)
	_, _ = fmt.Fprint(wr, "data: [DONE]\n\n")
}

// TestNoTokenHeldBack guards against buffers that hold a token until a later one
// arrives. The engine sends the next token only after the caller has read the
// previous one, so that a held token stops the stream.
func TestNoTokenHeldBack(t *testing.T) {
	const tokens = 50
	se := &stepEngine{tokens: tokens, step: make(chan struct{})}
	addr, key, _ := deploy(t, se)
	body := `{"model":"m1","stream":true,"max_tokens":64,"messages":[{"role":"user","content":"hello"}]}`
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	rq.Header.Set("Authorization", "Bearer "+key)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rs.Body.Close() }()
	// The timeout only ends a run in which a token is held back for good.
	timeout := time.AfterFunc(30*time.Second, func() { _ = rs.Body.Close() })
	defer timeout.Stop()
	sc := bufio.NewScanner(rs.Body)
	seen, done := 0, false
	for sc.Scan() {
		switch line := sc.Text(); {
		case line == "data: [DONE]":
			done = true
		case strings.Contains(line, `"content"`):
			seen++
			se.step <- struct{}{}
		}
	}
	if seen != tokens || !done {
		t.Errorf("read %d of %d tokens, done = %t", seen, tokens, done)
	}
}
