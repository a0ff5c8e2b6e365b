// Package opstor is a stand-in for an operator's store. It has rows with versions
// from one counter, transactions, feeds of changes and fault injection, and it may
// return from a copy of an earlier state. It is written from the published protocol
// and shares no type with the adapter.
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

// Fault is an injected failure of one call.
type Fault int

const (
	// None injects no failure.
	None Fault = iota
	// Down responds with status 503 and does not execute the call.
	Down
	// Throttled responds with status 429 and does not execute the call.
	Throttled
	// ResponseLost executes the call and closes the connection without a response.
	ResponseLost
	// Silent sends no response and does not execute the call. It holds the
	// connection until the client closes it.
	Silent
	// Late executes the call and sends the response after DeliverLate.
	Late
)

// eraHeader is the header that counts how often the store has returned from a copy.
const eraHeader = "Store-Era"

// Row is a row of the store, or the deletion of a row if Tombstone is set.
type Row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

// Option configures a Store.
type Option func(*Store)

// WithoutServer keeps the store from listening. Calls then go to its ServeHTTP.
func WithoutServer() Option { return func(st *Store) { st.listens = false } }

// Store is an HTTP server that keeps rows and the log of their changes.
type Store struct {
	handler *http.ServeMux
	listens bool
	server  *httptest.Server
	started time.Time

	mu sync.Mutex
	content
	// written holds what the operator and the upstreams have written last.
	written map[rowKey]Row
	changed chan struct{}
	calls   int
	faults  func(call string) Fault
	late    chan struct{}

	era       uint64
	eraHeader func(era uint64) string
}

// content is what a copy of the store contains.
type content struct {
	rows map[rowKey]Row
	log  []Row
	ver  uint64
	// oldest is the lowest version from which a feed can be read.
	oldest uint64
}

// New starts an empty store on loopback, whose era is 1.
func New(opts ...Option) *Store {
	st := &Store{
		handler: http.NewServeMux(), listens: true, started: time.Now(), content: content{rows: map[rowKey]Row{}}, written: map[rowKey]Row{},
		changed: make(chan struct{}), faults: func(string) Fault { return None }, late: make(chan struct{}),
		era: 1, eraHeader: func(era uint64) string { return strconv.FormatUint(era, 10) },
	}
	st.handler.HandleFunc("POST /api/rows-tx", st.withFaults("rows-tx", st.commit))
	st.handler.HandleFunc("GET /api/rows-get", st.withFaults("rows-get", st.get))
	st.handler.HandleFunc("GET /api/rows-feed", st.withFaults("rows-feed", st.feed))
	for _, opt := range opts {
		opt(st)
	}
	if st.listens {
		st.server = httptest.NewServer(st.handler)
	}
	return st
}

// ServeHTTP serves one call.
func (st *Store) ServeHTTP(wr http.ResponseWriter, re *http.Request) { st.handler.ServeHTTP(wr, re) }

// Addr returns IP:PORT.
func (st *Store) Addr() string { return st.server.Listener.Addr().String() }

// Close stops the server and closes its connections.
func (st *Store) Close() {
	st.server.CloseClientConnections()
	st.server.Close()
}

// SetFaults installs a function that returns the fault of each call. It gets the
// name of the call: rows-tx, rows-get or rows-feed.
func (st *Store) SetFaults(faults func(call string) Fault) {
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

// Put writes the JSON form of doc to a row without a partition, as the operator
// and the upstreams do.
func (st *Store) Put(table, key string, doc any) {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	st.PutValue(table, key, data)
}

// PutValue writes any value to a row without a partition.
func (st *Store) PutValue(table, key string, value []byte) {
	st.writeOwn(Row{Table: table, Key: key, Value: value})
}

// Remove deletes a row without a partition.
func (st *Store) Remove(table, key string) {
	st.writeOwn(Row{Table: table, Key: key, Tombstone: true})
}

// writeOwn writes a row as the operator or an upstream.
func (st *Store) writeOwn(ro Row) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ver++
	ro.Ver = st.ver
	st.written[rowKey{ro.Table, ro.Part, ro.Key}] = ro
	st.write(ro)
	st.notifyFeeds()
}

// DiscardHistory discards the log of changes. Feeds from an earlier version then
// get status 410.
func (st *Store) DiscardHistory() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.log, st.oldest = nil, st.ver
}

// Rows returns the rows of a table, ordered by partition and key.
func (st *Store) Rows(table string) []Row {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.list(func(at rowKey) bool { return at.table == table })
}

func (st *Store) write(ro Row) {
	at := rowKey{ro.Table, ro.Part, ro.Key}
	if ro.Tombstone {
		delete(st.rows, at)
	} else {
		st.rows[at] = ro
	}
	st.log = append(st.log, ro)
}

func (st *Store) notifyFeeds() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) list(match func(rowKey) bool) []Row {
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

// handler executes a call. It returns the era in which it did.
type handler func(re *http.Request) (status int, body any, era uint64)

type response struct {
	Rows    []Row
	HasMore bool
	Ver     uint64
	NowMs   int64
}

func (st *Store) withFaults(call string, ha handler) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		st.mu.Lock()
		st.calls++
		fault, late := st.faults(call), st.late
		st.setEra(wr, st.era)
		st.mu.Unlock()
		switch fault {
		case Down:
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		case Throttled:
			wr.WriteHeader(http.StatusTooManyRequests)
			return
		case Silent:
			// net/http detects a closed connection only after the request body
			// has been read.
			_, _ = io.Copy(io.Discard, re.Body)
			<-re.Context().Done()
			return
		}
		status, body, era := ha(re)
		switch fault {
		case ResponseLost:
			panic(http.ErrAbortHandler)
		case Late:
			select {
			case <-late:
			case <-re.Context().Done():
			}
		}
		st.mu.Lock()
		st.setEra(wr, era)
		st.mu.Unlock()
		wr.Header().Set("Content-Type", "application/json")
		wr.WriteHeader(status)
		_ = json.NewEncoder(wr).Encode(body)
	}
}

func (st *Store) response(rows []Row) response {
	return response{Rows: rows, Ver: st.ver, NowMs: 1 + time.Since(st.started).Milliseconds()}
}

type transaction struct {
	IfRev, Writes, Remove []Row
	Across                bool
}

func (st *Store) commit(re *http.Request) (status int, body any, era uint64) {
	var tx transaction
	if err := json.NewDecoder(re.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, err.Error(), st.eraNow()
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var current []Row
	failed := false
	for _, ro := range tx.IfRev {
		cur, ok := st.rows[rowKey{ro.Table, ro.Part, ro.Key}]
		if ok {
			current = append(current, cur)
		}
		failed = failed || cur.Ver != ro.Ver
		if ro.Part != tx.IfRev[0].Part && !tx.Across {
			return http.StatusBadRequest, "the rows are in several partitions and Across is not set", st.era
		}
	}
	if failed {
		return http.StatusPreconditionFailed, st.response(current), st.era
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
	st.notifyFeeds()
	return http.StatusOK, st.response(nil), st.era
}

func (st *Store) get(re *http.Request) (status int, body any, era uint64) {
	table, part, from, to := re.FormValue("Table"), re.FormValue("part"), re.FormValue("From"), re.FormValue("To")
	limit, err := strconv.Atoi(re.FormValue("Limit"))
	if err != nil {
		limit = 500
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	rows := st.list(func(at rowKey) bool {
		return at.table == table && at.part == part && at.key >= from && (to == "" || at.key < to)
	})
	rs := st.response(rows[:min(limit, len(rows))])
	rs.HasMore = len(rows) > limit
	return http.StatusOK, rs, st.era
}

func (st *Store) feed(re *http.Request) (status int, body any, era uint64) {
	since, _ := strconv.ParseUint(re.FormValue("SinceRev"), 10, 64)
	wait, _ := strconv.Atoi(re.FormValue("WaitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		st.mu.Lock()
		era = st.era
		if since < st.oldest || since > st.ver {
			st.mu.Unlock()
			return http.StatusGone, struct{}{}, era
		}
		var rows []Row
		for _, ro := range st.log {
			if ro.Ver > since && ro.Table == re.FormValue("Table") {
				rows = append(rows, ro)
			}
		}
		rs, changed := st.response(rows), st.changed
		st.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, rs, era
		}
		select {
		case <-changed:
		case <-end.C:
			return http.StatusOK, rs, era
		case <-re.Context().Done():
			return http.StatusOK, rs, era
		}
	}
}

// Values returns the values of a table by partition and key, without the line
// with the version that platform.Table stores in front of each value.
func (st *Store) Values(table string) map[string]string {
	out := map[string]string{}
	for _, ro := range st.Rows(table) {
		_, val, _ := strings.Cut(string(ro.Value), "\n")
		out[ro.Part+"/"+ro.Key] = val
	}
	return out
}
