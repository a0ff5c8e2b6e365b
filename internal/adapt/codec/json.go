// Package codec encodes the rows and documents that are stored in the platform's
// table and object store.
package codec

import "encoding/json"

// JSON encodes values of type T as JSON.
type JSON[T any] struct{}

// Encode returns the JSON form of val.
func (JSON[T]) Encode(val T) ([]byte, error) { return json.Marshal(val) }

// Decode parses the JSON form of a value.
func (JSON[T]) Decode(data []byte) (T, error) {
	var val T
	err := json.Unmarshal(data, &val)
	return val, err
}
