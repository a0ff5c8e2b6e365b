package model

import (
	"time"

	"github.com/balsamwood/balsamwood/internal/port/clock"
)

type settings struct {
	slots, queue, records  int
	minTokens, maxTokens   int
	cacheTokens            int
	tokenTime, prefillTime time.Duration
	eventLag               time.Duration
	eventLoss              float64
	fencing                bool
	seed                   uint64
	models                 []string
	clk                    clock.Clock
}

func defaults() settings {
	return settings{
		slots: 8, queue: 1024, records: 100_000, minTokens: 16, maxTokens: 16,
		cacheTokens: 1 << 16, fencing: true, seed: 1, clk: clock.System{},
	}
}

// Option configures an Engine.
type Option func(*settings)

// WithSlots sets how many calls run at once. The default is 8; at least 1.
func WithSlots(n int) Option { return func(se *settings) { se.slots = n } }

// WithQueue sets how many calls may wait for a slot; further ones are rejected
// with status 429. The default is 1024; at least 0.
func WithQueue(n int) Option { return func(se *settings) { se.queue = n } }

// WithRecords sets the largest number of recorded runs. The oldest ones are
// dropped. The default is 100,000; at least 1.
func WithRecords(n int) Option { return func(se *settings) { se.records = n } }

// WithResponseTokens sets the range of the length of a response in tokens. The hash
// of the prompt determines the length within the range. The default is 16 to 16;
// at least 1.
func WithResponseTokens(low, high int) Option {
	return func(se *settings) { se.minTokens, se.maxTokens = low, max(low, high) }
}

// WithCache sets the size of the prefix cache in tokens. The default is
// 65,536; 0 disables it.
func WithCache(tokens int) Option { return func(se *settings) { se.cacheTokens = tokens } }

// WithTokenTime sets the time to generate one token. The default is 0.
func WithTokenTime(d time.Duration) Option { return func(se *settings) { se.tokenTime = d } }

// WithPrefillTime sets the time to process one prompt token that is not in the
// prefix cache. The default is 0.
func WithPrefillTime(d time.Duration) Option { return func(se *settings) { se.prefillTime = d } }

// WithCacheEvents sets the delay after which cache events are published and
// the share of them that is lost, from 0 to 1. The default is 0 and 0.
func WithCacheEvents(lag time.Duration, loss float64) Option {
	return func(se *settings) { se.eventLag, se.eventLoss = lag, loss }
}

// WithFencing sets whether orders with a superseded fencing number are rejected.
// The default is true.
func WithFencing(on bool) Option { return func(se *settings) { se.fencing = on } }

// WithModels sets the models that are loaded at the start. By default the
// engine serves every model name.
func WithModels(names ...string) Option { return func(se *settings) { se.models = names } }

// WithSeed sets the seed that determines which events and responses are lost. The
// default is 1.
func WithSeed(seed uint64) Option { return func(se *settings) { se.seed = seed } }

// WithClock sets the clock of load reports and cache events. The default is the
// system clock.
func WithClock(clk clock.Clock) Option { return func(se *settings) { se.clk = clk } }
