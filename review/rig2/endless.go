package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// endlessPrepaid is enough for twelve requests of endlessInput and endlessOutput.
	endlessPrepaid = 12_000
	endlessInput   = 900
	endlessOutput  = 50
	endlessEvents  = endlessOutput / eventTokens
	endlessGap     = 2 * time.Millisecond
	endlessCalls   = 8
)

// endlessStream lets one of two engines go on with a stream without end.
func endlessStream(ctx context.Context, fl *fleet, trouble bool) (verdict, error) {
	te := tenant{name: "huka270", key: "xd9dnn2ctnfzs989anu6", prepaid: endlessPrepaid}
	fl.configure(7, te)
	serve := func(events int) serveFunc {
		return func(en *engine, wr http.ResponseWriter, re *http.Request) {
			id := re.Header.Get("Attempt-Id")
			en.fl.rec.printf("%s runs %s, Token-Counts %s", en.id, id, re.Header.Get("Token-Counts"))
			wr.Header().Set("Server-Stamp", "stamp-"+en.id)
			wr.Header().Set("Content-Type", "text/event-stream")
			for no := 1; events == 0 || no <= events; no++ {
				if _, err := fmt.Fprintf(wr, "id: %d\ndata: xxxxxxxxxx\n\n", no); err != nil || re.Context().Err() != nil {
					en.fl.rec.printf("%s has sent %d events of %s", en.id, no, id)
					return
				}
				_ = http.NewResponseController(wr).Flush()
				time.Sleep(endlessGap)
			}
		}
	}
	faulty := endlessEvents
	if trouble {
		faulty = 0
	}
	for no, events := range []int{endlessEvents, faulty} {
		if _, err := fl.addEngine(fmt.Sprintf("i-7f3a91c%d", no), llm, serve(events)); err != nil {
			return verdict{}, err
		}
	}
	if err := fl.addRouters(ctx, "edge-a-1", "edge-a-2"); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, contactTime+time.Second); err != nil {
		return verdict{}, err
	}
	got := 0
	for no := range endlessCalls {
		ca := call{id: fmt.Sprintf("e%04d", no), path: streamPath, key: te.key, input: endlessInput, output: endlessOutput, deadline: 5 * time.Second}
		ca.parts = fmt.Sprintf("5c1e07a%d:%d,%s:%d", no, endlessInput/2, ca.id, endlessInput-endlessInput/2)
		an := ca.send(ctx, fl.routers[no%len(fl.routers)])
		// Only events that arrived whole are counted, also if the stream broke off.
		if an.status == http.StatusOK {
			got += endlessInput + eventTokens*strings.Count(an.body, "\n\n")
		}
	}
	text := fmt.Sprintf("tenant %s got %d tokens in %d requests of at most %d, of %d prepaid", te.name, got, endlessCalls, endlessInput+endlessOutput, te.prepaid)
	return verdict{broken: got > te.prepaid, text: text}, nil
}
