package main

import (
	"context"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/opstor"
)

const (
	clientHost  = "ficu95.example"
	streamPath  = "/lohu930/2f"
	actionPath  = "/pule252/2f"
	llm         = "huvo11a"
	app         = "wuno96b"
	maxAttempts = 2
)

// tenant is a tenant with one key and a total of tokens.
type tenant struct {
	name, key string
	prepaid   int
}

// configure writes a config with a resumable stream route to engines and a route for
// actions that may run once.
func (fl *fleet) configure(version int, tenants ...tenant) {
	list := []any{}
	for _, te := range tenants {
		list = append(list, map[string]any{"Name": te.name, "ApiKeys": []string{te.key}, "Priority": 1, "Prepaid": te.prepaid})
	}
	fl.store.Put("op", "config", map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{
				"Name": "r-stream", "Hostname": clientHost, "Prefix": "/lohu930/", "RouteType": "stream", "TimeoutMs": 5000, "LatencyGoalMs": 800,
				"Priority": 1, "Service": llm, "MaxAttempts": maxAttempts, "Anonymous": false, "Sticky": true, "Resumable": true, "GapAimMs": 600,
			},
			map[string]any{
				"Name": "r-action", "Hostname": clientHost, "Prefix": "/pule252/", "RouteType": "non_idempotent", "TimeoutMs": 2500, "LatencyGoalMs": 150,
				"Priority": 2, "Service": app, "MaxAttempts": 1, "Anonymous": false, "Sticky": false, "Resumable": false,
			},
		},
		"Services": []any{
			map[string]any{"Name": llm, "HealthPath": "/health", "MaxConns": 740, "Protocol": "h1", "Tls": false, "Backend": map[string]any{
				"Slots": engineSlots, "KvCapacityTokens": 284311, "KvTokenBytes": 163840, "LinkMbps": 1100000.0, "Moves": true, "Backups": true,
				"Stride": eventTokens, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []any{map[string]any{"Name": "m"}},
			}},
			map[string]any{"Name": app, "HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": list,
	})
}

// drill takes the store away for a moment and lets it return from a copy. The operator
// and the engines write again what they had written.
func (fl *fleet) drill(ctx context.Context, co opstor.Copy, away time.Duration) error {
	fl.rec.printf("the store is away")
	fl.store.SetFaults(func(string) opstor.Fault { return opstor.Down })
	if err := sleep(ctx, away); err != nil {
		return err
	}
	fl.store.Restore(co)
	fl.store.WriteAgain("op")
	fl.store.WriteAgain("servers")
	fl.store.SetFaults(func(string) opstor.Fault { return opstor.None })
	fl.rec.printf("the store is back from a copy")
	return nil
}
