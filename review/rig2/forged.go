package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// actionInterval is the time between two actions.
	actionInterval = 25 * time.Millisecond
	actionCount    = 240
	// forgedAfter is the number of actions after which the other writer writes.
	forgedAfter = 80
	actionTime  = 30 * time.Millisecond
)

// runAction runs a request and answers with a body of its own.
func runAction(en *engine, wr http.ResponseWriter, re *http.Request) {
	id := re.Header.Get("Attempt-Id")
	en.fl.rec.printf("%s of service %s runs %s %s", en.id, en.service, re.Method, id)
	time.Sleep(actionTime)
	wr.Header().Set("Server-Stamp", "stamp-"+en.id)
	_, _ = fmt.Fprintf(wr, "done by a server of %s", en.service)
}

// forgedEntry lets another writer write one entry under the id of an engine: it names
// another service, and the fields Version, WarmupLeftMs and Sequence are missing.
func forgedEntry(ctx context.Context, fl *fleet, trouble bool) (verdict, error) {
	te := tenant{name: "huka270", key: "xd9dnn2ctnfzs989anu6", prepaid: 50_000_000}
	fl.configure(7, te)
	var engines []*engine
	for no := range 2 {
		en, err := fl.addEngine(fmt.Sprintf("i-7f3a91c%d", no), llm, runAction)
		if err != nil {
			return verdict{}, err
		}
		engines = append(engines, en)
		if _, err := fl.addEngine(fmt.Sprintf("i-aace57a%d", no), app, runAction); err != nil {
			return verdict{}, err
		}
	}
	if err := fl.addRouters(ctx, "edge-a-1", "edge-a-2"); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, contactTime+time.Second); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	wrong, served := 0, 0
	var group sync.WaitGroup
	for no := range actionCount {
		if trouble && no == forgedAfter {
			fl.rec.printf("another writer writes an entry under %s", engines[0].id)
			fl.store.Put("servers", engines[0].id, map[string]any{
				"Service": app, "Address": engines[0].addr, "Zone": "z-a", "Slots": engineSlots, "State": "ready",
			})
		}
		group.Go(func() {
			ca := call{id: fmt.Sprintf("v%04d", no), path: actionPath, key: te.key, deadline: 2500 * time.Millisecond}
			an := ca.send(ctx, fl.routers[no%len(fl.routers)])
			mu.Lock()
			defer mu.Unlock()
			if an.err != nil || an.status != http.StatusOK {
				return
			}
			served++
			if !strings.HasSuffix(an.body, app) {
				fl.rec.printf("%s got %q", ca.id, an.body)
				wrong++
			}
		})
		if err := sleep(ctx, actionInterval); err != nil {
			return verdict{}, err
		}
	}
	group.Wait()
	text := fmt.Sprintf("%d of %d served actions were run by service %s, to which no config sends them", wrong, served, llm)
	return verdict{broken: wrong > 0, text: text}, nil
}
