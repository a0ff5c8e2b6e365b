// Command 1 shows that tenants get more than their prepaid totals after routers were
// killed in an outage of the store and started again while it loses answers.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/opstor"
	"github.com/balsamwood/balsamwood/review/rig"
)

const (
	tenants = 8
	prepaid = 120_000
	input   = 400
	// Each response has so many events of stride tokens.
	events, stride = 20, 5
	maxCalls       = 1000
	// away is how long the store is away, and lossy for how long it then loses the
	// answers to the share lost of the writes.
	away  = 4500 * time.Millisecond
	lossy = 4500 * time.Millisecond
	lost  = 0.35
)

func main() { rig.Main(run) }

// usage is what the clients of each tenant were delivered.
type usage struct {
	mu              sync.Mutex
	requests        int
	served, refused int
	tokens          [tenants]int
}

func run(ctx context.Context, de *rig.Deployment, trouble bool) (bool, error) {
	answer := func(en *rig.Engine, nc net.Conn, rq rig.Request) bool {
		de.Add("ran %s at %s", rq.ID, en.ID())
		return rig.Stream(nc, rq.ID, events, 2*time.Millisecond)
	}
	config := rig.Config{
		Routes: []rig.Route{{Prefix: "/question/", Kind: "stream", Service: "llm", TimeoutMs: 5000, GoalMs: 800, MaxAttempts: 1}},
		Models: []string{"llm"},
		Stride: stride,
	}
	for no := range tenants {
		config.Tenants = append(config.Tenants, rig.Tenant{Name: fmt.Sprint("tenant-", no), Key: fmt.Sprint("key-", no), Prepaid: prepaid})
	}
	de.Store.Put("op", "config", config.Doc(1))
	for no := range 2 {
		if _, err := de.AddEngine(ctx, fmt.Sprint("engine-", no), "llm", answer, rig.Ready); err != nil {
			return false, err
		}
	}
	if err := de.AddRouters(ctx, 2); err != nil {
		return false, err
	}
	us := &usage{}
	// The clients of each tenant are at one router, so that both routers hold tokens.
	phase := func(length, interval time.Duration) {
		ctx, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		var senders sync.WaitGroup
		for tenant := range tenants {
			senders.Go(func() {
				cl := rig.NewClient()
				for no := 0; ctx.Err() == nil && no < maxCalls; no++ {
					senders.Go(func() { us.send(de, cl, tenant) })
					rig.Pause(ctx, interval)
				}
			})
		}
		senders.Wait()
	}
	phase(7*time.Second, 100*time.Millisecond)
	de.Say("before: %d served, %d refused, tokens by tenant %v of %d", us.served, us.refused, us.tokens, prepaid)
	if trouble {
		for _, px := range de.Proxies {
			px.SetClosed(true)
		}
		de.Add("the store is away")
	}
	phase(away-300*time.Millisecond, 70*time.Millisecond)
	if trouble {
		for _, ro := range de.Routers {
			ro.Kill()
		}
		de.Add("both routers are killed")
		rig.Pause(ctx, 300*time.Millisecond)
		de.Store.SetFaults(func(call string) opstor.Fault {
			if call == "rows-tx" && rand.Float64() < lost {
				return opstor.ResponseLost
			}
			return opstor.None
		})
		for _, px := range de.Proxies {
			px.SetClosed(false)
		}
		de.Add("the store is back and loses answers")
		time.AfterFunc(lossy, func() {
			de.Store.SetFaults(func(string) opstor.Fault { return opstor.None })
			de.Add("the store loses no more answers")
		})
		for _, ro := range de.Routers {
			if err := ro.Start(ctx); err != nil {
				return false, err
			}
		}
		de.Add("both routers are ready again")
	}
	de.Say("at the kill: %d served, %d refused, tokens by tenant %v", us.served, us.refused, us.tokens)
	phase(30*time.Second, 70*time.Millisecond)
	de.Say("after: %d served, %d refused, tokens by tenant %v of %d", us.served, us.refused, us.tokens, prepaid)
	over := false
	for _, tokens := range us.tokens {
		over = over || tokens > prepaid
	}
	return over, nil
}

func (us *usage) send(de *rig.Deployment, cl *rig.Client, tenant int) {
	us.mu.Lock()
	us.requests++
	id := fmt.Sprintf("r%05d", us.requests)
	us.mu.Unlock()
	ca := rig.Call{
		ID: id, Method: "POST", Path: "/question/1", Key: fmt.Sprint("key-", tenant), Body: "prompt",
		Input: input, Output: events * stride, Parts: "c0ffee:100," + id + ":300", DeadlineMs: 5000,
	}
	de.Add("sent %s of tenant-%d", id, tenant)
	rp := cl.Send(context.Background(), de.Routers[tenant%len(de.Routers)].Front, ca)
	de.Add("answered %s of tenant-%d status %d events %d error %v", id, tenant, rp.Status, rp.Events(), rp.Err)
	us.mu.Lock()
	defer us.mu.Unlock()
	if rp.Events() == 0 {
		us.refused++
		return
	}
	us.served++
	us.tokens[tenant] += input + rp.Events()*stride
}
