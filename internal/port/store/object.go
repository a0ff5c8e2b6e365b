package store

import "context"

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object and whether it exists.
	Get(ctx context.Context, name string) ([]byte, bool, error)
	// PutIfAbsent stores the object. It returns ErrConflict if the name exists.
	PutIfAbsent(ctx context.Context, name string, data []byte) error
}
