package model

import (
	"net/http"
	"strconv"
	"sync"
)

// resumable holds the calls whose connection was cut, by their request id.
type resumable struct {
	mu    sync.Mutex
	calls map[string]*call
}

func (rs *resumable) put(id string, ca *call) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.calls == nil {
		rs.calls = make(map[string]*call)
	}
	rs.calls[id] = ca
}

// take removes and returns the call, so that only one client resumes it.
func (rs *resumable) take(id string) *call {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ca := rs.calls[id]
	delete(rs.calls, id)
	return ca
}

// resume continues a stream after the last event that the client received, as the
// specification of server-sent events describes it.
func (en *Engine) resume(wr http.ResponseWriter, re *http.Request, last string) {
	seen, err := strconv.Atoi(last)
	if err != nil || seen < 0 {
		writeError(wr, http.StatusBadRequest, "invalid_request_error", "", "Last-Event-ID is not the number of an event")
		return
	}
	ca := en.resumable.take(re.Header.Get("X-Request-Id"))
	if ca == nil {
		writeError(wr, http.StatusConflict, "invalid_request_error", "not_resumable", "no stream that can be resumed has this X-Request-Id")
		return
	}
	en.serve(re.Context(), wr, ca, seen+1)
}
