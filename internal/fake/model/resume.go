package model

import (
	"net/http"
	"strconv"
	"sync"
)

// parked holds the calls whose connection was cut and that can be resumed.
type parked struct {
	mu    sync.Mutex
	calls map[string]*call
}

func (pa *parked) put(id string, ca *call) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if pa.calls == nil {
		pa.calls = make(map[string]*call)
	}
	pa.calls[id] = ca
}

// take returns the call and forgets it, so that only one client resumes it.
func (pa *parked) take(id string) *call {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	ca := pa.calls[id]
	delete(pa.calls, id)
	return ca
}

// resume continues a stream after the event that the client saw last, as the
// specification of server-sent events describes it.
func (en *Engine) resume(wr http.ResponseWriter, re *http.Request, last string) {
	seen, err := strconv.Atoi(last)
	if err != nil || seen < 0 {
		fail(wr, http.StatusBadRequest, "invalid_request_error", "", "Last-Event-ID is not a number of an event")
		return
	}
	ca := en.parked.take(re.Header.Get("X-Request-Id"))
	if ca == nil {
		fail(wr, http.StatusConflict, "invalid_request_error", "not_resumable", "no such stream was cut")
		return
	}
	en.serve(re.Context(), wr, ca, seen+1)
}
