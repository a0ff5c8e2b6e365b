package store

// Codec encodes the value of a row or a document. It is passed to the packages
// under internal/app, so that they do not depend on an encoding.
type Codec[T any] interface {
	Encode(val T) ([]byte, error)
	Decode(data []byte) (T, error)
}
