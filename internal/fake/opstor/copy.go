package opstor

import (
	"bytes"
	"cmp"
	"maps"
	"net/http"
	"slices"
)

// Copy is the content of a Store at one moment.
type Copy struct{ content content }

// Copy returns a copy of the content.
func (st *Store) Copy() Copy {
	st.mu.Lock()
	defer st.mu.Unlock()
	return Copy{st.clone()}
}

// Restore returns to the content of a copy and begins the next era. Rows, history and
// the counter of versions go back. Then the rows are written, before any call is
// served; their versions are given out again.
func (st *Store) Restore(co Copy, rows ...Row) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.content = co.content.clone()
	st.era++
	for _, ro := range rows {
		st.ver++
		ro.Ver = st.ver
		st.write(ro)
	}
	st.notifyFeeds()
}

// WriteAgain lets the operator and the upstreams write their rows of the table again,
// as far as the store has other values. It returns the number of rows written.
func (st *Store) WriteAgain(table string) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	rows := slices.SortedFunc(maps.Values(st.written), func(one, two Row) int { return cmp.Compare(one.Ver, two.Ver) })
	count := 0
	for _, ro := range rows {
		cur, exists := st.rows[rowKey{ro.Table, ro.Part, ro.Key}]
		if ro.Table != table || exists != ro.Tombstone && bytes.Equal(cur.Value, ro.Value) {
			continue
		}
		st.ver++
		ro.Ver = st.ver
		st.write(ro)
		count++
	}
	st.notifyFeeds()
	return count
}

// DeliverLate sends the responses of the calls with the fault Late.
func (st *Store) DeliverLate() {
	st.mu.Lock()
	defer st.mu.Unlock()
	close(st.late)
	st.late = make(chan struct{})
}

// SetEraHeader installs a function that returns the value of the header Store-Era in a
// response of an era. A response for which it is empty has no such header.
func (st *Store) SetEraHeader(header func(era uint64) string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.eraHeader = header
}

func (st *Store) setEra(wr http.ResponseWriter, era uint64) {
	wr.Header().Del(eraHeader)
	if value := st.eraHeader(era); value != "" {
		wr.Header().Set(eraHeader, value)
	}
}

func (st *Store) eraNow() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.era
}

func (co content) clone() content {
	co.rows, co.log = maps.Clone(co.rows), slices.Clone(co.log)
	return co
}
