package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is a request of a client.
type call struct {
	id, path, key string
	// input and output are the token counts, or zero for requests without a prompt.
	input, output int
	// parts is the Prompt-Prefix. By default the prompt has two parts.
	parts    string
	deadline time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// delivered returns the tokens of a complete stream that count towards Prepaid: the
// prompt, and the output by the events that arrived.
func (an answer) delivered(ca call) int {
	if an.err != nil || an.status != http.StatusOK {
		return 0
	}
	return ca.input + eventTokens*strings.Count(an.body, "id: ")
}

// send sends the request on a new channel.
func (ca call) send(ctx context.Context, ro *router) answer {
	ctx, cancel := context.WithTimeout(ctx, ca.deadline)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ro.front+ca.path, strings.NewReader("body of "+ca.id))
	if err != nil {
		return answer{err: err}
	}
	re.Host = clientHost
	re.Header.Set("Attempt-Id", ca.id)
	re.Header.Set("Authorization", "Bearer "+ca.key)
	re.Header.Set("Deadline-Ms", fmt.Sprint(ca.deadline.Milliseconds()))
	if ca.input > 0 {
		re.Header.Set("Model", "m")
		re.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", ca.input, ca.output))
		parts := ca.parts
		if parts == "" {
			parts = fmt.Sprintf("5c1e07a2:%d,%s:%d", ca.input/2, ca.id, ca.input-ca.input/2)
		}
		re.Header.Set("Prompt-Prefix", parts)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	rsp, err := transport.RoundTrip(re)
	if err != nil {
		ro.fl.rec.printf("%s to %s: %v", ca.id, ro.name, err)
		return answer{err: err}
	}
	body, err := io.ReadAll(rsp.Body)
	_ = rsp.Body.Close()
	if err != nil {
		err = fmt.Errorf("incomplete answer: %w", err)
	}
	an := answer{status: rsp.StatusCode, body: string(body), header: rsp.Header, err: err}
	text := ""
	if an.status != http.StatusOK {
		text = an.body
	}
	ro.fl.rec.printf("%s to %s: status %d, %d bytes, %v %s", ca.id, ro.name, an.status, len(body), errors.Join(err), text)
	return an
}

// sendAll sends calls to routers in turn, several at the same time, and returns the
// answers in order.
func sendAll(ctx context.Context, routers []*router, calls []call, parallel int) []answer {
	out := make([]answer, len(calls))
	var group sync.WaitGroup
	turns := make(chan struct{}, parallel)
	for no, ca := range calls {
		turns <- struct{}{}
		group.Go(func() {
			out[no] = ca.send(ctx, routers[no%len(routers)])
			<-turns
		})
	}
	group.Wait()
	return out
}
