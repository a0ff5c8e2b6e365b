package store

// Codec encodes the value of a row or a document. Use cases receive it when a
// program is composed, so that they do not depend on an encoding.
type Codec[T any] interface {
	Encode(val T) ([]byte, error)
	Decode(data []byte) (T, error)
}
