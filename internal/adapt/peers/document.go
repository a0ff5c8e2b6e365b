package peers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/balsamwood/balsamwood/internal/adapt/codec"
	"github.com/balsamwood/balsamwood/internal/core/epoch"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/snap"
	"github.com/balsamwood/balsamwood/internal/port/feed"
)

// document is the row of a configuration, as it is in the store, and its revision.
// Routers compare revisions, because they may know the row from different eras of the
// store.
type document struct {
	Key      string         `json:"key"`
	Value    []byte         `json:"value"`
	Era      uint64         `json:"era"`
	Version  uint64         `json:"version"`
	Revision ident.Revision `json:"revision"`
}

func documentOf(ro feed.Row, revision ident.Revision) document {
	return document{Key: ro.Key, Value: ro.Value, Era: ro.Position.Era, Version: ro.Position.Version, Revision: revision}
}

// row returns the row that the document was made of.
func (do document) row() feed.Row {
	return feed.Row{Key: do.Key, Value: do.Value, Position: epoch.At(do.Era, do.Version)}
}

// zippedDocument is the compressed document of the row at one position.
type zippedDocument struct {
	position epoch.Position
	data     []byte
}

// documents serves the configuration in force. A document is compressed once for
// all routers that request it, because many do so at the same time while the store
// refuses them.
type documents struct {
	current func() (feed.Row, ident.Revision)
	zipped  *snap.Cell[zippedDocument]
}

func newDocuments(current func() (feed.Row, ident.Revision)) *documents {
	return &documents{current: current, zipped: snap.NewCell(zippedDocument{})}
}

// ServeHTTP responds with the document if it is newer than the revision of the
// request.
func (do *documents) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	after, err := strconv.ParseUint(re.FormValue(afterRevision), 10, 64)
	ro, revision := do.current()
	switch {
	case err != nil:
		http.Error(wr, "want a revision in the parameter "+afterRevision, http.StatusBadRequest)
	case revision <= ident.Revision(after):
		wr.WriteHeader(http.StatusNoContent)
	case !strings.Contains(re.Header.Get("Accept-Encoding"), "gzip"):
		writeJSON(wr, documentOf(ro, revision))
	default:
		do.writeZipped(wr, ro, revision)
	}
}

func (do *documents) writeZipped(wr http.ResponseWriter, ro feed.Row, revision ident.Revision) {
	zd := do.zipped.Load()
	if zd.data == nil || zd.position != ro.Position {
		data, err := json.Marshal(documentOf(ro, revision))
		if err != nil {
			http.Error(wr, err.Error(), http.StatusInternalServerError)
			return
		}
		zd = zippedDocument{position: ro.Position, data: codec.Compress(data, codec.Fast)}
		do.zipped.Store(zd)
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Content-Encoding", "gzip")
	// A write error is ignored, because the client detects a lost connection.
	_, _ = wr.Write(zd.data)
}
