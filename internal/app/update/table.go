package update

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// rowReader reads and decodes the rows of the configuration.
type rowReader struct {
	table  store.Table
	codecs Codecs
}

// head returns the head, or the zero value before the first acceptance.
func (rr rowReader) head(ctx context.Context) (Head, error) {
	it, ok, err := rr.table.Get(ctx, headKey)
	if err != nil || !ok {
		return Head{}, err
	}
	he, err := rr.codecs.Head.Decode(it.Value)
	if err != nil {
		return Head{}, fmt.Errorf("update: row %s: %w", headKey, err)
	}
	he.version = it.Version
	return he, nil
}

// audit returns the audit row of a revision.
func (rr rowReader) audit(ctx context.Context, re ident.Revision) (Audit, bool, error) {
	it, ok, err := rr.table.Get(ctx, auditKey(re))
	if err != nil || !ok {
		return Audit{}, false, err
	}
	au, err := rr.codecs.Audit.Decode(it.Value)
	return au, err == nil, err
}

// document returns the document that the head names.
func (rr rowReader) document(ctx context.Context, he Head) ([]byte, error) {
	parts := make([][]byte, he.parts())
	if err := rr.readParts(ctx, he, parts); err != nil {
		return nil, err
	}
	return slices.Concat(parts...), nil
}

// readParts reads the parts of a document that are nil. The rows are read in parallel, so
// that a slow table delays the document by one read and not by one read for each row.
// After an error, the parts that have arrived are set.
func (rr rowReader) readParts(ctx context.Context, he Head, parts [][]byte) error {
	errs := make([]error, len(parts))
	var wg sync.WaitGroup
	for part := range parts {
		if parts[part] != nil {
			continue
		}
		wg.Go(func() {
			it, ok, err := rr.table.Get(ctx, partKey(he.Revision, part))
			switch {
			case err == nil && !ok:
				errs[part] = errSuperseded
			case err != nil:
				errs[part] = err
			default:
				parts[part] = it.Value
			}
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// decode parses a document and checks that it has the wanted revision.
func (rr rowReader) decode(document []byte, want ident.Revision) (config.Snapshot, error) {
	sn, err := rr.codecs.Config.Decode(document)
	if err != nil {
		return config.Snapshot{}, fmt.Errorf("update: document of revision %d: %w", want, err)
	}
	if sn.Revision() != want {
		return config.Snapshot{}, fmt.Errorf("update: the document of revision %d has revision %d", want, sn.Revision())
	}
	return sn, nil
}

// current returns the configuration in the table and the head that names it.
func (rr rowReader) current(ctx context.Context) (config.Snapshot, Head, error) {
	he, err := rr.head(ctx)
	if err != nil || he.Revision == 0 {
		return config.Snapshot{}, he, err
	}
	doc, err := rr.document(ctx, he)
	if err != nil {
		return config.Snapshot{}, he, err
	}
	sn, err := rr.decode(doc, he.Revision)
	return sn, he, err
}
