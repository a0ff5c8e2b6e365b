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

// rows reads the rows of this package.
type rows struct {
	table  store.Table
	codecs Codecs
}

// head returns the head, or the zero value before the first acceptance.
func (ro rows) head(ctx context.Context) (Head, error) {
	it, ok, err := ro.table.Get(ctx, headKey)
	if err != nil || !ok {
		return Head{}, err
	}
	he, err := ro.codecs.Head.Decode(it.Value)
	if err != nil {
		return Head{}, fmt.Errorf("update: row %s: %w", headKey, err)
	}
	he.version = it.Version
	return he, nil
}

// audit returns the audit row of a revision.
func (ro rows) audit(ctx context.Context, re ident.Revision) (Audit, bool, error) {
	it, ok, err := ro.table.Get(ctx, auditKey(re))
	if err != nil || !ok {
		return Audit{}, false, err
	}
	au, err := ro.codecs.Audit.Decode(it.Value)
	return au, err == nil, err
}

// document returns the document that the head names. The rows are read at the
// same time, so that a slow table delays the document by one read and not by
// one for each row.
func (ro rows) document(ctx context.Context, he Head) ([]byte, error) {
	parts, errs := make([][]byte, he.parts()), make([]error, he.parts())
	var wg sync.WaitGroup
	for part := range parts {
		wg.Go(func() {
			it, ok, err := ro.table.Get(ctx, partKey(he.Revision, part))
			if err == nil && !ok {
				err = errMoved
			}
			parts[part], errs[part] = it.Value, err
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return slices.Concat(parts...), nil
}

// decode parses a document and checks that it is the wanted revision.
func (ro rows) decode(document []byte, want ident.Revision) (config.Snapshot, error) {
	sn, err := ro.codecs.Config.Decode(document)
	if err != nil {
		return config.Snapshot{}, fmt.Errorf("update: document of revision %d: %w", want, err)
	}
	if sn.Revision() != want {
		return config.Snapshot{}, fmt.Errorf("update: the document of revision %d says revision %d", want, sn.Revision())
	}
	return sn, nil
}

// current returns the configuration in the table and the head that names it.
func (ro rows) current(ctx context.Context) (config.Snapshot, Head, error) {
	he, err := ro.head(ctx)
	if err != nil || he.Revision == 0 {
		return config.Snapshot{}, he, err
	}
	doc, err := ro.document(ctx, he)
	if err != nil {
		return config.Snapshot{}, he, err
	}
	sn, err := ro.decode(doc, he.Revision)
	return sn, he, err
}
