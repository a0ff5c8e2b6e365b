package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	checkInInterval = 1200 * time.Millisecond
	engineSlots     = 64
	eventTokens     = 5
)

// serveFunc answers a request that an engine runs.
type serveFunc func(en *engine, wr http.ResponseWriter, re *http.Request)

// engine is a stand-in for an engine. It registers itself in the store and reports at
// each check-in.
type engine struct {
	fl      *fleet
	id      string
	service string
	addr    string
	serve   serveFunc
	stopped chan struct{}
	beats   sync.WaitGroup

	mu       sync.Mutex
	server   *http.Server
	born     int64
	sequence int
	up       bool
	draining bool
	// lost receives the next check-in, which gets no answer, or is nil.
	lost chan func()
}

func newEngine(fl *fleet, id, service string, serve serveFunc) (*engine, error) {
	en := &engine{fl: fl, id: id, service: service, serve: serve, stopped: make(chan struct{})}
	if err := en.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	en.beats.Go(en.checkIn)
	return en, nil
}

// listen begins a lifetime at the address.
func (en *engine) listen(addr string) error {
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(en.handle), ReadHeaderTimeout: time.Minute}
	en.mu.Lock()
	en.addr, en.server, en.up = ls.Addr().String(), server, true
	en.born, en.sequence = time.Now().UnixMilli(), 0
	en.mu.Unlock()
	go func() { _ = server.Serve(ls) }()
	en.report()
	return nil
}

// report writes the engine's entry.
func (en *engine) report() {
	en.mu.Lock()
	defer en.mu.Unlock()
	if !en.up {
		return
	}
	en.sequence++
	entry := en.entry()
	if en.lost != nil {
		en.lost <- func() { en.fl.store.Put("servers", en.id, entry) }
		en.lost = nil
		return
	}
	en.fl.store.Put("servers", en.id, entry)
}

// entry returns what the engine says of itself.
func (en *engine) entry() map[string]any {
	state := "ready"
	if en.draining {
		state = "draining"
	}
	return map[string]any{
		"Service": en.service, "Address": en.addr, "Zone": "z-a", "Version": "v1", "Slots": engineSlots, "State": state,
		"WarmupLeftMs": 0, "Stage": "prefill_decode", "Sequence": en.sequence, "born": en.born,
	}
}

// loseNext makes the next check-in get no answer. It returns a channel that then
// receives what performs it later.
func (en *engine) loseNext() <-chan func() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.lost = make(chan func(), 1)
	return en.lost
}

// drain makes the engine report that it leaves.
func (en *engine) drain() {
	en.mu.Lock()
	en.draining = true
	en.mu.Unlock()
	en.report()
}

func (en *engine) checkIn() {
	tk := time.NewTicker(checkInInterval)
	defer tk.Stop()
	for {
		select {
		case <-en.stopped:
			return
		case <-tk.C:
			en.report()
		}
	}
}

// crash ends the lifetime: the listener and all channels are closed.
func (en *engine) crash() {
	en.mu.Lock()
	server := en.server
	en.up = false
	en.mu.Unlock()
	_ = server.Close()
}

func (en *engine) close() {
	close(en.stopped)
	en.beats.Wait()
	en.crash()
}

// handle rejects requests for other instances, as the protocol says, and serves the rest.
func (en *engine) handle(wr http.ResponseWriter, re *http.Request) {
	id := re.Header.Get("Attempt-Id")
	wr.Header().Set("Attempt-Id", id)
	if want := re.Header.Get("Expect-Instance"); want != "" && want != en.id {
		wr.Header().Set("Not-Executed", "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	en.serve(en, wr, re)
}

// runStream runs a request and streams events with so many tokens each.
func runStream(events int, gap time.Duration) serveFunc {
	return func(en *engine, wr http.ResponseWriter, re *http.Request) {
		en.fl.rec.printf("%s runs %s for tenant %s", en.id, re.Header.Get("Attempt-Id"), re.Header.Get("Tenant"))
		wr.Header().Set("Server-Stamp", "stamp-"+en.id)
		wr.Header().Set("Content-Type", "text/event-stream")
		from := 1
		if last, err := strconv.Atoi(re.Header.Get("Last-Event-Id")); err == nil {
			from = last + 1
		}
		for no := from; no <= events; no++ {
			if _, err := fmt.Fprintf(wr, "id: %d\ndata: xxxxxxxxxx\n\n", no); err != nil {
				return
			}
			_ = http.NewResponseController(wr).Flush()
			time.Sleep(gap)
		}
	}
}
