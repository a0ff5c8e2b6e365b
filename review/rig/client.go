package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Call is a request of a client.
type Call struct {
	ID, Method, Path, Key, Body string
	// Input, Output and Parts describe a prompt. Without parts the request has none.
	Input, Output int
	Parts         string
	DeadlineMs    int
}

// Reply is what a client received. Err is set if the response is not complete.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	Err    error
	Sent   time.Time
	Took   time.Duration
}

// Events returns the number of events in the body.
func (rp Reply) Events() int { return strings.Count(rp.Body, "id: ") }

// Client sends requests to one router on kept connections.
type Client struct{ http http.Client }

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Send sends the request to the Front address of a router.
func (cl *Client) Send(ctx context.Context, front string, ca Call) Reply {
	start := time.Now()
	rp := Reply{Sent: start}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ca.DeadlineMs)*time.Millisecond+time.Second)
	defer cancel()
	re, err := http.NewRequestWithContext(ctx, ca.Method, "http://"+front+ca.Path, strings.NewReader(ca.Body))
	if err != nil {
		rp.Err = err
		return rp
	}
	re.Host = Host
	re.Header.Set("Attempt-Id", ca.ID)
	re.Header.Set("Authorization", "Bearer "+ca.Key)
	re.Header.Set("Deadline-Ms", fmt.Sprint(ca.DeadlineMs))
	if ca.Parts != "" {
		re.Header.Set("Model", "m")
		re.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", ca.Input, ca.Output))
		re.Header.Set("Prompt-Prefix", ca.Parts)
	}
	resp, err := cl.http.Do(re)
	if err != nil {
		rp.Err, rp.Took = err, time.Since(start)
		return rp
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	rp.Status, rp.Header, rp.Body, rp.Err, rp.Took = resp.StatusCode, resp.Header, string(body), err, time.Since(start)
	return rp
}
