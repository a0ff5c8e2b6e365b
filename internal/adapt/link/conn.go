package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/balsamwood/balsamwood/internal/adapt/wire"
)

// MaxFrameBytes is the maximum size of a frame in bytes, so that a faulty peer
// cannot make the process allocate without limit.
const MaxFrameBytes = 1 << 20

const readBufferBytes = 4 << 10

// ErrFrameTooLarge means that a frame that is to be sent or that a peer
// announced exceeds MaxFrameBytes.
var ErrFrameTooLarge = errors.New("link: frame exceeds the limit")

// ErrEncoding means that a frame holds a value that cannot be encoded.
var ErrEncoding = errors.New("link: frame cannot be encoded")

// frameConn reads and writes length-delimited frames on one yamux stream.
// Reads must come from one goroutine; writes may come from several.
type frameConn struct {
	net.Conn
	rd       *bufio.Reader
	mu       sync.Mutex
	writeBuf []byte
}

func newFrameConn(nc net.Conn) *frameConn {
	return &frameConn{Conn: nc, rd: bufio.NewReaderSize(nc, readBufferBytes)}
}

// send writes one frame with a single call to Write, so that no part of it
// stays in a buffer.
func (fc *frameConn) send(fr *wire.Frame) error {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	size := proto.Size(fr)
	if size > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	fc.writeBuf = binary.AppendUvarint(fc.writeBuf[:0], uint64(size))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(fc.writeBuf, fr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrEncoding, err)
	}
	fc.writeBuf = out
	_, err = fc.Write(out)
	return err
}

// recv reads one frame. The frame does not share memory with the connection.
func (fc *frameConn) recv() (*wire.Frame, error) {
	return ReadFrame(fc.rd)
}

// FrameReader is the input of ReadFrame.
type FrameReader interface {
	io.Reader
	io.ByteReader
}

// ReadFrame reads one length-delimited frame of at most MaxFrameBytes bytes.
func ReadFrame(rd FrameReader) (*wire.Frame, error) {
	size, err := binary.ReadUvarint(rd)
	if err != nil {
		return nil, err
	}
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(rd, buf); err != nil {
		return nil, err
	}
	fr := &wire.Frame{}
	if err := proto.Unmarshal(buf, fr); err != nil {
		return nil, err
	}
	if fr.GetBody() == nil {
		return nil, errors.New("link: frame has no body")
	}
	return fr, nil
}
