package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/opstor"
)

const (
	deadlyPart = "dead0c0d"
	// outage is how long the store is down.
	outage = 6 * time.Second
	// backAfter is the time after which an engine that has crashed is back.
	backAfter = 1500 * time.Millisecond
	// crashesBefore is the number of crashes after which deadly requests are counted, and
	// allowedDeadly is the number of deadly requests that may reach engines.
	crashesBefore = 5
	allowedDeadly = 3
	deadlyEngines = 8
	// deadlyInterval is the time between two deadly requests at the end.
	deadlyInterval = 100 * time.Millisecond
	deadlyCount    = 60
	// The prompts are those of the longest kind of request of the site, which an engine
	// reads at 38.1 tokens in a ms.
	deadlyShared = 6300
	deadlyOwn    = 2890
	prefillTime  = 240 * time.Millisecond
)

// deadlyLog counts what deadly requests did to engines.
type deadlyLog struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
}

func (dl *deadlyLog) crashed() (count int) {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	return len(dl.crashes)
}

// since returns how many deadly requests have reached engines since the time, later than
// ContactMs after the fifth crash.
func (dl *deadlyLog) since(from time.Time) int {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	if len(dl.crashes) < crashesBefore {
		return 0
	}
	if at := dl.crashes[crashesBefore-1].Add(contactTime); at.After(from) {
		from = at
	}
	count := 0
	for _, at := range dl.arrivals {
		if at.After(from) {
			count++
		}
	}
	return count
}

// serve crashes the engine as it begins to write an answer on the deadly part.
func (dl *deadlyLog) serve(sound serveFunc) serveFunc {
	return func(en *engine, wr http.ResponseWriter, re *http.Request) {
		deadly := strings.Contains(re.Header.Get("Prompt-Prefix"), deadlyPart)
		if deadly {
			dl.mu.Lock()
			dl.arrivals = append(dl.arrivals, time.Now())
			dl.mu.Unlock()
			en.fl.rec.printf("%s gets %s", en.id, re.Header.Get("Attempt-Id"))
		}
		time.Sleep(prefillTime)
		if !deadly {
			sound(en, wr, re)
			return
		}
		dl.mu.Lock()
		dl.crashes = append(dl.crashes, time.Now())
		dl.mu.Unlock()
		en.fl.rec.printf("%s crashes under %s", en.id, re.Header.Get("Attempt-Id"))
		addr := en.addr
		wr.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(wr).Flush()
		en.crash()
		time.AfterFunc(backAfter, func() {
			select {
			case <-en.stopped:
			default:
				_ = en.listen(addr)
			}
		})
	}
}

// deadlyPartAfterOutage lets engines crash under a part of prompts while the store is
// down. Then the store is back, all machines are in touch, and requests with the part go
// on at all machines.
func deadlyPartAfterOutage(ctx context.Context, fl *fleet, trouble bool) (verdict, error) {
	te := tenant{name: "huka270", key: "xd9dnn2ctnfzs989anu6", prepaid: 50_000_000}
	fl.configure(7, te)
	dl := &deadlyLog{}
	for no := range deadlyEngines {
		if _, err := fl.addEngine(fmt.Sprintf("i-7f3a91c%d", no), llm, dl.serve(runStream(restoredEvents, 5*time.Millisecond))); err != nil {
			return verdict{}, err
		}
	}
	if err := fl.addRouters(ctx, "edge-a-1", "edge-a-2", "edge-a-3", "edge-a-4"); err != nil {
		return verdict{}, err
	}
	deadly := func(no int) call { return promptCall(fmt.Sprintf("d%04d", no), te, deadlyPart) }
	sound := func(no int) call { return promptCall(fmt.Sprintf("s%04d", no), te, "91bd3f06") }
	// Sound requests share the first part.
	sendAll(ctx, fl.routers, []call{sound(0), sound(1), sound(2), sound(3)}, 4)
	if err := sleep(ctx, contactTime+time.Second); err != nil {
		return verdict{}, err
	}
	if trouble {
		fl.rec.printf("the store is down")
		fl.store.SetFaults(func(string) opstor.Fault { return opstor.Down })
	}
	began := time.Now()
	// Three machines get requests with the part meanwhile.
	for no := range 12 {
		deadly(no).send(ctx, fl.routers[no%3])
		if err := sleep(ctx, 300*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	if err := sleep(ctx, outage-time.Since(began)); err != nil {
		return verdict{}, err
	}
	fl.store.SetFaults(func(string) opstor.Fault { return opstor.None })
	fl.rec.printf("the store is up, %d crashes so far", dl.crashed())
	if trouble && dl.crashed() < crashesBefore {
		return verdict{}, fmt.Errorf("only %d crashes", dl.crashed())
	}
	if err := sleep(ctx, 2*contactTime+time.Second); err != nil {
		return verdict{}, err
	}
	from := time.Now()
	fl.rec.printf("all machines are in touch")
	var group sync.WaitGroup
	for no := range deadlyCount {
		group.Go(func() { deadly(100+no).send(ctx, fl.routers[(3+no)%len(fl.routers)]) })
		group.Go(func() { sound(100+no).send(ctx, fl.routers[no%len(fl.routers)]) })
		if err := sleep(ctx, deadlyInterval); err != nil {
			return verdict{}, err
		}
	}
	group.Wait()
	count := dl.since(from)
	text := fmt.Sprintf("%d requests with the part reached engines from machines in touch, later than ContactMs after the fifth crash; %d crashes in all", count, dl.crashed())
	return verdict{broken: count > allowedDeadly, text: text}, nil
}

// promptCall returns a request of a tenant whose prompt has the part.
func promptCall(id string, te tenant, part string) call {
	return call{
		id: id, path: streamPath, key: te.key, input: deadlyShared + deadlyOwn, output: restoredOutput, deadline: 5 * time.Second,
		parts: fmt.Sprintf("5c1e07a2:%d,%s:%d,%s:%d", deadlyShared/2, part, deadlyShared-deadlyShared/2, id, deadlyOwn),
	}
}
