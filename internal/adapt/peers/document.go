package peers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/feed"
)

// document is the row of a configuration, as it is in the store.
type document struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// zippedDocument is the compressed document of one version.
type zippedDocument struct {
	version uint64
	data    []byte
}

// documents serves the configuration in force. A document is compressed once for
// all routers that request it, because many do so at the same time while the store
// refuses them.
type documents struct {
	current func() (feed.Row, bool)
	zipped  *snap.Cell[zippedDocument]
}

func newDocuments(current func() (feed.Row, bool)) *documents {
	return &documents{current: current, zipped: snap.NewCell(zippedDocument{})}
}

// ServeHTTP responds with the document if it is newer than the version of the
// request.
func (do *documents) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	after, err := strconv.ParseUint(re.FormValue("after"), 10, 64)
	ro, ok := do.current()
	switch {
	case err != nil:
		http.Error(wr, "want a version number in the parameter after", http.StatusBadRequest)
	case !ok || ro.Version <= after:
		wr.WriteHeader(http.StatusNoContent)
	case !strings.Contains(re.Header.Get("Accept-Encoding"), "gzip"):
		writeJSON(wr, document{Key: ro.Key, Value: ro.Value, Version: ro.Version})
	default:
		do.writeZipped(wr, ro)
	}
}

func (do *documents) writeZipped(wr http.ResponseWriter, ro feed.Row) {
	zd := do.zipped.Load()
	if zd.version != ro.Version {
		data, err := json.Marshal(document{Key: ro.Key, Value: ro.Value, Version: ro.Version})
		if err != nil {
			http.Error(wr, err.Error(), http.StatusInternalServerError)
			return
		}
		zd = zippedDocument{version: ro.Version, data: codec.Compress(data, codec.Fast)}
		do.zipped.Store(zd)
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Content-Encoding", "gzip")
	// A write error is ignored, because the client detects a lost connection.
	_, _ = wr.Write(zd.data)
}
