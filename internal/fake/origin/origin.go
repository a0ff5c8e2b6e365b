// Package origin is a stand-in for an upstream that a router calls directly. It
// serves plain requests and streams of events, records the requests that it ran,
// and injects faults. It is written from the published protocol.
package origin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is an injected failure of one request.
type Fault int

const (
	// None injects no failure.
	None Fault = iota
	// Shed does not run the request and says so in the response.
	Shed
	// ShedQuietly is Shed, and asks for no request for 2 s.
	ShedQuietly
	// Fail runs the request and responds with status 500.
	Fail
	// Reset runs the request and closes the connection without a response.
	Reset
	// Cut runs the request and closes the connection in the middle of the response.
	Cut
	// ExtraResponse sends a second response after the first one.
	ExtraResponse
	// WrongAttemptID responds with the attempt id of another request.
	WrongAttemptID
	// Garbage sends bytes that are not an HTTP response.
	Garbage
	// EarlyResponse responds before it reads the request body, which it then
	// discards without recording the request.
	EarlyResponse
	// Hang runs the request and sends no response.
	Hang
	// UnacceptedEncoding responds with a content encoding that the request does
	// not accept.
	UnacceptedEncoding
	// Crash starts a response and ends the upstream: all its connections are closed
	// and new ones are refused.
	Crash
	// CrashAfterEvent is Crash after the first event of the response.
	CrashAfterEvent
)

// crashDelay is the time between the first event and the end of an upstream.
const crashDelay = 5 * time.Millisecond

// Run records a request that was run.
type Run struct {
	ID, Method, Target, Body string
	Header                   http.Header
}

// Origin is an HTTP server that acts as an upstream.
type Origin struct {
	ID     string
	ls     net.Listener
	events int
	gap    time.Duration

	mu      sync.Mutex
	fault   func(id string) Fault
	crashed chan struct{}
	runs    []Run
	arrived int
	conns   map[net.Conn]bool
	leaving bool
	aborted chan string
	done    sync.WaitGroup
	// crash closes crashed once.
	crash sync.Once
}

// New starts an upstream on loopback. Its streams have the given number of events
// and a pause of gap after each event.
func New(id string, events int, gap time.Duration) (*Origin, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	or := &Origin{
		ID: id, ls: ls, events: events, gap: gap, conns: map[net.Conn]bool{},
		fault: func(string) Fault { return None }, aborted: make(chan string, 64), crashed: make(chan struct{}),
	}
	or.done.Go(or.accept)
	return or, nil
}

// Addr returns IP:PORT.
func (or *Origin) Addr() string { return or.ls.Addr().String() }

// SetFaults installs a function that returns the fault of each request by its
// attempt id.
func (or *Origin) SetFaults(fault func(id string) Fault) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.fault = fault
}

// SetLeaving sets whether the upstream announces in its responses that it leaves.
func (or *Origin) SetLeaving(leaving bool) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.leaving = leaving
}

// announcement returns the header field that announces that the upstream leaves, or
// nothing.
func (or *Origin) announcement() string {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.leaving {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

// Runs returns the requests that were run so far.
func (or *Origin) Runs() []Run {
	or.mu.Lock()
	defer or.mu.Unlock()
	return append([]Run(nil), or.runs...)
}

// Arrived returns the number of requests that arrived, run or not.
func (or *Origin) Arrived() int {
	or.mu.Lock()
	defer or.mu.Unlock()
	return or.arrived
}

// OpenConns returns the number of open connections.
func (or *Origin) OpenConns() int {
	or.mu.Lock()
	defer or.mu.Unlock()
	return len(or.conns)
}

// Aborted receives the attempt id of each request whose connection was closed by
// the router before the response was complete.
func (or *Origin) Aborted() <-chan string { return or.aborted }

// Close stops the upstream and closes all connections.
func (or *Origin) Close() {
	or.closeSockets()
	or.done.Wait()
}

func (or *Origin) closeSockets() {
	_ = or.ls.Close()
	or.mu.Lock()
	defer or.mu.Unlock()
	for nc := range or.conns {
		_ = nc.Close()
	}
}

// Crashed is closed when the fault Crash has ended the upstream.
func (or *Origin) Crashed() <-chan struct{} { return or.crashed }

func (or *Origin) accept() {
	for {
		nc, err := or.ls.Accept()
		if err != nil {
			return
		}
		or.mu.Lock()
		or.conns[nc] = true
		or.mu.Unlock()
		or.done.Go(func() {
			or.serve(nc)
			_ = nc.Close()
			or.mu.Lock()
			delete(or.conns, nc)
			or.mu.Unlock()
		})
	}
}

func (or *Origin) serve(nc net.Conn) {
	br := bufio.NewReader(nc)
	for {
		re, err := http.ReadRequest(br)
		if err != nil || !or.handle(nc, br, re) {
			return
		}
	}
}

// handle serves one request and reports whether the connection stays usable.
func (or *Origin) handle(nc net.Conn, br *bufio.Reader, re *http.Request) bool {
	id := re.Header.Get("Attempt-Id")
	or.mu.Lock()
	or.arrived++
	fault := or.fault(id)
	or.mu.Unlock()
	if want := re.Header.Get("Expect-Instance"); want != or.ID {
		_, _ = io.Copy(io.Discard, re.Body)
		return or.writeResponse(nc, "421 Misdirected Request", id, "Instance-Id: "+or.ID+"\r\n", "")
	}
	if fault == Shed || fault == ShedQuietly {
		_, _ = io.Copy(io.Discard, re.Body)
		fields := "Not-Executed: 1\r\n"
		if fault == ShedQuietly {
			fields += "Retry-After: 2\r\n"
		}
		return or.writeResponse(nc, "503 Service Unavailable", id, fields, "")
	}
	if fault == EarlyResponse {
		or.writeResponse(nc, "200 OK", id, "Server-Stamp: s\r\n", "early")
		_, _ = io.Copy(io.Discard, re.Body)
		return true
	}
	body, err := io.ReadAll(re.Body)
	if err != nil {
		return false
	}
	or.mu.Lock()
	or.runs = append(or.runs, Run{ID: id, Method: re.Method, Target: re.RequestURI, Body: string(body), Header: re.Header.Clone()})
	or.mu.Unlock()
	switch fault {
	case Reset:
		return false
	case Fail:
		return or.writeResponse(nc, "500 Internal Server Error", id, "Server-Stamp: s\r\n", "failed")
	case Garbage:
		_, _ = io.WriteString(nc, "\x00\x01 no answer\r\n\r\n")
		return false
	case WrongAttemptID:
		return or.writeResponse(nc, "200 OK", "other", "Server-Stamp: s\r\n", "other")
	case UnacceptedEncoding:
		return or.writeResponse(nc, "200 OK", id, "Content-Encoding: gzip\r\n", "zipped")
	case Crash, CrashAfterEvent:
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		if fault == CrashAfterEvent {
			_, _ = io.WriteString(nc, eventChunk(0))
			// The event is read before the connection ends.
			time.Sleep(crashDelay)
		}
		or.crash.Do(func() { close(or.crashed) })
		or.closeSockets()
		return false
	case Hang:
		_, _ = br.Peek(1)
		or.notifyAborted(id)
		return false
	}
	if re.Header.Get("Token-Counts") != "" {
		return or.writeEvents(nc, re, id, fault)
	}
	text := "answer to " + id
	if fault == Cut {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text[:3])
		return false
	}
	ok := or.writeResponse(nc, "200 OK", id, "Server-Stamp: s\r\nInstance-Load: 1,0,8\r\n", text)
	if fault == ExtraResponse {
		or.writeResponse(nc, "200 OK", id, "Server-Stamp: s\r\n", "extra")
	}
	return ok
}

func (or *Origin) writeResponse(nc net.Conn, status, id, fields, body string) bool {
	_, err := fmt.Fprintf(nc, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, fields+or.announcement(), len(body), body)
	return err == nil
}

// writeEvents streams the events after the one in Last-Event-Id, or all of them
// without that header. It reports whether the connection stays usable.
func (or *Origin) writeEvents(nc net.Conn, re *http.Request, id string, fault Fault) bool {
	from := 0
	if last, err := strconv.Atoi(re.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s-%s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, or.ID, or.announcement())
	for num := from; num < or.events && err == nil; num++ {
		if fault == Cut && num >= or.events/2 {
			_, _ = io.WriteString(nc, "7\r\nid: 99\n\r\n")
			return false
		}
		_, err = io.WriteString(nc, eventChunk(num))
		time.Sleep(or.gap)
	}
	if err == nil {
		_, err = io.WriteString(nc, "0\r\n\r\n")
	}
	if err != nil {
		or.notifyAborted(id)
	}
	return err == nil
}

// eventChunk returns an event of a stream as a chunk.
func eventChunk(num int) string {
	ev := fmt.Sprintf("id: %d\ndata: %s\n\n", num, strings.Repeat("x", 10))
	return fmt.Sprintf("%x\r\n%s\r\n", len(ev), ev)
}

func (or *Origin) notifyAborted(id string) {
	select {
	case or.aborted <- id:
	default:
	}
}
