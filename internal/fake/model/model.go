// Package model is a stand-in for a model engine that serves OpenAI chat
// completions with continuous batching.
package model

import (
	"net/http"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// Engine is a model engine behind an http.Handler. It serves
// /v1/chat/completions, /load, /cache/events, /orders, /record and /control/.
type Engine struct {
	se        settings
	faults    *fault.Switches
	setting   *snap.Cell[Setting]
	sched     *scheduler
	cache     *cache
	orders    *orders
	record    *record
	resumable *resumable
	load      *history
	// pendingTokens is the number of tokens that the calls in the queue and in
	// slots have still to generate.
	pendingTokens atomic.Int64
	mux           *http.ServeMux
}

// Setting is the set of faults that only an engine has. The zero value injects
// none.
type Setting struct {
	// SlowFactor multiplies all processing times. Zero means 1.
	SlowFactor float64 `json:"slowFactor"`
	// FailAfter fails a call after that many tokens and closes its connection.
	// Zero means never.
	FailAfter int `json:"failAfter"`
	// CutAfter closes the connection of a call after that many tokens on it. The
	// call can be resumed. Zero means never.
	CutAfter int `json:"cutAfter"`
	// LoadLagMillis is the age of the load report in milliseconds.
	LoadLagMillis int `json:"loadLagMillis"`
	// Leaving rejects new calls. The load report contains it.
	Leaving bool `json:"leaving"`
}

// WithSlowFactor returns a copy with the factor.
func (se Setting) WithSlowFactor(fa float64) Setting {
	se.SlowFactor = fa
	return se
}

// WithFailAfter returns a copy that fails calls after n tokens.
func (se Setting) WithFailAfter(n int) Setting {
	se.FailAfter = n
	return se
}

// WithCutAfter returns a copy that closes connections after n tokens.
func (se Setting) WithCutAfter(n int) Setting {
	se.CutAfter = n
	return se
}

// WithLoadLag returns a copy with the age of the load report in milliseconds.
func (se Setting) WithLoadLag(millis int) Setting {
	se.LoadLagMillis = millis
	return se
}

// WithLeaving returns a copy with Leaving set to on.
func (se Setting) WithLeaving(on bool) Setting {
	se.Leaving = on
	return se
}

// New returns an engine without calls.
func New(opts ...Option) *Engine {
	se := defaults()
	for _, opt := range opts {
		opt(&se)
	}
	en := &Engine{
		se: se, faults: fault.New(se.seed), setting: snap.NewCell(Setting{}),
		sched: newScheduler(se.slots, se.queue), cache: newCache(se.cacheTokens/blockTokens, se.seed),
		orders: newOrders(se.fencing, se.models), record: newRecord(se.records),
		resumable: &resumable{}, load: &history{}, mux: http.NewServeMux(),
	}
	en.routes()
	return en
}

// Faults returns the fault injection that all stand-ins have.
func (en *Engine) Faults() *fault.Switches { return en.faults }

// Setting returns the faults that only an engine has.
func (en *Engine) Setting() Setting { return en.setting.Load() }

// Set replaces the faults that only an engine has.
func (en *Engine) Set(se Setting) { en.setting.Store(se) }

// Runs returns the recorded runs in the order of their arrival.
func (en *Engine) Runs() []Run { return en.record.all() }

// ServeHTTP implements http.Handler.
func (en *Engine) ServeHTTP(wr http.ResponseWriter, re *http.Request) { en.mux.ServeHTTP(wr, re) }

func (en *Engine) routes() {
	en.mux.HandleFunc("POST /v1/chat/completions", en.withFaults(en.chat))
	en.mux.HandleFunc("GET /load", en.withFaults(en.serveLoad))
	en.mux.HandleFunc("GET /cache/events", en.withFaults(en.serveEvents))
	en.mux.HandleFunc("POST /orders", en.withFaults(en.orders.accept))
	en.mux.HandleFunc("GET /orders", en.orders.list)
	en.mux.HandleFunc("GET /record", func(wr http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(wr, http.StatusOK, en.Runs())
	})
	en.mux.Handle("/control/faults", fault.ControlHandler(en.faults.Cell()))
	en.mux.Handle("/control/engine", fault.ControlHandler(en.setting))
}

func (en *Engine) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		en.faults.BeforeEffect(re)
		next(wr, re)
	}
}

func (en *Engine) slowFactor() float64 {
	if fa := en.setting.Load().SlowFactor; fa > 0 {
		return fa
	}
	return 1
}
