// Package cloud is a stand-in for the platform. It serves a transactional table,
// an object store and a list of VMs from one http.Handler.
package cloud

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/fake/fault"
	"github.com/balsamwood/balsamwood/internal/port/clock"
)

// Cloud serves the table to requests with an X-Amz-Target header at any path, the
// VM list at /vms, fault injection and inspection below /control/, and objects at
// all other paths.
type Cloud struct {
	faults   *fault.Switches
	limits   *snap.Cell[Limits]
	clk      clock.Clock
	counts   counters
	table    *table
	vms      *vmList
	mux      *http.ServeMux
	pageSize int
	mu       sync.Mutex
	// reads and writes enforce the limits.
	reads   *rate.Limiter
	writes  *rate.Limiter
	objects map[string][]byte
}

// Limits holds the rates above which the table throttles calls. Zero means no
// limit. Each item of a transaction counts as one write.
type Limits struct {
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// Option configures a Cloud.
type Option func(*Cloud)

// WithSeed sets the seed that determines which responses are lost. The default is
// 1.
func WithSeed(seed uint64) Option {
	return func(cl *Cloud) { cl.faults = fault.New(seed) }
}

// WithClock sets the clock of the rate limits and of the VM list. The default
// is the system clock.
func WithClock(clk clock.Clock) Option {
	return func(cl *Cloud) { cl.clk = clk }
}

// WithLimits sets the rates above which the table throttles calls. The default is
// no limit.
func WithLimits(li Limits) Option {
	return func(cl *Cloud) { cl.limits = snap.NewCell(li) }
}

// WithPageSize sets the largest number of rows in one response to a query. The
// default is 1000; at least 1.
func WithPageSize(rows int) Option {
	return func(cl *Cloud) { cl.pageSize = rows }
}

// WithVMLag sets the delay after which a change of the VM list becomes visible.
// The default is 0.
func WithVMLag(lag time.Duration) Option {
	return func(cl *Cloud) { cl.vms.setLag(lag) }
}

// New returns a platform without rows, objects and VMs.
func New(opts ...Option) *Cloud {
	cl := &Cloud{
		faults: fault.New(1), limits: snap.NewCell(Limits{}), clk: clock.System{},
		table: newTable(), vms: &vmList{}, mux: http.NewServeMux(), pageSize: 1000,
		reads: rate.NewLimiter(rate.Inf, 1), writes: rate.NewLimiter(rate.Inf, 1),
		objects: make(map[string][]byte),
	}
	for _, opt := range opts {
		opt(cl)
	}
	cl.routes()
	return cl
}

// Faults returns the fault injection.
func (cl *Cloud) Faults() *fault.Switches { return cl.faults }

// SetLimits replaces the rates above which the table throttles calls.
func (cl *Cloud) SetLimits(li Limits) { cl.limits.Store(li) }

// Counts returns counters of the work done so far.
func (cl *Cloud) Counts() Counts { return cl.counts.load() }

// Rows returns all rows of the table in key order.
func (cl *Cloud) Rows() []Row { return cl.table.allRows() }

// SetVMs replaces the VM list. The change becomes visible after the lag.
func (cl *Cloud) SetVMs(vms ...VM) { cl.vms.set(cl.clk.Now(), vms) }

// SetVMLag sets the delay after which a change of the VM list becomes visible.
func (cl *Cloud) SetVMLag(lag time.Duration) { cl.vms.setLag(lag) }

// ServeHTTP implements http.Handler.
func (cl *Cloud) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	cl.mux.ServeHTTP(wr, re)
}

func (cl *Cloud) routes() {
	cl.mux.HandleFunc("/", cl.serve)
	cl.mux.Handle("/control/faults", fault.ControlHandler(cl.faults.Cell()))
	cl.mux.Handle("/control/limits", fault.ControlHandler(cl.limits))
	cl.mux.HandleFunc("/control/vms", cl.controlVMs)
	cl.mux.HandleFunc("GET /control/counts", func(wr http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(wr, http.StatusOK, cl.Counts())
	})
	cl.mux.HandleFunc("GET /control/rows", func(wr http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(wr, http.StatusOK, cl.Rows())
	})
}

func (cl *Cloud) serve(wr http.ResponseWriter, re *http.Request) {
	cl.faults.BeforeEffect(re)
	switch {
	case re.Header.Get("X-Amz-Target") != "":
		cl.serveTable(wr, re)
	case re.URL.Path == "/vms":
		cl.serveVMs(wr, re)
	default:
		cl.serveObject(wr, re)
	}
}

// allow reports whether n units are within the limit per second, and counts the
// call as throttled if they are not. The burst is the limit for one second.
func (cl *Cloud) allow(li *rate.Limiter, limit float64, n int) bool {
	if limit <= 0 {
		return true
	}
	now := cl.clk.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if li.Limit() != rate.Limit(limit) {
		li.SetLimitAt(now, rate.Limit(limit))
		li.SetBurstAt(now, max(1, int(limit)))
	}
	if li.AllowN(now, n) {
		return true
	}
	cl.counts.throttled.Add(1)
	return false
}
