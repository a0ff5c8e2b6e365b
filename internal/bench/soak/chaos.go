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
	// requestsPerFailure is the number of finished requests between the starts of
	// two failures of a group.
	requestsPerFailure = 120
	// failureTimeout bounds a failure with the calls that start and end it.
	failureTimeout = 40 * time.Second
	// minFailureTime and maxFailureTime bound the duration of a failure.
	minFailureTime = 300 * time.Millisecond
	maxFailureTime = 4 * time.Second
)

// failure is a fault of the deployment. start returns the function that ends it.
type failure struct {
	name  string
	start func(ctx context.Context, so *soak, rng *rand.Rand) (end func(context.Context) error, err error)
}

// failureGroup is a set of failures of which one is active at a time. Groups run
// concurrently.
type failureGroup struct {
	name     string
	failures []failure
}

func (so *soak) failureGroups() []failureGroup {
	return []failureGroup{
		{name: "processes", failures: []failure{
			{"kill router", killRouter}, {"pause router", pauseRouter},
			{"kill sidecar", killSidecar}, {"pause sidecar", pauseSidecar}, {"restart router", restartRouter},
		}},
		{name: "stand-ins", failures: []failure{
			{"platform down", platformFault(fault.Setting{}.WithDown(true))},
			{"platform slow", platformFault(fault.Setting{}.WithDelay(700 * time.Millisecond))},
			{"platform responses lost", platformFault(fault.Setting{}.WithLoseShare(0.5))},
			{"engine silent", engineFault(fault.Setting{}.WithSilent(true))},
			{"engine fails", engineFailAfter},
			{"service responses lost", serviceFault(fault.Setting{}.WithLoseShare(0.5))},
			{"service down", serviceFault(fault.Setting{}.WithDown(true))},
		}},
	}
}

// injectFailures applies random failures of the group until ctx ends.
func (so *soak) injectFailures(ctx context.Context, fg failureGroup) {
	rng := rand.New(rand.NewPCG(so.op.Seed, uint64(len(fg.failures))))
	for number := 1; ctx.Err() == nil; number++ {
		due := func() bool { return so.finished.Load() >= int64(number*requestsPerFailure) }
		if deploy.WaitUntil(ctx, due) != nil || ctx.Err() != nil {
			return
		}
		fa := fg.failures[rng.IntN(len(fg.failures))]
		duration := minFailureTime + time.Duration(rng.Int64N(int64(maxFailureTime-minFailureTime)))
		err := so.applyFailure(ctx, fa, duration, rng)
		so.mu.Lock()
		so.res.Failures[fa.name]++
		if err != nil {
			so.res.addNote("failure %q: %v", fa.name, err)
		}
		so.mu.Unlock()
	}
}

// applyFailure starts the failure and ends it after the duration, or earlier if
// ctx ends.
func (so *soak) applyFailure(ctx context.Context, fa failure, duration time.Duration, rng *rand.Rand) error {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), failureTimeout)
	defer cancel()
	end, err := fa.start(detached, so, rng)
	if err != nil {
		return err
	}
	ti := time.NewTimer(duration)
	defer ti.Stop()
	select {
	case <-ctx.Done():
	case <-ti.C:
	}
	return end(detached)
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
	return func(context.Context) error { return ro.Resume() }, ro.Pause()
}

func killSidecar(_ context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
	si := so.sidecars[rng.IntN(len(so.sidecars))]
	si.node.Kill()
	return func(context.Context) error {
		no, _, err := so.de.StartSidecar(si.up, si.upstream, si.up.Sidecar)
		if err == nil {
			si.node = no
		}
		return err
	}, nil
}

func pauseSidecar(_ context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
	no := so.sidecars[rng.IntN(len(so.sidecars))].node
	return func(context.Context) error { return no.Resume() }, no.Pause()
}

type startFunc = func(context.Context, *soak, *rand.Rand) (func(context.Context) error, error)

// setFault sets the fault of a stand-in and returns the function that clears it.
func setFault(ctx context.Context, no *deploy.Node, se fault.Setting) (func(context.Context) error, error) {
	return func(ctx context.Context) error { return no.Control(ctx, "faults", fault.Setting{}) }, no.Control(ctx, "faults", se)
}

func platformFault(se fault.Setting) startFunc {
	return func(ctx context.Context, so *soak, _ *rand.Rand) (func(context.Context) error, error) {
		return setFault(ctx, so.de.Platform, se)
	}
}

func engineFault(se fault.Setting) startFunc {
	return func(ctx context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
		return setFault(ctx, so.engines[rng.IntN(len(so.engines))], se)
	}
}

func serviceFault(se fault.Setting) startFunc {
	return func(ctx context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
		return setFault(ctx, so.services[rng.IntN(len(so.services))], se)
	}
}

type failSetting struct {
	FailAfter int `json:"failAfter"`
}

func engineFailAfter(ctx context.Context, so *soak, rng *rand.Rand) (func(context.Context) error, error) {
	en := so.engines[rng.IntN(len(so.engines))]
	err := en.Control(ctx, "engine", failSetting{1 + rng.IntN(responseTokens-1)})
	return func(ctx context.Context) error { return en.Control(ctx, "engine", failSetting{}) }, err
}
