package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// lateFor is how much later the store performs the check-in that it has not answered.
	lateFor = 5300 * time.Millisecond
	// leavesFrom is when the engine reports that it leaves, after the lost answer. The
	// store has been without impairment for ContactMs by then.
	leavesFrom = contactTime + 100*time.Millisecond
	// drainTime is DrainMs of the site.
	drainTime = 2 * time.Second
	// leavesAfter is how long the engine goes on after it has reported that it leaves.
	leavesAfter = 5 * time.Second
)

// arrivalLog holds when requests reached an engine.
type arrivalLog struct {
	mu sync.Mutex
	at []time.Time
}

func (al *arrivalLog) add() {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.at = append(al.at, time.Now())
}

// after returns how many requests have arrived after the time.
func (al *arrivalLog) after(from time.Time) int {
	al.mu.Lock()
	defer al.mu.Unlock()
	count := 0
	for _, at := range al.at {
		if at.After(from) {
			count++
		}
	}
	return count
}

// lateCheckIn lets the store perform one check-in of an engine seconds later, when the
// engine has reported that it leaves.
func lateCheckIn(ctx context.Context, fl *fleet, trouble bool) (verdict, error) {
	te := tenant{name: "huka270", key: "xd9dnn2ctnfzs989anu6", prepaid: 50_000_000}
	fl.configure(7, te)
	var leaving *engine
	arrived := &arrivalLog{}
	for no := range 3 {
		en, err := fl.addEngine(fmt.Sprintf("i-aace57a%d", no), app, func(en *engine, wr http.ResponseWriter, re *http.Request) {
			if en == leaving {
				arrived.add()
			}
			runAction(en, wr, re)
		})
		if err != nil {
			return verdict{}, err
		}
		leaving = en
	}
	if err := fl.addRouters(ctx, "edge-a-1", "edge-a-2"); err != nil {
		return verdict{}, err
	}
	if err := sleep(ctx, contactTime+time.Second); err != nil {
		return verdict{}, err
	}
	if trouble {
		var perform func()
		select {
		case perform = <-leaving.loseNext():
		case <-ctx.Done():
			return verdict{}, ctx.Err()
		}
		fl.rec.printf("a check-in of %s gets no answer", leaving.id)
		tm := time.AfterFunc(lateFor, func() {
			fl.rec.printf("the store performs that check-in")
			perform()
		})
		defer tm.Stop()
	}
	if err := sleep(ctx, leavesFrom); err != nil {
		return verdict{}, err
	}
	leaving.drain()
	began := time.Now()
	fl.rec.printf("%s reports that it leaves, and the store acknowledges it", leaving.id)
	var group sync.WaitGroup
	for no := 0; time.Since(began) < leavesAfter; no++ {
		group.Go(func() {
			ca := call{id: fmt.Sprintf("v%04d", no), path: actionPath, key: te.key, deadline: 2500 * time.Millisecond}
			_ = ca.send(ctx, fl.routers[no%len(fl.routers)])
		})
		if err := sleep(ctx, actionInterval); err != nil {
			return verdict{}, err
		}
	}
	group.Wait()
	count := arrived.after(began.Add(drainTime))
	text := fmt.Sprintf("%d requests reached %s later than DrainMs after the store had acknowledged that it is draining", count, leaving.id)
	return verdict{broken: count > 0, text: text}, nil
}
