// Command 4 shows that a router which the store turns away goes on sending requests to
// an engine whose answers say that it is leaving.
package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/review/rig"
)

const (
	// drain is DrainMs, and margin what the check allows beyond it.
	drain  = 2 * time.Second
	margin = 50 * time.Millisecond
	// turnedAway is how long the store turns one of three machines away.
	turnedAway = 9 * time.Second
	// serveOn is how long the leaving engine serves after drain.
	serveOn  = 3 * time.Second
	work     = 200 * time.Millisecond
	interval = 40 * time.Millisecond
	// maxCalls bounds the requests of each client.
	maxCalls = 1000
)

func main() { rig.Main(run) }

// ledger holds when clients sent their requests and which of them the engine received.
type ledger struct {
	mu      sync.Mutex
	sent    map[string]time.Time
	arrived []string
	// told is when the first answer with the announcement was passed on by a router.
	told map[string]time.Time
	lost map[string]int
}

func routerOf(id string) string { name, _, _ := strings.Cut(id, "-"); return name }

func run(ctx context.Context, de *rig.Deployment, trouble bool) (bool, error) {
	le := &ledger{sent: map[string]time.Time{}, told: map[string]time.Time{}, lost: map[string]int{}}
	var mu sync.Mutex
	leaving := false
	isLeaving := func() bool { mu.Lock(); defer mu.Unlock(); return leaving }
	answer := func(en *rig.Engine, nc net.Conn, rq rig.Request) bool {
		de.Add("ran %s at %s", rq.ID, en.ID())
		if en.ID() != "app-0" {
			time.Sleep(work)
			return rig.Write(nc, 200, rq.ID, []string{"Server-Stamp: stamp-" + rq.ID, "Instance-Load: 1,0,8"}, "done")
		}
		le.mu.Lock()
		le.arrived = append(le.arrived, rq.ID)
		le.mu.Unlock()
		time.Sleep(work)
		fields := []string{"Server-Stamp: stamp-" + rq.ID, "Instance-Load: 1,0,8"}
		if isLeaving() {
			fields = append(fields, "Server-Leaving: 1", "Connection: close")
		}
		return rig.Write(nc, 200, rq.ID, fields, "done") && !isLeaving()
	}
	de.Store.Put("op", "config", rig.Config{
		Routes:  []rig.Route{{Prefix: "/voucher/", Kind: "non_idempotent", Service: "app", TimeoutMs: 1200, GoalMs: 150, MaxAttempts: 1}},
		Plain:   []string{"app"},
		Tenants: []rig.Tenant{{Name: "desk", Key: "key-desk"}},
	}.Doc(1))
	for no := range 3 {
		state := rig.Ready
		if no == 0 {
			state = func() string {
				if isLeaving() {
					return "draining"
				}
				return "ready"
			}
		}
		if _, err := de.AddEngine(ctx, fmt.Sprint("app-", no), "app", answer, state); err != nil {
			return false, err
		}
	}
	if err := de.AddRouters(ctx, 3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, 13*time.Second)
	defer cancel()
	var senders sync.WaitGroup
	for no, ro := range de.Routers {
		senders.Go(func() {
			cl := rig.NewClient()
			for count := 0; ctx.Err() == nil && count < maxCalls; count++ {
				id := fmt.Sprintf("edge%d-%04d", no, count)
				senders.Go(func() { le.send(de, cl, ro.Front, id) })
				rig.Pause(ctx, interval)
			}
		})
	}
	rig.Pause(ctx, 2*time.Second)
	if trouble {
		de.Proxies[0].SetClosed(true)
		de.Add("the store turns edge-0 away")
		time.AfterFunc(turnedAway, func() { de.Proxies[0].SetClosed(false); de.Add("the store serves edge-0 again") })
	}
	rig.Pause(ctx, time.Second)
	mu.Lock()
	leaving = true
	mu.Unlock()
	rig.CheckinOnce(de.Store, de.Engines[0], "draining")
	de.Add("app-0 is draining, and the store has accepted that")
	rig.Pause(ctx, drain+serveOn)
	de.Engines[0].Stop()
	de.Store.Remove("servers", "app-0")
	de.Add("app-0 has ended")
	senders.Wait()
	late := le.late(de)
	de.Say("%d requests reached the leaving engine that clients had sent later than %s after the machine had passed on Server-Leaving", late, drain)
	de.Say("requests that ended with 502 or without a complete answer, by router: %v", le.lost)
	return late > 0, nil
}

func (le *ledger) send(de *rig.Deployment, cl *rig.Client, front, id string) {
	le.mu.Lock()
	le.sent[id] = time.Now()
	le.mu.Unlock()
	de.Add("sent %s", id)
	rp := cl.Send(context.Background(), front, rig.Call{ID: id, Method: "POST", Path: "/voucher/1", Key: "key-desk", Body: "voucher", DeadlineMs: 2500})
	announced := rp.Header.Get("Server-Leaving") != ""
	de.Add("answered %s status %d leaving %v error %v", id, rp.Status, announced, rp.Err)
	le.mu.Lock()
	defer le.mu.Unlock()
	if announced && le.told[routerOf(id)].IsZero() {
		le.told[routerOf(id)] = time.Now()
	}
	if rp.Err != nil || rp.Status == 502 {
		le.lost[routerOf(id)]++
	}
}

// late counts the requests that break the rule.
func (le *ledger) late(de *rig.Deployment) int {
	le.mu.Lock()
	defer le.mu.Unlock()
	count := 0
	for _, id := range le.arrived {
		told, ok := le.told[routerOf(id)]
		if after := le.sent[id].Sub(told); ok && after > drain+margin {
			count++
			de.Add("%s was sent %.3f s after the announcement and reached app-0", id, after.Seconds())
		}
	}
	return count
}
