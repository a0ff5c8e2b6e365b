package stats

import (
	"maps"

	"github.com/balsamwood/balsamwood/internal/core/snap"
)

// series identifies one time series.
type series struct{ name, label, value string }

// tags returns the label in the form that tally expects.
func (se series) tags() map[string]string {
	if se.label == "" {
		return nil
	}
	return map[string]string{se.label: se.value}
}

// metricMap is an immutable map from series to metrics, with the number of label
// values of each metric name.
type metricMap[M any] struct {
	metrics     map[series]M
	valueCounts map[string]int
}

// withMetric returns a copy that holds the metric.
func (mm metricMap[M]) withMetric(se series, me M) metricMap[M] {
	cp := metricMap[M]{metrics: maps.Clone(mm.metrics), valueCounts: maps.Clone(mm.valueCounts)}
	cp.metrics[se] = me
	cp.valueCounts[se.name]++
	return cp
}

// family holds the metrics of one type. Readers take no lock; a new series is
// added by read-copy-update.
type family[M any] struct {
	cell           *snap.Cell[metricMap[M]]
	maxLabelValues int
	create         func(se series) M
}

func newFamily[M any](maxLabelValues int, create func(series) M) *family[M] {
	empty := metricMap[M]{metrics: map[series]M{}, valueCounts: map[string]int{}}
	return &family[M]{cell: snap.NewCell(empty), maxLabelValues: maxLabelValues, create: create}
}

// get returns the metric of the series. A label value beyond the limit of its
// metric name is replaced by OtherValue.
func (fa *family[M]) get(se series) M {
	mm := fa.cell.Load()
	if me, ok := mm.metrics[se]; ok {
		return me
	}
	if mm.valueCounts[se.name] >= fa.maxLabelValues {
		se.value = OtherValue
	}
	// Tally returns the same metric for the same series, so concurrent calls
	// create only one.
	me := fa.create(se)
	mm, _ = fa.cell.Update(func(cur metricMap[M]) (metricMap[M], bool) {
		if _, ok := cur.metrics[se]; ok {
			return cur, false
		}
		return cur.withMetric(se, me), true
	})
	return mm.metrics[se]
}
