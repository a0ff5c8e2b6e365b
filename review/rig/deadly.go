package rig

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	deadlyPart = "dead0001"
	// contact is ContactMs, and allowed the number of requests that may still arrive.
	contact = 3 * time.Second
	allowed = 3
	// downTime is how long an engine is down after a crash.
	downTime = 2 * time.Second
	duration = 60 * time.Second
	// maxCalls bounds the requests of each kind.
	maxCalls = 1000
)

// tally counts what engines and clients see.
type tally struct {
	mu      sync.Mutex
	crashes []time.Time
	// late counts requests with the part that reached an engine later than contact
	// after the fifth crash.
	late        int
	lost, other int
}

func (ta *tally) arrived(at time.Time) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if len(ta.crashes) >= 5 && at.After(ta.crashes[4].Add(contact)) {
		ta.late++
	}
}

func (ta *tally) crashed(at time.Time) int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.crashes = append(ta.crashes, at)
	return len(ta.crashes)
}

// Deadly is a case in which a part of prompts ends each engine that begins to respond
// to a request with it.
type Deadly struct {
	Engines int
	// KeepIDs says that an engine starts again under its id, and FirstEvent that it
	// writes the first event before it ends.
	KeepIDs, FirstEvent bool
}

// Run plays the case and reports whether more requests with the part than allowed
// reach engines.
func (dc Deadly) Run(ctx context.Context, de *Deployment, trouble bool) (bool, error) {
	ta := &tally{}
	answer := func(en *Engine, nc net.Conn, rq Request) bool {
		poisoned := slices.Contains(rq.Parts(), deadlyPart)
		if poisoned {
			ta.arrived(rq.At)
		}
		de.Add("ran %s at %s, deadly part: %v", rq.ID, en.ID(), poisoned)
		if !poisoned || !trouble {
			return Stream(nc, rq.ID, 5, 40*time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		text := StreamHead(rq.ID)
		if dc.FirstEvent {
			text += Event(0)
		}
		_, _ = io.WriteString(nc, text)
		// What was written arrives before the connection is reset.
		time.Sleep(5 * time.Millisecond)
		if !en.Stop() {
			return false
		}
		de.Add("crash %d: %s", ta.crashed(time.Now()), en.ID())
		time.AfterFunc(downTime, func() {
			if !dc.KeepIDs {
				de.Store.Remove("servers", en.ID())
				en.SetID(en.ID() + "x")
			}
			err := en.Start()
			CheckinOnce(de.Store, en, "ready")
			de.Add("%s is back: %v", en.ID(), err)
		})
		return false
	}
	de.Store.Put("op", "config", Config{
		Routes:  []Route{{Prefix: "/summary/", Kind: "stream", Service: "llm", TimeoutMs: 5000, GoalMs: 800, MaxAttempts: 2, Resumable: true}},
		Models:  []string{"llm"},
		Stride:  5,
		Tenants: []Tenant{{Name: "desk", Key: "key-desk", Prepaid: 100_000_000}},
	}.Doc(1))
	for no := range dc.Engines {
		if _, err := de.AddEngine(ctx, fmt.Sprint("engine-", no), "llm", answer, Ready); err != nil {
			return false, err
		}
	}
	if err := de.AddRouters(ctx, 2); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var senders sync.WaitGroup
	send := func(name string, interval time.Duration, parts string) {
		cl := NewClient()
		for no := 0; ctx.Err() == nil && no < maxCalls; no++ {
			ca := Call{
				ID: fmt.Sprintf("%s-%04d", name, no), Method: "POST", Path: "/summary/1", Key: "key-desk", Body: "prompt",
				Input: 300, Output: 50, Parts: fmt.Sprintf(parts, name, no), DeadlineMs: 5000,
			}
			senders.Go(func() {
				de.Add("sent %s", ca.ID)
				rp := cl.Send(ctx, de.Routers[no%len(de.Routers)].Front, ca)
				de.Add("answered %s status %d events %d error %v", ca.ID, rp.Status, rp.Events(), rp.Err)
				if name == "sound" && ctx.Err() == nil {
					ta.mu.Lock()
					defer ta.mu.Unlock()
					if rp.Err != nil || rp.Status == 502 {
						ta.lost++
					} else {
						ta.other++
					}
				}
			})
			Pause(ctx, interval)
		}
	}
	senders.Go(func() { send("sound", 100*time.Millisecond, "c0ffee:100,%s%04d:200") })
	senders.Go(func() { send("deadly", time.Second, "c0ffee:100,"+deadlyPart+":100,%s%04d:100") })
	senders.Wait()
	de.Say("%d crashes; %d requests with the part reached engines later than %s after the fifth crash, %d are allowed", len(ta.crashes), ta.late, contact, allowed)
	de.Say("sound requests: %d failed or broken off, %d others", ta.lost, ta.other)
	return len(ta.crashes) >= 5 && ta.late > allowed, nil
}
