package fault

import (
	"encoding/json"
	"net/http"

	"github.com/balsamwood/balsamwood/internal/core/snap"
)

// maxControlBytes bounds the body of a control request. The largest one is a
// VM list of a thousand entries.
const maxControlBytes = 1 << 20

// ControlHandler returns a handler that responds with the value of the cell. On
// POST it first merges the members of a JSON object into the value.
func ControlHandler[T any](cell *snap.Cell[T]) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		if re.Method == http.MethodPost && !mergeBody(cell, wr, re) {
			return
		}
		WriteJSON(wr, http.StatusOK, cell.Load())
	})
}

func mergeBody[T any](cell *snap.Cell[T], wr http.ResponseWriter, re *http.Request) bool {
	var raw json.RawMessage
	if !ReadJSON(wr, re, &raw) {
		return false
	}
	var err error
	cell.Update(func(val T) (T, bool) {
		err = json.Unmarshal(raw, &val)
		return val, err == nil
	})
	if err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// ReadJSON decodes the body of a control request, at most 1 MiB, into val. If the
// body is not valid, it responds with status 400 and returns false.
func ReadJSON(wr http.ResponseWriter, re *http.Request, val any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(wr, re.Body, maxControlBytes))
	if err := dec.Decode(val); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with the JSON form of val.
func WriteJSON(wr http.ResponseWriter, status int, val any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(wr).Encode(val)
}
