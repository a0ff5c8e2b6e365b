// Package update accepts configurations in the table and distributes them.
package update

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// headKey is the key of the row that every acceptance compares and sets.
const headKey = "config/current"

// auditPrefix starts the keys of audit rows.
const auditPrefix = "audit/"

const (
	// partBytes is the size of a document's part. It keeps a row below the 400 KB
	// that the table allows.
	partBytes = 256 << 10
	// maxParts is the number of parts of a document. It keeps a transaction below
	// the 4 MB that the table allows.
	maxParts = 14
	// retainedRevisions is the number of documents that stay in the table, so that
	// a node that has read the head still finds its document during the next
	// changes.
	retainedRevisions = 3
)

// Head is the row config/current. It is small, because every router reads it
// once a second; the document is stored in rows of its own.
type Head struct {
	Revision ident.Revision `json:"revision"`
	Author   ident.Operator `json:"author"`
	Op       ident.Op       `json:"op"`
	At       time.Time      `json:"at"`
	// Documents lists the documents in the table, oldest first.
	Documents []StoredDocument `json:"kept"`
	// version is the version of the row; store.Absent before the first acceptance.
	version uint64
}

// StoredDocument describes the rows of a document in the table.
type StoredDocument struct {
	Revision ident.Revision `json:"revision"`
	Parts    int            `json:"parts"`
}

// parts returns the number of rows of the document of the head's revision.
func (he Head) parts() int {
	if len(he.Documents) == 0 {
		return 0
	}
	return he.Documents[len(he.Documents)-1].Parts
}

// Audit is the row audit/<revision>, written with the acceptance of the revision.
type Audit struct {
	Revision ident.Revision `json:"revision"`
	Author   ident.Operator `json:"author"`
	Op       ident.Op       `json:"op"`
	At       time.Time      `json:"at"`
	// Digest is the SHA-256 of the document.
	Digest  string          `json:"digest"`
	Changes []config.Change `json:"changes"`
}

// Codecs encode the rows and documents.
type Codecs struct {
	Head   store.Codec[Head]
	Audit  store.Codec[Audit]
	Config store.Codec[config.Snapshot]
}

// The revision is zero-padded in keys, so that they sort by revision.

func auditKey(re ident.Revision) string { return fmt.Sprintf("%s%020d", auditPrefix, re) }

func partKey(re ident.Revision, part int) string {
	return fmt.Sprintf("config/document/%020d/%02d", re, part)
}

// ObjectName returns the name of the object that holds the document of a
// revision.
func ObjectName(re ident.Revision) string { return fmt.Sprintf("config/%020d", re) }

func digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

func split(document []byte) [][]byte {
	var parts [][]byte
	for len(document) > partBytes {
		parts = append(parts, document[:partBytes])
		document = document[partBytes:]
	}
	return append(parts, document)
}
