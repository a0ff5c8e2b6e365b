package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Request is a request that reached an engine.
type Request struct {
	*http.Request
	ID   string
	Body string
	At   time.Time
}

// Parts returns the ids of the prompt's parts in order.
func (rq Request) Parts() []string {
	var ids []string
	for entry := range strings.SplitSeq(rq.Header.Get("Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, id)
	}
	return ids
}

// Answer writes the response to a request that the engine runs or rejects. It reports
// whether the connection stays open.
type Answer func(en *Engine, nc net.Conn, rq Request) bool

// Engine is an HTTP server that answers as the function of a case says. It rejects
// requests that are for another instance.
type Engine struct {
	Service string
	Addr    string
	record  *Record
	answer  Answer

	mu       sync.Mutex
	id       string
	ls       net.Listener
	conns    map[net.Conn]bool
	born     time.Time
	sequence int
	running  sync.WaitGroup
}

// NewEngine starts an engine on loopback.
func NewEngine(id, service string, rc *Record, answer Answer) (*Engine, error) {
	en := &Engine{Service: service, Addr: "127.0.0.1:0", record: rc, answer: answer, id: id, conns: map[net.Conn]bool{}}
	return en, en.Start()
}

// ID returns the id of the instance.
func (en *Engine) ID() string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.id
}

// Start listens on the address, which stays the same after a stop. A start is a new
// lifetime of the instance.
func (en *Engine) Start() error {
	ls, err := net.Listen("tcp", en.Addr)
	if err != nil {
		return err
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.Addr, en.ls, en.born, en.sequence = ls.Addr().String(), ls, time.Now(), 0
	en.running.Go(func() { en.accept(ls) })
	return nil
}

// Stop closes the listener and all connections at once, as the end of the process does.
// It reports false if the engine is down already.
func (en *Engine) Stop() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.ls == nil {
		return false
	}
	_ = en.ls.Close()
	en.ls = nil
	for nc := range en.conns {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
	return true
}

// report returns what the engine writes to the store with each check-in, or nil while
// it is down.
func (en *Engine) report(state string) map[string]any {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.ls == nil {
		return nil
	}
	en.sequence++
	return map[string]any{
		"Service": en.Service, "Address": en.Addr, "Zone": Zone, "Version": "1", "Slots": 8,
		"State": state, "WarmupLeftMs": 0, "Sequence": en.sequence, "born": en.born.UnixMilli(),
	}
}

func (en *Engine) accept(ls net.Listener) {
	for {
		nc, err := ls.Accept()
		if err != nil {
			return
		}
		en.mu.Lock()
		alive := en.ls == ls
		if alive {
			en.conns[nc] = true
		}
		en.mu.Unlock()
		if !alive {
			_ = nc.Close()
			return
		}
		en.running.Go(func() {
			en.serve(nc)
			_ = nc.Close()
			en.mu.Lock()
			delete(en.conns, nc)
			en.mu.Unlock()
		})
	}
}

func (en *Engine) serve(nc net.Conn) {
	br := bufio.NewReader(nc)
	for {
		re, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(re.Body)
		if err != nil {
			return
		}
		rq := Request{Request: re, ID: re.Header.Get("Attempt-Id"), Body: string(body), At: time.Now()}
		if want := re.Header.Get("Expect-Instance"); want != "" && want != en.ID() {
			Write(nc, 421, rq.ID, []string{"Not-Executed: 1"}, "")
			continue
		}
		if !en.answer(en, nc, rq) {
			return
		}
	}
}

// Write writes a complete response, and reports whether that succeeded. A response
// that says that the request was run has a Server-Stamp among its fields.
func Write(nc net.Conn, status int, id string, fields []string, body string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n", status, http.StatusText(status), id)
	for _, field := range fields {
		text += field + "\r\n"
	}
	_, err := fmt.Fprintf(nc, "%sContent-Length: %d\r\n\r\n%s", text, len(body), body)
	return err == nil
}

// StreamHead is the header of a stream in chunks.
func StreamHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
}

// Event is one event of a stream as a chunk.
func Event(number int) string {
	ev := fmt.Sprintf("id: %d\ndata: token\n\n", number)
	return fmt.Sprintf("%x\r\n%s\r\n", len(ev), ev)
}

// Stream answers with a stream of numbered events, and reports whether it was written
// completely.
func Stream(nc net.Conn, id string, events int, gap time.Duration) bool {
	if _, err := io.WriteString(nc, StreamHead(id)); err != nil {
		return false
	}
	for no := range events {
		if _, err := io.WriteString(nc, Event(no)); err != nil {
			return false
		}
		time.Sleep(gap)
	}
	_, err := io.WriteString(nc, "0\r\n\r\n")
	return err == nil
}

// SetID gives the next lifetime of the instance another id.
func (en *Engine) SetID(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.id = id
}
