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

// write is one item of a transaction.
type write struct {
	row Row
	// wantVersion is the version that the row must have. If it is nil, the row
	// must not exist.
	wantVersion *uint64
	kind        writeKind
}

type writeKind int

const (
	put writeKind = iota
	del
	check
)

type table struct {
	mu         sync.RWMutex
	partitions map[string]*partition
}

type partition struct {
	rows     map[string]Row
	sortKeys []string
}

func newTable() *table { return &table{partitions: make(map[string]*partition)} }

func (ta *table) get(part, sort string) (Row, bool) {
	ta.mu.RLock()
	defer ta.mu.RUnlock()
	pa, ok := ta.partitions[part]
	if !ok {
		return Row{}, false
	}
	row, ok := pa.rows[sort]
	return row, ok
}

// query returns up to limit rows of a partition whose sort keys begin with prefix
// and come after the given one. It reports whether it stopped at the limit.
func (ta *table) query(part, prefix, after string, limit int) ([]Row, bool) {
	ta.mu.RLock()
	defer ta.mu.RUnlock()
	pa, ok := ta.partitions[part]
	if !ok {
		return nil, false
	}
	at, _ := slices.BinarySearch(pa.sortKeys, max(prefix, after))
	var out []Row
	for _, key := range pa.sortKeys[at:] {
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

// commit applies all writes if all their conditions hold, and none otherwise. It
// returns which conditions failed.
func (ta *table) commit(writes []write) ([]bool, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	failed, ok := make([]bool, len(writes)), true
	for idx, wr := range writes {
		failed[idx] = !ta.conditionHolds(wr)
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

func (ta *table) conditionHolds(wr write) bool {
	var row Row
	found := false
	if pa, ok := ta.partitions[wr.row.Partition]; ok {
		row, found = pa.rows[wr.row.Sort]
	}
	if wr.wantVersion == nil {
		return !found
	}
	return found && row.Version == *wr.wantVersion
}

func (ta *table) apply(wr write) {
	pa, ok := ta.partitions[wr.row.Partition]
	if !ok {
		pa = &partition{rows: make(map[string]Row)}
		ta.partitions[wr.row.Partition] = pa
	}
	at, found := slices.BinarySearch(pa.sortKeys, wr.row.Sort)
	switch wr.kind {
	case put:
		if !found {
			pa.sortKeys = slices.Insert(pa.sortKeys, at, wr.row.Sort)
		}
		pa.rows[wr.row.Sort] = wr.row
	case del:
		if found {
			pa.sortKeys = slices.Delete(pa.sortKeys, at, at+1)
			delete(pa.rows, wr.row.Sort)
		}
	}
}

func (ta *table) allRows() []Row {
	ta.mu.RLock()
	defer ta.mu.RUnlock()
	out := []Row{}
	for _, pa := range ta.partitions {
		for _, row := range pa.rows {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(le, ri Row) int {
		return strings.Compare(le.Partition+"/"+le.Sort, ri.Partition+"/"+ri.Sort)
	})
	return out
}
