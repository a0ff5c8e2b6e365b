package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// restoredPrepaid is enough for 50 requests of restoredInput and four events.
	restoredPrepaid = 46_000
	restoredInput   = 900
	restoredOutput  = 100
	restoredEvents  = 4
	// After the drill the clients send perRound requests in each of so many rounds, one a
	// second.
	rounds   = 8
	perRound = 9
	// storeAway is how long the store is away in a drill.
	storeAway = time.Second
)

// restoredAfterStop spends most of a tenant's tokens through one router, restarts that
// router as planned, and lets the store return from a copy of the time before. Then the
// tenant's clients go on.
func restoredAfterStop(ctx context.Context, fl *fleet, trouble bool) (verdict, error) {
	desk := tenant{name: "huka270", key: "xd9dnn2ctnfzs989anu6", prepaid: restoredPrepaid}
	other := tenant{name: "jeye418", key: "wsjnbanfqasnmgkcuyj8", prepaid: 100 * restoredPrepaid}
	fl.configure(7, desk, other)
	for no := range 3 {
		if _, err := fl.addEngine(fmt.Sprintf("i-7f3a91c%d", no), llm, runStream(restoredEvents, 5*time.Millisecond)); err != nil {
			return verdict{}, err
		}
	}
	if err := fl.addRouters(ctx, "edge-a-1", "edge-a-2", "edge-a-3"); err != nil {
		return verdict{}, err
	}
	// The other tenant uses all routers all the time, so that all of them are at work.
	background, stopBackground := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for no := 0; sleep(background, 100*time.Millisecond) == nil; no++ {
			_ = restoredCall(fmt.Sprintf("b%04d", no), other).send(background, fl.routers[1+no%2])
		}
	}()
	defer func() {
		stopBackground()
		<-ended
	}()
	if err := sleep(ctx, contactTime+time.Second); err != nil {
		return verdict{}, err
	}
	co, copied := fl.store.Copy(), time.Now()
	fl.rec.printf("the copy is of this moment")
	spent := fl.spend(ctx, "p", desk, fl.routers[:1], 40)
	fl.routers[0].stop()
	if err := fl.routers[0].restart(ctx); err != nil {
		return verdict{}, err
	}
	if trouble {
		fl.rec.printf("the copy is %.1f s old", time.Since(copied).Seconds())
		if err := fl.drill(ctx, co, storeAway); err != nil {
			return verdict{}, err
		}
	}
	// All machines are in touch again after ContactMs.
	if err := sleep(ctx, 2*contactTime+time.Second); err != nil {
		return verdict{}, err
	}
	// Routers may draw nothing for three seconds after they have heard of the drill.
	again := 0
	for round := range rounds {
		again += fl.spend(ctx, fmt.Sprintf("q%d-", round), desk, fl.routers, perRound)
		if err := sleep(ctx, time.Second); err != nil {
			return verdict{}, err
		}
	}
	text := fmt.Sprintf("tenant %s got %d tokens before and %d after, %d in all, of %d prepaid", desk.name, spent, again, spent+again, desk.prepaid)
	return verdict{broken: spent+again > desk.prepaid, text: text}, nil
}

func restoredCall(id string, te tenant) call {
	return call{id: id, path: streamPath, key: te.key, input: restoredInput, output: restoredOutput, deadline: 5 * time.Second}
}

// spend sends requests of a tenant and returns the tokens that were delivered.
func (fl *fleet) spend(ctx context.Context, prefix string, te tenant, routers []*router, count int) int {
	var calls []call
	for no := range count {
		calls = append(calls, restoredCall(fmt.Sprintf("%s%04d", prefix, no), te))
	}
	sum := 0
	for no, an := range sendAll(ctx, routers, calls, 3) {
		sum += an.delivered(calls[no])
	}
	return sum
}
