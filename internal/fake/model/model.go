// Package model is a stand-in for a model engine that serves OpenAI chat
// completions with continuous batching.
package model

import (
	"net/http"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// Engine serves /v1/chat/completions, /load, /cache/events, /orders, /record
// and /control/.
type Engine struct {
	se      settings
	faults  *fault.Switches
	setting *snap.Cell[Setting]
	sched   *scheduler
	cache   *cache
	orders  *orders
	record  *record
	parked  *parked
	load    *history
	// owed is the number of tokens that accepted calls may still produce.
	owed atomic.Int64
	mux  *http.ServeMux
}

// Setting is the state of the switches that only an engine has. The zero value
// injects no failure.
type Setting struct {
	// SlowFactor multiplies all processing times. Zero means 1.
	SlowFactor float64 `json:"slowFactor"`
	// FailAfter breaks the connection of a call after that many tokens. Zero
	// means never.
	FailAfter int `json:"failAfter"`
	// CutAfter cuts the connection of a call after that many tokens. The call
	// can be resumed. Zero means never.
	CutAfter int `json:"cutAfter"`
	// LoadLagMillis is the age of the load report.
	LoadLagMillis int `json:"loadLagMillis"`
	// Leaving refuses new calls and is shown in the load report.
	Leaving bool `json:"leaving"`
}

// WithSlowFactor returns a copy with the factor.
func (se Setting) WithSlowFactor(fa float64) Setting {
	se.SlowFactor = fa
	return se
}

// WithFailAfter returns a copy that breaks calls after n tokens.
func (se Setting) WithFailAfter(n int) Setting {
	se.FailAfter = n
	return se
}

// WithCutAfter returns a copy that cuts connections after n tokens.
func (se Setting) WithCutAfter(n int) Setting {
	se.CutAfter = n
	return se
}

// WithLoadLag returns a copy with the age of the load report in milliseconds.
func (se Setting) WithLoadLag(millis int) Setting {
	se.LoadLagMillis = millis
	return se
}

// WithLeaving returns a copy with the switch set.
func (se Setting) WithLeaving(on bool) Setting {
	se.Leaving = on
	return se
}

// New returns an engine without work.
func New(opts ...Option) *Engine {
	se := defaults()
	for _, opt := range opts {
		opt(&se)
	}
	en := &Engine{
		se: se, faults: fault.New(se.seed), setting: snap.NewCell(Setting{}),
		sched: newScheduler(se.slots, se.queue), cache: newCache(se.cacheTokens/blockTokens, se.seed),
		orders: newOrders(se.fencing, se.models), record: newRecord(se.records),
		parked: &parked{}, load: &history{}, mux: http.NewServeMux(),
	}
	en.routes()
	return en
}

// Faults returns the failure switches that all stand-ins have.
func (en *Engine) Faults() *fault.Switches { return en.faults }

// Setting returns the state of the engine's own switches.
func (en *Engine) Setting() Setting { return en.setting.Load() }

// Set replaces the state of the engine's own switches.
func (en *Engine) Set(se Setting) { en.setting.Store(se) }

// Runs returns the record of all runs in the order of their arrival.
func (en *Engine) Runs() []Run { return en.record.all() }

// ServeHTTP answers one request.
func (en *Engine) ServeHTTP(wr http.ResponseWriter, re *http.Request) { en.mux.ServeHTTP(wr, re) }

func (en *Engine) routes() {
	en.mux.HandleFunc("POST /v1/chat/completions", en.faulty(en.chat))
	en.mux.HandleFunc("GET /load", en.faulty(en.serveLoad))
	en.mux.HandleFunc("GET /cache/events", en.faulty(en.serveEvents))
	en.mux.HandleFunc("POST /orders", en.faulty(en.orders.accept))
	en.mux.HandleFunc("GET /orders", en.orders.list)
	en.mux.HandleFunc("GET /record", func(wr http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(wr, http.StatusOK, en.Runs())
	})
	en.mux.Handle("/control/faults", fault.Control(en.faults.Cell()))
	en.mux.Handle("/control/engine", fault.Control(en.setting))
}

func (en *Engine) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		en.faults.Enter(re)
		next(wr, re)
	}
}

func (en *Engine) slow() float64 {
	if fa := en.setting.Load().SlowFactor; fa > 0 {
		return fa
	}
	return 1
}
