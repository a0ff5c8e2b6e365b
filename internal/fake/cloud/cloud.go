// Package cloud is a stand-in for the platform: its transactional table, its
// object store and its list of VMs behind one http.Handler.
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

// Cloud serves the table at any path with an X-Amz-Target header, the VM list
// at /vms, control at /control/ and objects at every other path.
type Cloud struct {
	faults  *fault.Switches
	limits  *snap.Cell[Limits]
	clk     clock.Clock
	count   counters
	table   *table
	vms     *vmList
	mux     *http.ServeMux
	page    int
	mu      sync.Mutex
	reads   *rate.Limiter
	writes  *rate.Limiter
	objects map[string][]byte
}

// Limits are the rates above which the table throttles. Zero means no limit.
// Every item of a transaction counts as one write.
type Limits struct {
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	WritesPerSecond float64 `json:"writesPerSecond"`
}

// Option configures a Cloud.
type Option func(*Cloud)

// WithSeed sets the seed of the lost answers. The default is 1.
func WithSeed(seed uint64) Option {
	return func(cl *Cloud) { cl.faults = fault.New(seed) }
}

// WithClock sets the clock of the rate limits and of the VM list. The default
// is the system clock.
func WithClock(clk clock.Clock) Option {
	return func(cl *Cloud) { cl.clk = clk }
}

// WithLimits sets the rates above which the table throttles, per second. The
// default is no limit.
func WithLimits(li Limits) Option {
	return func(cl *Cloud) { cl.limits = snap.NewCell(li) }
}

// WithPage sets the largest number of rows in one answer of a query. The
// default is 1000; at least 1.
func WithPage(rows int) Option {
	return func(cl *Cloud) { cl.page = rows }
}

// WithLag sets how far the VM list lags behind the truth. The default is 0.
func WithLag(lag time.Duration) Option {
	return func(cl *Cloud) { cl.vms.setLag(lag) }
}

// New returns an empty platform.
func New(opts ...Option) *Cloud {
	cl := &Cloud{
		faults: fault.New(1), limits: snap.NewCell(Limits{}), clk: clock.System{},
		table: newTable(), vms: &vmList{}, mux: http.NewServeMux(), page: 1000,
		reads: rate.NewLimiter(rate.Inf, 1), writes: rate.NewLimiter(rate.Inf, 1),
		objects: make(map[string][]byte),
	}
	for _, opt := range opts {
		opt(cl)
	}
	cl.routes()
	return cl
}

// Faults returns the failure switches.
func (cl *Cloud) Faults() *fault.Switches { return cl.faults }

// SetLimits replaces the rates above which the table throttles.
func (cl *Cloud) SetLimits(li Limits) { cl.limits.Store(li) }

// Counts returns the work done so far.
func (cl *Cloud) Counts() Counts { return cl.count.load() }

// Rows returns all rows of the table in key order.
func (cl *Cloud) Rows() []Row { return cl.table.dump() }

// SetVMs replaces the VM list. The answer shows it after the lag.
func (cl *Cloud) SetVMs(vms ...VM) { cl.vms.set(cl.clk.Now(), vms) }

// SetLag sets how far the VM list lags behind the truth.
func (cl *Cloud) SetLag(lag time.Duration) { cl.vms.setLag(lag) }

// ServeHTTP answers one request.
func (cl *Cloud) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	cl.mux.ServeHTTP(wr, re)
}

func (cl *Cloud) routes() {
	cl.mux.HandleFunc("/", cl.serve)
	cl.mux.Handle("/control/faults", fault.Control(cl.faults.Cell()))
	cl.mux.Handle("/control/limits", fault.Control(cl.limits))
	cl.mux.HandleFunc("/control/vms", cl.controlVMs)
	cl.mux.HandleFunc("GET /control/counts", func(wr http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(wr, http.StatusOK, cl.Counts())
	})
	cl.mux.HandleFunc("GET /control/rows", func(wr http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(wr, http.StatusOK, cl.Rows())
	})
}

func (cl *Cloud) serve(wr http.ResponseWriter, re *http.Request) {
	cl.faults.Enter(re)
	switch {
	case re.Header.Get("X-Amz-Target") != "":
		cl.serveTable(wr, re)
	case re.URL.Path == "/vms":
		cl.serveVMs(wr, re)
	default:
		cl.serveObject(wr, re)
	}
}

// allow reports whether n units are within the rate limit per second. The
// burst is the work of one second.
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
	cl.count.throttled.Add(1)
	return false
}
