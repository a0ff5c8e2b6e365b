package codec

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// ErrTooLarge means that decompressed data exceeds its limit.
var ErrTooLarge = errors.New("codec: decompressed data exceeds its limit")

// Level is a level of compression.
type Level int

const (
	// Fast takes little processor time.
	Fast Level = gzip.BestSpeed
	// Small takes more processor time and gives smaller results.
	Small Level = gzip.DefaultCompression
)

// Compress compresses data with gzip.
func Compress(data []byte, le Level) []byte {
	var buf bytes.Buffer
	// The levels are valid, and writes to a bytes.Buffer do not fail.
	zw, _ := gzip.NewWriterLevel(&buf, int(le))
	_, _ = zw.Write(data)
	_ = zw.Close()
	return buf.Bytes()
}

// Decompress decompresses data to at most limit bytes.
func Decompress(data []byte, limit int64) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(io.LimitReader(zr, limit+1))
	if err == nil && int64(len(out)) > limit {
		err = ErrTooLarge
	}
	return out, err
}
