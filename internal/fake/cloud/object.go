package cloud

import (
	"encoding/xml"
	"io"
	"net/http"

	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// maxObjectBytes bounds the size of an object. A configuration of the planned
// size is below 1 MB.
const maxObjectBytes = 64 << 20

type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
	Key     string `xml:",omitempty"`
}

func (cl *Cloud) serveObject(wr http.ResponseWriter, re *http.Request) {
	switch re.Method {
	case http.MethodGet:
		cl.getObject(wr, re)
	case http.MethodPut:
		cl.putObject(wr, re)
	default:
		writeObjectError(wr, http.StatusMethodNotAllowed, "MethodNotAllowed", re.URL.Path)
	}
}

func (cl *Cloud) getObject(wr http.ResponseWriter, re *http.Request) {
	cl.counts.objectReads.Add(1)
	cl.mu.Lock()
	data, ok := cl.objects[re.URL.Path]
	cl.mu.Unlock()
	if !ok {
		writeObjectError(wr, http.StatusNotFound, "NoSuchKey", re.URL.Path)
		return
	}
	wr.Header().Set("Content-Type", "application/octet-stream")
	_, _ = wr.Write(data)
}

func (cl *Cloud) putObject(wr http.ResponseWriter, re *http.Request) {
	cl.counts.objectWrites.Add(1)
	data, err := io.ReadAll(http.MaxBytesReader(wr, re.Body, maxObjectBytes))
	if err != nil {
		writeObjectError(wr, http.StatusBadRequest, "EntityTooLarge", re.URL.Path)
		return
	}
	cl.mu.Lock()
	_, found := cl.objects[re.URL.Path]
	conflict := found && re.Header.Get("If-None-Match") == "*"
	if !conflict {
		cl.objects[re.URL.Path] = data
	}
	cl.mu.Unlock()
	if conflict {
		writeObjectError(wr, http.StatusPreconditionFailed, "PreconditionFailed", re.URL.Path)
		return
	}
	if cl.faults.LoseResponse() {
		cl.counts.lost.Add(1)
		fault.Abort()
	}
	wr.WriteHeader(http.StatusOK)
}

func writeObjectError(wr http.ResponseWriter, status int, code, key string) {
	wr.Header().Set("Content-Type", "application/xml")
	wr.WriteHeader(status)
	_ = xml.NewEncoder(wr).Encode(objectError{Code: code, Message: http.StatusText(status), Key: key})
}
