// Package stats exposes metrics in the Prometheus text format. Together with
// package logs it implements the meter port.
package stats

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	tally "github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/meter"
)

// Metric and label names. Both counters have a series for every reason from the
// start.
const (
	Refusals = "refusals"
	Retries  = "retries"
	// ReasonLabel is the label of both counters.
	ReasonLabel = "reason"
	// OtherValue is the label value under which values beyond the limit of a
	// metric name are counted.
	OtherValue = "other"
)

var notRegistered = meter.Event{Number: 9001, Level: slog.LevelError, Text: "metric not registered"}

// buckets are the upper bounds of duration histograms in seconds. They are close
// together around the targets of 43 ms between tokens and 1.8 s to the first
// token.
var buckets = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.2, 0.4, 0.8,
	1.2, 1.8, 2.5, 5, 10, 30, 60, 300, 1800,
}

// Logger writes numbered events.
type Logger interface {
	Log(ev meter.Event, attrs ...slog.Attr)
}

// Option configures a Meter.
type Option func(*options)

type options struct {
	maxLabelValues int
	interval       time.Duration
	processMetrics bool
}

// WithMaxLabelValues bounds the number of label values of one metric name. Further
// values are counted under "other". Default: 1024, which covers 600 upstreams and
// 360 client accounts. Range: 1 and above.
func WithMaxLabelValues(num int) Option { return func(op *options) { op.maxLabelValues = num } }

// WithInterval sets the interval at which counters and gauges are reported to the
// exposed registry. Default: 1s. Range: above 0.
func WithInterval(du time.Duration) Option { return func(op *options) { op.interval = du } }

// WithoutProcessMetrics leaves out the metrics of the Go runtime and the process.
// Default: they are exposed.
func WithoutProcessMetrics() Option { return func(op *options) { op.processMetrics = false } }

// Meter implements meter.Meter.
type Meter struct {
	Logger
	handler  http.Handler
	closer   io.Closer
	counters *family[tally.Counter]
	gauges   *family[tally.Gauge]
	timers   *family[tally.Timer]
}

// NewMeter returns a meter that logs to lo. It must be closed.
func NewMeter(lo Logger, opts ...Option) *Meter {
	op := options{maxLabelValues: 1024, interval: time.Second, processMetrics: true}
	for _, opt := range opts {
		opt(&op)
	}
	reg := prometheus.NewRegistry()
	if op.processMetrics {
		reg.MustRegister(collectors.NewGoCollector(),
			collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	}
	rep := tallyprom.NewReporter(tallyprom.Options{
		Registerer:              reg,
		DefaultTimerType:        tallyprom.HistogramTimerType,
		DefaultHistogramBuckets: buckets,
		OnRegisterError: func(err error) {
			lo.Log(notRegistered, slog.String("error", err.Error()))
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		CachedReporter:         rep,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, op.interval)
	me := &Meter{Logger: lo, handler: rep.HTTPHandler(), closer: closer}
	me.counters = newFamily(op.maxLabelValues, func(se series) tally.Counter {
		return scope.Tagged(se.tags()).Counter(se.name)
	})
	me.gauges = newFamily(op.maxLabelValues, func(se series) tally.Gauge {
		return scope.Tagged(se.tags()).Gauge(se.name)
	})
	me.timers = newFamily(op.maxLabelValues, func(se series) tally.Timer {
		return scope.Tagged(se.tags()).Timer(se.name)
	})
	for _, re := range refuse.All() {
		me.Count(Refusals, ReasonLabel, string(re), 0)
		me.Count(Retries, ReasonLabel, string(re), 0)
	}
	return me
}

// Handler serves the metrics.
func (me *Meter) Handler() http.Handler { return me.handler }

// Close reports the remaining counts to the registry and stops reporting.
func (me *Meter) Close() error { return me.closer.Close() }

// Count adds num to a counter.
func (me *Meter) Count(name, label, value string, num int64) {
	me.counters.get(series{name, label, value}).Inc(num)
}

// Gauge sets a gauge.
func (me *Meter) Gauge(name, label, value string, val float64) {
	me.gauges.get(series{name, label, value}).Update(val)
}

// Observe records a duration in a histogram.
func (me *Meter) Observe(name, label, value string, du time.Duration) {
	me.timers.get(series{name, label, value}).Record(du)
}
