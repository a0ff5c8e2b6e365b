// Package opstor is a stand-in for an operator's store: rows with versions from
// one counter, transactions, and feeds of changes, with switches for its
// failures. It is written from the published protocol and shares no type with
// the adapter.
package opstor

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is the failure of one call.
type Fault int

const (
	// None is a call that succeeds.
	None Fault = iota
	// Down answers with status 503 and does nothing.
	Down
	// Busy answers with status 429 and does nothing.
	Busy
	// Lost does the call and breaks the connection off.
	Lost
	// Silent holds the call until its client gives up, and does nothing.
	Silent
)

// Row is one row.
type Row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

type place struct{ table, part, key string }

// Store keeps the rows.
type Store struct {
	server *httptest.Server
	began  time.Time

	mu      sync.Mutex
	rows    map[place]Row
	log     []Row
	ver     uint64
	oldest  uint64
	changed chan struct{}
	calls   int
	faults  func(call string) Fault
}

// New starts a store without rows on loopback.
func New() *Store {
	st := &Store{began: time.Now(), rows: map[place]Row{}, changed: make(chan struct{}), faults: func(string) Fault { return None }}
	mx := http.NewServeMux()
	mx.HandleFunc("POST /api/rows-tx", st.guard("rows-tx", st.commit))
	mx.HandleFunc("GET /api/rows-get", st.guard("rows-get", st.get))
	mx.HandleFunc("GET /api/rows-feed", st.guard("rows-feed", st.feed))
	st.server = httptest.NewServer(mx)
	return st
}

// Addr returns IP:PORT.
func (st *Store) Addr() string { return st.server.Listener.Addr().String() }

// Close ends the store.
func (st *Store) Close() {
	st.server.CloseClientConnections()
	st.server.Close()
}

// Fail installs a function that chooses the fault of each call.
func (st *Store) Fail(faults func(call string) Fault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = faults
}

// Calls returns the number of calls so far.
func (st *Store) Calls() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

// Put writes a row of the operator or of an upstream.
func (st *Store) Put(table, key string, doc any) {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ver++
	st.write(Row{Table: table, Key: key, Value: data, Ver: st.ver})
	st.publish()
}

// Remove removes a row.
func (st *Store) Remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ver++
	st.write(Row{Table: table, Key: key, Ver: st.ver, Tombstone: true})
	st.publish()
}

// Forget drops the history of changes.
func (st *Store) Forget() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.log, st.oldest = nil, st.ver
}

// Rows returns the rows of a table in the order of partitions and keys.
func (st *Store) Rows(table string) []Row {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.list(func(at place) bool { return at.table == table })
}

func (st *Store) write(ro Row) {
	at := place{ro.Table, ro.Part, ro.Key}
	if ro.Tombstone {
		delete(st.rows, at)
	} else {
		st.rows[at] = ro
	}
	st.log = append(st.log, ro)
}

func (st *Store) publish() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) list(match func(place) bool) []Row {
	out := []Row{}
	for at, ro := range st.rows {
		if match(at) {
			out = append(out, ro)
		}
	}
	slices.SortFunc(out, func(one, two Row) int {
		return cmp.Or(cmp.Compare(one.Part, two.Part), cmp.Compare(one.Key, two.Key))
	})
	return out
}

type handler func(re *http.Request) (status int, body any)

type answer struct {
	Rows    []Row
	HasMore bool
	Ver     uint64
	NowMs   int64
}

func (st *Store) guard(call string, ha handler) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		st.mu.Lock()
		st.calls++
		fault := st.faults(call)
		st.mu.Unlock()
		switch fault {
		case Down:
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		case Busy:
			wr.WriteHeader(http.StatusTooManyRequests)
			return
		case Silent:
			// The end of a connection is noticed once its request was read.
			_, _ = io.Copy(io.Discard, re.Body)
			<-re.Context().Done()
			return
		}
		status, body := ha(re)
		if fault == Lost {
			panic(http.ErrAbortHandler)
		}
		wr.Header().Set("Content-Type", "application/json")
		wr.WriteHeader(status)
		_ = json.NewEncoder(wr).Encode(body)
	}
}

func (st *Store) answer(rows []Row) answer {
	return answer{Rows: rows, Ver: st.ver, NowMs: 1 + time.Since(st.began).Milliseconds()}
}

type transaction struct {
	IfRev, Writes, Remove []Row
	Across                bool
}

func (st *Store) commit(re *http.Request) (int, any) {
	var tx transaction
	if err := json.NewDecoder(re.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var now []Row
	failed := false
	for _, ro := range tx.IfRev {
		cur, ok := st.rows[place{ro.Table, ro.Part, ro.Key}]
		if ok {
			now = append(now, cur)
		}
		failed = failed || cur.Ver != ro.Ver
		if ro.Part != tx.IfRev[0].Part && !tx.Across {
			return http.StatusBadRequest, "several partitions"
		}
	}
	if failed {
		return http.StatusPreconditionFailed, st.answer(now)
	}
	st.ver++
	for _, ro := range tx.Writes {
		ro.Ver = st.ver
		st.write(ro)
	}
	for _, ro := range tx.Remove {
		ro.Ver, ro.Tombstone = st.ver, true
		st.write(ro)
	}
	st.publish()
	return http.StatusOK, st.answer(nil)
}

func (st *Store) get(re *http.Request) (int, any) {
	table, part, from, to := re.FormValue("Table"), re.FormValue("part"), re.FormValue("From"), re.FormValue("To")
	limit, err := strconv.Atoi(re.FormValue("Limit"))
	if err != nil {
		limit = 500
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	rows := st.list(func(at place) bool {
		return at.table == table && at.part == part && at.key >= from && (to == "" || at.key < to)
	})
	an := st.answer(rows[:min(limit, len(rows))])
	an.HasMore = len(rows) > limit
	return http.StatusOK, an
}

func (st *Store) feed(re *http.Request) (int, any) {
	since, _ := strconv.ParseUint(re.FormValue("SinceRev"), 10, 64)
	wait, _ := strconv.Atoi(re.FormValue("WaitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		st.mu.Lock()
		if since < st.oldest {
			st.mu.Unlock()
			return http.StatusGone, struct{}{}
		}
		var rows []Row
		for _, ro := range st.log {
			if ro.Ver > since && ro.Table == re.FormValue("Table") {
				rows = append(rows, ro)
			}
		}
		an, changed := st.answer(rows), st.changed
		st.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, an
		}
		select {
		case <-changed:
		case <-end.C:
			return http.StatusOK, an
		case <-re.Context().Done():
			return http.StatusOK, an
		}
	}
}

// Values returns the values of a table by key, without the number in front
// that the product stores with its own rows.
func (st *Store) Values(table string) map[string]string {
	out := map[string]string{}
	for _, ro := range st.Rows(table) {
		_, val, _ := strings.Cut(string(ro.Value), "\n")
		out[ro.Part+"/"+ro.Key] = val
	}
	return out
}
