// Package action is a stand-in for a plain service. It has lookups without effect
// and actions that must not run twice, such as the issue of a voucher or a filing.
package action

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 1 << 20

// Service is a plain service behind an http.Handler. It serves POST /vouchers and
// POST /filings, GET /vouchers/{id} and GET /filings/{id}, /load, /record and
// /control/. It does not compare idempotency keys, so a repeated call has a second
// effect.
type Service struct {
	faults   *fault.Switches
	slots    int
	callTime time.Duration
	running  atomic.Int64
	lookups  atomic.Int64
	leaving  atomic.Bool
	mux      *http.ServeMux
	mu       sync.Mutex
	effects  []Effect
}

// Effect records an action that was executed.
type Effect struct {
	ID      string `json:"id"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Request string `json:"request"`
	Body    string `json:"body"`
}

// Load is the load report of the service.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// Option configures a Service.
type Option func(*Service)

// WithSeed sets the seed that determines which responses are lost. The default is
// 1.
func WithSeed(seed uint64) Option {
	return func(sv *Service) { sv.faults = fault.New(seed) }
}

// WithSlots sets the number of slots in the load report. It does not limit the
// calls. The default is 16; at least 1.
func WithSlots(n int) Option { return func(sv *Service) { sv.slots = n } }

// WithCallTime sets the time that a call takes before its effect. The default is
// 0.
func WithCallTime(d time.Duration) Option { return func(sv *Service) { sv.callTime = d } }

// New returns a service without effects.
func New(opts ...Option) *Service {
	sv := &Service{faults: fault.New(1), slots: 16, mux: http.NewServeMux()}
	for _, opt := range opts {
		opt(sv)
	}
	sv.routes()
	return sv
}

// Faults returns the fault injection.
func (sv *Service) Faults() *fault.Switches { return sv.faults }

// SetLeaving sets the member leaving of the load report.
func (sv *Service) SetLeaving(on bool) { sv.leaving.Store(on) }

// Effects returns the actions that were executed, in order.
func (sv *Service) Effects() []Effect {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return slices.Clone(sv.effects)
}

// Lookups returns the number of lookups so far.
func (sv *Service) Lookups() int64 { return sv.lookups.Load() }

// ServeHTTP implements http.Handler.
func (sv *Service) ServeHTTP(wr http.ResponseWriter, re *http.Request) { sv.mux.ServeHTTP(wr, re) }

func (sv *Service) routes() {
	for _, kind := range []string{"vouchers", "filings"} {
		sv.mux.HandleFunc("POST /"+kind, sv.withFaults(sv.serveAction))
		sv.mux.HandleFunc("GET /"+kind+"/{id}", sv.withFaults(sv.serveLookup))
	}
	sv.mux.HandleFunc("GET /load", sv.serveLoad)
	sv.mux.HandleFunc("GET /record", func(wr http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(wr, http.StatusOK, append([]Effect{}, sv.Effects()...))
	})
	sv.mux.Handle("/control/faults", fault.ControlHandler(sv.faults.Cell()))
	sv.mux.HandleFunc("POST /control/leaving", func(wr http.ResponseWriter, re *http.Request) {
		var on bool
		if fault.ReadJSON(wr, re, &on) {
			sv.SetLeaving(on)
		}
	})
}

func (sv *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		sv.running.Add(1)
		defer sv.running.Add(-1)
		sv.faults.BeforeEffect(re)
		next(wr, re)
	}
}

// serveAction executes the action and then responds, unless the response is to be
// lost.
func (sv *Service) serveAction(wr http.ResponseWriter, re *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(wr, re.Body, maxBodyBytes))
	if err != nil || !json.Valid(body) {
		http.Error(wr, "a JSON body of at most 1 MiB is required", http.StatusBadRequest)
		return
	}
	if !fault.Wait(re, sv.callTime) {
		fault.Abort()
	}
	ef := sv.addEffect(Effect{
		Path: re.URL.Path, Key: re.Header.Get("Idempotency-Key"),
		Request: re.Header.Get("X-Request-Id"), Body: string(body),
	})
	if sv.faults.LoseResponse() {
		fault.Abort()
	}
	fault.WriteJSON(wr, http.StatusCreated, ef)
}

func (sv *Service) addEffect(ef Effect) Effect {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	ef.ID = fmt.Sprint(len(sv.effects) + 1)
	sv.effects = append(sv.effects, ef)
	return ef
}

func (sv *Service) serveLookup(wr http.ResponseWriter, re *http.Request) {
	sv.lookups.Add(1)
	if !fault.Wait(re, sv.callTime) {
		fault.Abort()
	}
	for _, ef := range sv.Effects() {
		if ef.Path+"/"+ef.ID == re.URL.Path {
			fault.WriteJSON(wr, http.StatusOK, ef)
			return
		}
	}
	http.Error(wr, "no such record", http.StatusNotFound)
}

func (sv *Service) serveLoad(wr http.ResponseWriter, re *http.Request) {
	sv.faults.BeforeEffect(re)
	running := int(sv.running.Load())
	fault.WriteJSON(wr, http.StatusOK, Load{
		Running: min(running, sv.slots), Waiting: max(0, running-sv.slots), Slots: sv.slots,
		Leaving: sv.leaving.Load(),
	})
}
