package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/deploy"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

const (
	// requestsPerFailure is the number of finished requests between the starts
	// of two failures of a chain.
	requestsPerFailure = 120
	// undoTime bounds the end of a failure.
	undoTime = 40 * time.Second
	// shortest and longest bound how long a failure lasts.
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
)

// failure is an action on the deployment. begin returns what ends it.
type failure struct {
	name  string
	begin func(ctx context.Context, so *soak, rng *rand.Rand) (end func(context.Context) error, err error)
}

// chain is a sequence of failures, one at a time. Chains run beside each other.
type chain struct {
	name     string
	failures []failure
}

func (so *soak) chains() []chain {
	return []chain{
		{name: "processes", failures: []failure{
			{"kill router", killRouter}, {"pause router", pauseRouter},
			{"kill sidecar", killSidecar}, {"pause sidecar", pauseSidecar}, {"restart router", restartRouter},
		}},
		{name: "stand-ins", failures: []failure{
			{"platform down", platform(fault.Setting{}.WithDown(true))},
			{"platform slow", platform(fault.Setting{}.WithDelay(700 * time.Millisecond))},
			{"platform answers lost", platform(fault.Setting{}.WithLoseShare(0.5))},
			{"engine silent", engineFault(fault.Setting{}.WithSilent(true))},
			{"engine fails", failAfter},
			{"service answers lost", serviceFault(fault.Setting{}.WithLoseShare(0.5))},
			{"service down", serviceFault(fault.Setting{}.WithDown(true))},
		}},
	}
}

// inject applies failures until ctx ends.
func (so *soak) inject(ctx context.Context, ch chain) {
	rng := rand.New(rand.NewPCG(so.op.Seed, uint64(len(ch.failures))))
	for number := 1; ctx.Err() == nil; number++ {
		due := func() bool { return so.done.Load() >= int64(number*requestsPerFailure) }
		if deploy.Until(ctx, due) != nil || ctx.Err() != nil {
			return
		}
		fa := ch.failures[rng.IntN(len(ch.failures))]
		lasts := shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
		err := so.apply(ctx, fa, lasts, rng)
		so.mu.Lock()
		so.res.Failures[fa.name]++
		if err != nil {
			so.res.note("failure %q: %v", fa.name, err)
		}
		so.mu.Unlock()
	}
}

// apply ends the failure even when ctx ends before.
func (so *soak) apply(ctx context.Context, fa failure, lasts time.Duration, rng *rand.Rand) error {
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), undoTime)
	defer cancel()
	end, err := fa.begin(own, so, rng)
	if err != nil {
		return err
	}
	ti := time.NewTimer(lasts)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
	return end(own)
}

func killRouter(_ context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
	number := rng.IntN(routerCount)
	so.routers[number].Load().Kill()
	return func(ctx context.Context) error { return so.startRouter(ctx, number) }, nil
}

func restartRouter(_ context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
	number := rng.IntN(routerCount)
	err := so.routers[number].Load().Terminate()
	return func(ctx context.Context) error {
		if err := so.routers[number].Load().Stop(); err != nil {
			return fmt.Errorf("graceful stop: %w", err)
		}
		return so.startRouter(ctx, number)
	}, err
}

func pauseRouter(_ context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
	ro := so.routers[rng.IntN(routerCount)].Load()
	return func(context.Context) error { return ro.Thaw() }, ro.Freeze()
}

func killSidecar(_ context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
	si := so.sides[rng.IntN(len(so.sides))]
	si.node.Kill()
	return func(context.Context) error {
		no, _, err := so.de.Sidecar(si.up, si.upstream, si.up.Sidecar)
		if err == nil {
			si.node = no
		}
		return err
	}, nil
}

func pauseSidecar(_ context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
	no := so.sides[rng.IntN(len(so.sides))].node
	return func(context.Context) error { return no.Thaw() }, no.Freeze()
}

type beginFunc = func(context.Context, *soak, *rand.Rand) (func(context.Context) error, error)

// switchOn sets the switches of a stand-in and clears them at the end.
func switchOn(ctx context.Context, no *deploy.Node, se fault.Setting) (func(context.Context) error, error) {
	return func(ctx context.Context) error { return no.Control(ctx, "faults", fault.Setting{}) }, no.Control(ctx, "faults", se)
}

func platform(se fault.Setting) beginFunc {
	return func(ctx context.Context, so *soak, _ *rand.Rand) (func(context.Context) error, error) {
		return switchOn(ctx, so.de.Platform, se)
	}
}

func engineFault(se fault.Setting) beginFunc {
	return func(ctx context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
		return switchOn(ctx, so.engines[rng.IntN(len(so.engines))], se)
	}
}

func serviceFault(se fault.Setting) beginFunc {
	return func(ctx context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
		return switchOn(ctx, so.services[rng.IntN(len(so.services))], se)
	}
}

type failSetting struct {
	FailAfter int `json:"failAfter"`
}

func failAfter(ctx context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
	en := so.engines[rng.IntN(len(so.engines))]
	err := en.Control(ctx, "engine", failSetting{1 + rng.IntN(answerTokens-1)})
	return func(ctx context.Context) error { return en.Control(ctx, "engine", failSetting{}) }, err
}
