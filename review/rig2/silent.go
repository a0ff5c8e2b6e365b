package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// tokensPerMs is the rate at which an engine of the site reads a prompt.
	tokensPerMs = 38.1
	// silentEvents is the number of events of a stream, and silentAfter the event after
	// which the engine falls silent.
	silentEvents = 10
	silentAfter  = 4
	silentGap    = 60 * time.Millisecond
	// silentFor is how long a sound engine says nothing.
	silentFor = 1500 * time.Millisecond
	// stopWithin is the time within which the engine before has to stop.
	stopWithin = 400 * time.Millisecond
	// The prompts have the two shared parts of the kind of request monthly-summary, which
	// are at most 6,290 and 11,300 tokens long on its sheet, and an own part of the mean
	// length.
	silentSet     = 4_500
	silentSubject = 10_500
	silentShared  = silentSet + silentSubject
	silentOwn     = 2_890
	silentCalls   = 6
)

// span is the work of one engine on one request.
type span struct {
	engine   string
	from, to time.Time
	resumed  bool
}

// workLog holds the work of all engines.
type workLog struct {
	mu     sync.Mutex
	spans  map[string][]*span
	cached map[string]bool
	silent func(id string) bool
	fell   map[string]bool
}

func (wl *workLog) begin(en *engine, id string, resumed bool) *span {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	sp := &span{engine: en.id, from: time.Now(), resumed: resumed}
	wl.spans[id] = append(wl.spans[id], sp)
	return sp
}

func (wl *workLog) end(sp *span) {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	sp.to = time.Now()
}

// prefill returns how long the engine reads a prompt. It keeps the shared parts of each
// prompt that it has read.
func (wl *workLog) prefill(en *engine, prompt string) time.Duration {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	shared := prompt[:max(0, strings.LastIndex(prompt, ","))]
	key, tokens := en.id+" "+shared, silentOwn
	if !wl.cached[key] {
		tokens += silentShared
	}
	wl.cached[key] = true
	return time.Duration(float64(tokens) / tokensPerMs * float64(time.Millisecond))
}

// fallsSilent reports whether the engine falls silent in this run. It does once for each
// request.
func (wl *workLog) fallsSilent(id string) bool {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	if !wl.silent(id) || wl.fell[id] {
		return false
	}
	wl.fell[id] = true
	return true
}

// serve runs a stream, which may fall silent in its middle and goes on then.
func (wl *workLog) serve(en *engine, wr http.ResponseWriter, re *http.Request) {
	id, ctx := re.Header.Get("Attempt-Id"), re.Context()
	from := 1
	last, err := strconv.Atoi(re.Header.Get("Last-Event-Id"))
	if err == nil {
		from = last + 1
	}
	sp := wl.begin(en, id, err == nil)
	en.fl.rec.printf("%s begins to work on %s from event %d", en.id, id, from)
	defer func() {
		wl.end(sp)
		en.fl.rec.printf("%s has stopped to work on %s", en.id, id)
	}()
	if sleep(ctx, wl.prefill(en, re.Header.Get("Prompt-Prefix"))) != nil {
		return
	}
	wr.Header().Set("Server-Stamp", "stamp-"+en.id)
	wr.Header().Set("Content-Type", "text/event-stream")
	for no := from; no <= silentEvents; no++ {
		if no == silentAfter+1 && wl.fallsSilent(id) {
			en.fl.rec.printf("%s is silent in the middle of %s", en.id, id)
			if sleep(ctx, silentFor) != nil {
				return
			}
		}
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: xxxxxxxxxx\n\n", no); err != nil {
			return
		}
		_ = http.NewResponseController(wr).Flush()
		if sleep(ctx, silentGap) != nil {
			return
		}
	}
}

// overlaps returns the requests that went on at another engine while the one before still
// worked on them stopWithin later, and the longest time for which both did.
func (wl *workLog) overlaps() (ids []string, longest time.Duration) {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	for id, sps := range wl.spans {
		for no, sp := range sps[1:] {
			end := sps[no].to
			if sp.to.Before(end) {
				end = sp.to
			}
			if overlap := end.Sub(sp.from); sp.resumed && overlap > stopWithin {
				ids = append(ids, id)
				longest = max(longest, overlap)
			}
		}
	}
	return ids, longest
}

// silentEngine lets a sound engine fall silent for a while in the middle of streams that
// may be resumed.
func silentEngine(ctx context.Context, fl *fleet, trouble bool) (verdict, error) {
	te := tenant{name: "huka270", key: "xd9dnn2ctnfzs989anu6", prepaid: 50_000_000}
	fl.configure(7, te)
	wl := &workLog{spans: map[string][]*span{}, cached: map[string]bool{}, fell: map[string]bool{}}
	wl.silent = func(id string) bool { return trouble && strings.HasPrefix(id, "q") }
	for no := range 2 + silentCalls {
		if _, err := fl.addEngine(fmt.Sprintf("i-7f3a91c%d", no), llm, wl.serve); err != nil {
			return verdict{}, err
		}
	}
	if err := fl.addRouters(ctx, "edge-a-1", "edge-a-2"); err != nil {
		return verdict{}, err
	}
	ask := func(prefix string, no int) {
		id := fmt.Sprintf("%s%04d", prefix, no)
		ca := call{id: id, path: streamPath, key: te.key, input: silentShared + silentOwn, output: restoredOutput, deadline: 5 * time.Second}
		ca.parts = fmt.Sprintf("5c1e07a2:%d,91bd3f0%d:%d,%s:%d", silentSet, no, silentSubject, id, silentOwn)
		_ = ca.send(ctx, fl.routers[0])
	}
	if err := sleep(ctx, contactTime+time.Second); err != nil {
		return verdict{}, err
	}
	// The first request about each subject lets an engine read its part.
	for no := range silentCalls {
		ask("p", no)
		ask("q", no)
	}
	ids, longest := wl.overlaps()
	text := fmt.Sprintf("%d of %d requests went on at another engine while the one before still worked on them, both for up to %.3f s", len(ids), silentCalls, longest.Seconds())
	return verdict{broken: len(ids) > 0, text: text}, nil
}
