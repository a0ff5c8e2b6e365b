// Package progs implements the commands of balsamfake, each of which serves a
// stand-in.
package progs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/action"
	"github.com/balsamwood/balsamwood/internal/fake/cloud"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

// Description is the description of balsamfake in its help text.
const Description = "Stand-ins for the platform, a model engine and a plain service. " +
	"Each prints its listen address as its first line, has failure switches below /control/ " +
	"and stops on SIGTERM or SIGINT."

// Commands is the command line of balsamfake.
type Commands struct {
	Platform Platform `cmd:"" help:"Serve the transactional table (DynamoDB JSON), the object store (S3 REST) and the VM list (/vms)."`
	Engine   Engine   `cmd:"" help:"Serve a model engine with OpenAI chat completions."`
	Service  Service  `cmd:"" help:"Serve a plain service with vouchers and filings."`
}

// Listen holds the flags that all commands share.
type Listen struct {
	Addr  string        `name:"listen" default:"127.0.0.1:0" placeholder:"IP:PORT" help:"Address to listen on; port 0 takes a free port (default ${default})."`
	Grace time.Duration `default:"5s" help:"Time that requests in flight have to end after a stop signal (default ${default})."`
	Seed  uint64        `default:"1" help:"Seed of the random failures (default ${default})."`
}

// Platform is the command platform.
type Platform struct {
	Listen          `embed:""`
	ReadsPerSecond  float64       `default:"0" help:"Table reads a second above which calls are throttled; 0 means no limit (default ${default})."`
	WritesPerSecond float64       `default:"0" help:"Written items a second above which commits are throttled; 0 means no limit (default ${default})."`
	Page            int           `default:"1000" help:"Largest number of rows in one response to a query (default ${default})."`
	VMLag           time.Duration `name:"vm-lag" default:"0s" help:"Time by which the VM list lags behind (default ${default})."`
	VMs             []byte        `name:"vms" type:"filecontent" placeholder:"FILE" help:"JSON file with the VM list: an array of objects with the members vm, address, domain, role and leaving."`
}

// Run serves the platform until ctx ends.
func (pl *Platform) Run(ctx context.Context, out io.Writer) error {
	if pl.Page < 1 {
		return fmt.Errorf("--page is %d, at least 1 is required", pl.Page)
	}
	cl := cloud.New(cloud.WithSeed(pl.Seed), cloud.WithPageSize(pl.Page),
		cloud.WithLimits(cloud.Limits{ReadsPerSecond: pl.ReadsPerSecond, WritesPerSecond: pl.WritesPerSecond}))
	if len(pl.VMs) > 0 {
		var vms []cloud.VM
		if err := json.Unmarshal(pl.VMs, &vms); err != nil {
			return fmt.Errorf("--vms: %w", err)
		}
		cl.SetVMs(vms...)
	}
	cl.SetVMLag(pl.VMLag)
	return serve(ctx, out, pl.Listen, cl)
}

// Engine is the command engine.
type Engine struct {
	Listen      `embed:""`
	Slots       int           `default:"8" help:"Calls that run at once (default ${default})."`
	Queue       int           `default:"1024" help:"Calls that may wait; further ones get status 429 (default ${default})."`
	MinAnswer   int           `default:"16" help:"Shortest response in tokens; the prompt decides the length (default ${default})."`
	MaxAnswer   int           `default:"16" help:"Longest response in tokens (default ${default})."`
	CacheTokens int           `default:"65536" help:"Size of the prefix cache in tokens; 0 turns it off (default ${default})."`
	TokenTime   time.Duration `default:"0s" help:"Time to generate one token (default ${default})."`
	PrefillTime time.Duration `default:"0s" help:"Time to process one prompt token that is not cached (default ${default})."`
	EventLag    time.Duration `default:"0s" help:"Time by which cache events are late (default ${default})."`
	EventLoss   float64       `default:"0" help:"Share of cache events that are lost, from 0 to 1 (default ${default})."`
	Fencing     bool          `default:"true" negatable:"" help:"Refuse orders with a superseded fencing number (default ${default})."`
	Model       []string      `placeholder:"NAME" help:"Model that is loaded at the start; may be repeated. Without it every model name is served."`
}

// Run serves the engine until ctx ends.
func (en *Engine) Run(ctx context.Context, out io.Writer) error {
	if en.Slots < 1 || en.Queue < 0 || en.MinAnswer < 1 || en.MaxAnswer < en.MinAnswer {
		return fmt.Errorf("--slots %d, --queue %d, --min-answer %d and --max-answer %d are not valid",
			en.Slots, en.Queue, en.MinAnswer, en.MaxAnswer)
	}
	return serve(ctx, out, en.Listen, model.New(
		model.WithSeed(en.Seed), model.WithSlots(en.Slots), model.WithQueue(en.Queue),
		model.WithResponseTokens(en.MinAnswer, en.MaxAnswer), model.WithCache(en.CacheTokens),
		model.WithTokenTime(en.TokenTime), model.WithPrefillTime(en.PrefillTime),
		model.WithCacheEvents(en.EventLag, en.EventLoss), model.WithFencing(en.Fencing),
		model.WithModels(en.Model...)))
}

// Service is the command service.
type Service struct {
	Listen   `embed:""`
	Slots    int           `default:"16" help:"Calls that the load report shows as served at once (default ${default})."`
	CallTime time.Duration `default:"0s" help:"Time of one call before its effect (default ${default})."`
}

// Run serves the plain service until ctx ends.
func (sv *Service) Run(ctx context.Context, out io.Writer) error {
	if sv.Slots < 1 {
		return fmt.Errorf("--slots is %d, at least 1 is required", sv.Slots)
	}
	return serve(ctx, out, sv.Listen, action.New(action.WithSeed(sv.Seed),
		action.WithSlots(sv.Slots), action.WithCallTime(sv.CallTime)))
}
