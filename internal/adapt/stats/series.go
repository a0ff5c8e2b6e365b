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

// table is an immutable map from series to metrics, with the number of label
// values of each name.
type table[M any] struct {
	metrics map[series]M
	values  map[string]int
}

// withMetric returns a copy that holds the metric.
func (ta table[M]) withMetric(se series, me M) table[M] {
	cp := table[M]{metrics: maps.Clone(ta.metrics), values: maps.Clone(ta.values)}
	cp.metrics[se] = me
	cp.values[se.name]++
	return cp
}

// family holds the metrics of one type. Readers take no lock; a series that is
// new is added by read-copy-update.
type family[M any] struct {
	cell  *snap.Cell[table[M]]
	limit int
	open  func(se series) M
}

func newFamily[M any](limit int, open func(series) M) *family[M] {
	empty := table[M]{metrics: map[series]M{}, values: map[string]int{}}
	return &family[M]{cell: snap.NewCell(empty), limit: limit, open: open}
}

// get returns the metric of the series. A label value beyond the limit of its
// name is counted under Other.
func (fa *family[M]) get(se series) M {
	ta := fa.cell.Load()
	if me, ok := ta.metrics[se]; ok {
		return me
	}
	if ta.values[se.name] >= fa.limit {
		se.value = Other
	}
	// Tally returns the same metric for the same series, so two writers that
	// race here open one metric.
	me := fa.open(se)
	ta, _ = fa.cell.Update(func(cur table[M]) (table[M], bool) {
		if _, ok := cur.metrics[se]; ok {
			return cur, false
		}
		return cur.withMetric(se, me), true
	})
	return ta.metrics[se]
}
