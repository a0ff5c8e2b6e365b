package cloud

import (
	"slices"
	"strings"
	"sync"
)

// Row is one row of the table.
type Row struct {
	Partition string `json:"partition"`
	Sort      string `json:"sort"`
	Value     []byte `json:"value"`
	Version   uint64 `json:"version"`
}

// write is one item of a transaction. A nil want requires that the row is
// absent.
type write struct {
	row  Row
	want *uint64
	kind writeKind
}

type writeKind int

const (
	put writeKind = iota
	del
	check
)

type table struct {
	mu    sync.RWMutex
	parts map[string]*partition
}

type partition struct {
	rows  map[string]Row
	order []string
}

func newTable() *table { return &table{parts: make(map[string]*partition)} }

func (ta *table) get(part, sort string) (Row, bool) {
	ta.mu.RLock()
	defer ta.mu.RUnlock()
	pa, ok := ta.parts[part]
	if !ok {
		return Row{}, false
	}
	row, ok := pa.rows[sort]
	return row, ok
}

// query returns up to limit rows of a partition after the sort key after, and
// whether it stopped at the limit.
func (ta *table) query(part, prefix, after string, limit int) ([]Row, bool) {
	ta.mu.RLock()
	defer ta.mu.RUnlock()
	pa, ok := ta.parts[part]
	if !ok {
		return nil, false
	}
	at, _ := slices.BinarySearch(pa.order, max(prefix, after))
	var out []Row
	for _, key := range pa.order[at:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if after != "" && key <= after {
			continue
		}
		out = append(out, pa.rows[key])
		if len(out) == limit {
			return out, true
		}
	}
	return out, false
}

// commit applies all writes or none. It returns which conditions failed.
func (ta *table) commit(writes []write) ([]bool, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	failed, ok := make([]bool, len(writes)), true
	for idx, wr := range writes {
		failed[idx] = !ta.holds(wr)
		ok = ok && !failed[idx]
	}
	if !ok {
		return failed, false
	}
	for _, wr := range writes {
		ta.apply(wr)
	}
	return failed, true
}

func (ta *table) holds(wr write) bool {
	var row Row
	found := false
	if pa, ok := ta.parts[wr.row.Partition]; ok {
		row, found = pa.rows[wr.row.Sort]
	}
	if wr.want == nil {
		return !found
	}
	return found && row.Version == *wr.want
}

func (ta *table) apply(wr write) {
	pa, ok := ta.parts[wr.row.Partition]
	if !ok {
		pa = &partition{rows: make(map[string]Row)}
		ta.parts[wr.row.Partition] = pa
	}
	at, found := slices.BinarySearch(pa.order, wr.row.Sort)
	switch wr.kind {
	case put:
		if !found {
			pa.order = slices.Insert(pa.order, at, wr.row.Sort)
		}
		pa.rows[wr.row.Sort] = wr.row
	case del:
		if found {
			pa.order = slices.Delete(pa.order, at, at+1)
			delete(pa.rows, wr.row.Sort)
		}
	}
}

func (ta *table) dump() []Row {
	ta.mu.RLock()
	defer ta.mu.RUnlock()
	out := []Row{}
	for _, pa := range ta.parts {
		for _, row := range pa.rows {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(le, ri Row) int {
		return strings.Compare(le.Partition+"/"+le.Sort, ri.Partition+"/"+ri.Sort)
	})
	return out
}
