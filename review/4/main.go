// Command 4 shows that sound requests are refused for half a minute because they were
// waiting at engines that a part of other prompts has ended.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/review/rig"
)

const (
	deadlyPart = "dead0001"
	// contact is ContactMs. The rule counts from twice that after the last crash.
	contact  = 3 * time.Second
	downTime = 2 * time.Second
	prefill  = 400 * time.Millisecond
	// calm is how long the clients send without the disruption, and rush how long with it.
	calm     = 8 * time.Second
	rush     = 30 * time.Second
	engines  = 3
	maxCalls = 2000
)

func main() { rig.Main(run) }

// share counts sound requests and those that began to run at their first attempt.
type share struct{ sent, begun int }

type tally struct {
	mu        sync.Mutex
	begun     map[string]bool
	sent      map[string]time.Time
	crashes   int
	lastCrash time.Time
}

func run(ctx context.Context, de *rig.Deployment, trouble bool) (bool, error) {
	ta := &tally{begun: map[string]bool{}, sent: map[string]time.Time{}}
	answer := func(en *rig.Engine, nc net.Conn, rq rig.Request) bool {
		deadly := slices.Contains(rq.Parts(), deadlyPart)
		de.Add("request %s at %s, deadly part: %v", rq.ID, en.ID(), deadly)
		if !deadly || !trouble {
			time.Sleep(prefill)
			ta.mu.Lock()
			ta.begun[rq.ID] = true
			ta.mu.Unlock()
			return rig.Stream(nc, rq.ID, 10, 30*time.Millisecond)
		}
		_, _ = io.WriteString(nc, rig.StreamHead(rq.ID))
		if !en.Stop() {
			return false
		}
		ta.mu.Lock()
		ta.crashes++
		ta.lastCrash = time.Now()
		de.Add("crash %d: %s", ta.crashes, en.ID())
		ta.mu.Unlock()
		time.AfterFunc(downTime, func() {
			de.Store.Remove("servers", en.ID())
			en.SetID(en.ID() + "x")
			err := en.Start()
			rig.CheckinOnce(de.Store, en, "ready")
			de.Add("%s is back: %v", en.ID(), err)
		})
		return false
	}
	de.Store.Put("op", "config", rig.Config{
		Routes:  []rig.Route{{Prefix: "/summary/", Kind: "stream", Service: "llm", TimeoutMs: 5000, GoalMs: 800, MaxAttempts: 2, Resumable: true}},
		Models:  []string{"llm"},
		Stride:  5,
		Tenants: []rig.Tenant{{Name: "desk", Key: "key-desk", Prepaid: 100_000_000}},
	}.Doc(1))
	for no := range engines {
		if _, err := de.AddEngine(ctx, fmt.Sprint("engine-", no), "llm", answer, rig.Ready); err != nil {
			return false, err
		}
	}
	if err := de.AddRouters(ctx, 2); err != nil {
		return false, err
	}
	var senders sync.WaitGroup
	send := func(name, parts string, interval, length time.Duration) {
		ctx, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		cl := rig.NewClient()
		for no := 0; ctx.Err() == nil && no < maxCalls; no++ {
			ca := rig.Call{
				ID: fmt.Sprintf("%s-%04d", name, no), Method: "POST", Path: "/summary/1", Key: "key-desk", Body: "prompt",
				Input: 300, Output: 50, Parts: fmt.Sprintf(parts, name, no), DeadlineMs: 5000,
			}
			senders.Go(func() {
				ta.mu.Lock()
				ta.sent[ca.ID] = time.Now()
				ta.mu.Unlock()
				rp := cl.Send(context.Background(), de.Routers[no%len(de.Routers)].Front, ca)
				de.Add("answered %s status %d events %d error %v", ca.ID, rp.Status, rp.Events(), rp.Err)
			})
			rig.Pause(ctx, interval)
		}
	}
	send("calm", "aaaa0001:100,%s%04d:200", 50*time.Millisecond, calm)
	senders.Go(func() { send("sound", "bbbb0001:100,%s%04d:200", 20*time.Millisecond, rush) })
	senders.Go(func() { send("deadly", "bbbb0001:100,"+deadlyPart+":100,%s%04d:100", 100*time.Millisecond, rush) })
	senders.Wait()
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var before, after share
	for id, at := range ta.sent {
		sh := &before
		switch {
		case id[:5] == "sound" && at.After(ta.lastCrash.Add(2*contact)):
			sh = &after
		case id[:4] != "calm":
			continue
		}
		sh.sent++
		if ta.begun[id] {
			sh.begun++
		}
	}
	de.Say("%d crashes; sound requests that began at the first attempt: %d of %d before, %d of %d later than %s after the last crash",
		ta.crashes, before.begun, before.sent, after.begun, after.sent, 2*contact)
	if before.sent < 20 || after.sent < 20 || before.begun == 0 {
		return false, fmt.Errorf("too few requests")
	}
	return 2*after.begun*before.sent < before.begun*after.sent, nil
}
