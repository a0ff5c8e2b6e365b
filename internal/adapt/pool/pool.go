// Package pool sends whole HTTP requests to upstreams over connections that it
// keeps, and knows of each request whether a byte of it was sent.
package pool

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/port/hop"
)

// inlineBody is the largest body that is written before the answer is read.
// Larger ones may be answered before the upstream has read them.
const inlineBody = 8 << 10

// Request is a request as it goes to upstreams.
type Request struct {
	ID     string
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Pool keeps connections to upstreams.
type Pool struct {
	terms terms.Terms

	mu    sync.Mutex
	hosts map[hop.Upstream]*host
}

// New returns a pool for a deployment with these header fields.
func New(te terms.Terms) *Pool { return &Pool{terms: te, hosts: map[hop.Upstream]*host{}} }

// sweepEvery is the time between two looks for connections that are too old.
const sweepEvery = time.Second

// Run closes connections that are too old until ctx ends, and then all.
func (po *Pool) Run(ctx context.Context) {
	tk := time.NewTicker(sweepEvery)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			po.sweep(time.Now().Add(time.Hour))
			return
		case now := <-tk.C:
			po.sweep(now)
		}
	}
}

func (po *Pool) sweep(now time.Time) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for up, ho := range po.hosts {
		if ho.sweep(now) == 0 {
			delete(po.hosts, up)
		}
	}
}

func (po *Pool) host(up hop.Upstream) *host {
	po.mu.Lock()
	defer po.mu.Unlock()
	ho := po.hosts[up]
	if ho == nil {
		ho = &host{}
		po.hosts[up] = ho
	}
	return ho
}

// Send sends the request and reads the header of the answer.
func (po *Pool) Send(ctx context.Context, rq Request, at hop.Attempt) (hop.Answer, error) {
	ho := po.host(at.Upstream)
	co := ho.take(time.Now())
	if co == nil {
		var err error
		if co, err = dial(ctx, at.Upstream.Address); err != nil {
			return nil, fmt.Errorf("%w: %w", hop.ErrNotSent, err)
		}
	}
	if err := ctx.Err(); err != nil {
		ho.put(co)
		return nil, fmt.Errorf("%w: %w", hop.ErrNotSent, err)
	}
	// The deadline of the connection also ends writes and reads in progress.
	stop := context.AfterFunc(ctx, func() { _ = co.Close() })
	an := &answer{pool: po, host: ho, conn: co, stop: stop}
	if err := po.exchange(an, rq, at); err != nil {
		an.drop()
		return nil, err
	}
	if an.notRun {
		an.Close()
		return nil, fmt.Errorf("%w: status %d", hop.ErrNotRun, an.resp.StatusCode)
	}
	return an, nil
}

// exchange writes the request and reads the header of its answer.
func (po *Pool) exchange(an *answer, rq Request, at hop.Attempt) error {
	head := po.head(rq, at)
	if len(rq.Body) <= inlineBody {
		head.Write(rq.Body)
		n, err := an.conn.Write(head.Bytes())
		if err != nil && n == 0 {
			return fmt.Errorf("%w: %w", hop.ErrNotSent, err)
		}
		if err != nil {
			return fmt.Errorf("%w: write: %w", hop.ErrBroken, err)
		}
		return an.readHeader(rq)
	}
	n, err := an.conn.Write(head.Bytes())
	if err != nil && n == 0 {
		return fmt.Errorf("%w: %w", hop.ErrNotSent, err)
	}
	if err != nil {
		return fmt.Errorf("%w: write: %w", hop.ErrBroken, err)
	}
	an.written = make(chan error, 1)
	go func(co *conn, body []byte, done chan<- error) {
		_, err := co.Write(body)
		done <- err
	}(an.conn, rq.Body, an.written)
	return an.readHeader(rq)
}

// head returns the request line and the header.
func (po *Pool) head(rq Request, at hop.Attempt) *bytes.Buffer {
	hd := rq.Header.Clone()
	hd.Del("Authorization")
	for _, name := range po.terms.Private {
		hd.Del(name)
	}
	set := func(name, val string) {
		if name != "" {
			hd.Set(name, val)
		}
	}
	hd.Del(po.terms.Account)
	if at.Account != "" {
		set(po.terms.Account, string(at.Account))
	}
	set(po.terms.RequestID, rq.ID)
	set(po.terms.Instance, string(at.Upstream.ID))
	left := max(1, time.Until(at.Deadline).Milliseconds())
	set(po.terms.TimeLeft, strconv.FormatInt(left, 10))
	hd.Del(po.terms.Urgency)
	if hd.Get(po.terms.Model) != "" {
		set(po.terms.Urgency, strconv.Itoa(at.Urgency))
	}
	hd.Del(po.terms.After)
	if at.After >= 0 {
		set(po.terms.After, strconv.FormatInt(at.After, 10))
	}
	if len(rq.Body) > 0 || rq.Method == http.MethodPost || rq.Method == http.MethodPut || rq.Method == http.MethodPatch {
		hd.Set("Content-Length", strconv.Itoa(len(rq.Body)))
	}
	buf := &bytes.Buffer{}
	buf.Grow(1024 + min(len(rq.Body), inlineBody))
	buf.WriteString(rq.Method + " " + rq.Target + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	// A bytes.Buffer returns no errors.
	_ = hd.Write(buf)
	buf.WriteString("\r\n")
	return buf
}
