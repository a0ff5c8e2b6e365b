package entry

import (
	"errors"
	"io"
	"net/http/httputil"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/core/intent"
	"github.com/balsamwood/balsamwood/internal/core/quota"
)

const (
	// minSegment and maxSegment bound the size of a segment of a body. A segment is as
	// large as those before it together, so that little is held for what did not arrive.
	minSegment = 4 << 10
	maxSegment = 32 << 10
	// smallRead is the size below which the payload of one read of a chunked body is
	// small. The wire bytes of one read may be six times as many.
	smallRead = 1 << 10
	// maxSmallReads is the number of small reads of a body after which it is paced.
	maxSmallReads = 64
	// readInterval is the time between two small reads of all paced bodies together, and
	// maxReadDelay bounds the time between two of one body.
	readInterval = 200 * time.Microsecond
	maxReadDelay = 50 * time.Millisecond
)

// errGaveWay means that a request gave way to others before its body was complete.
var errGaveWay = errors.New("the request gave way to others")

// body is the body of a request. It is held in segments, which are charged as they are
// allocated.
type body struct {
	co    *conn
	lease *quota.Lease
	// length is the announced length, or -1 if the body is sent in chunks, and max the
	// largest length that is allowed.
	length, max int64
	arrived     int64
	segments    [][]byte
	// smallReads counts the small reads of a body in chunks.
	smallReads int
}

// newBody returns an empty body of the owner. It must be closed. It returns nil if
// there is no room for it.
func newBody(co *conn, hd head, limits intent.Limits, owner string) *body {
	now := time.Now()
	bo := &body{co: co, length: hd.length, max: limits.MaxBodyBytes}
	if bo.lease = co.sv.budgets.Bodies.Open(quota.NewClaim(owner, now).WithHeld(hd.memory).WithLeft(bo.left()), co.interrupt, now); bo.lease == nil {
		return nil
	}
	return bo
}

// close releases the memory of the body.
func (bo *body) close() {
	bo.co.sv.budgets.Bodies.Close(bo.lease)
	bo.endPacing()
}

// left returns how much is expected to arrive. A body in chunks is expected to have
// arrived by half.
func (bo *body) left() int64 {
	if bo.length >= 0 {
		return bo.length - bo.arrived
	}
	return max(0, min(max(bo.arrived, minSegment), bo.max-bo.arrived))
}

// read reads the complete body.
func (bo *body) read(hd head) error {
	if hd.length >= 0 {
		return bo.fill(bo.co.br)
	}
	err := bo.fill(io.LimitReader(httputil.NewChunkedReader(bo.co.br), bo.max+1))
	switch {
	case errors.Is(err, errGaveWay) || errors.Is(err, io.ErrUnexpectedEOF) || isTimeout(err):
		return err
	case err != nil:
		return badRequest("malformed chunks: %v", err)
	case bo.arrived > bo.max:
		return bodyTooLarge(bo.max)
	}
	return skipTrailer(bo.co.br)
}

// fill reads until the announced length, or until the end of a source without one.
func (bo *body) fill(src io.Reader) error {
	var segment []byte
	for bo.arrived != bo.length {
		if len(segment) == cap(segment) {
			var err error
			if segment, err = bo.grow(); err != nil {
				return err
			}
		}
		n, err := src.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		bo.segments[len(bo.segments)-1] = segment
		bo.arrived += int64(n)
		if !bo.advance() {
			return errGaveWay
		}
		if bo.length < 0 && n < smallRead && err == nil {
			bo.pace()
		}
		switch {
		case err == io.EOF && bo.length < 0:
			return nil
		case err == io.EOF && bo.arrived < bo.length:
			return io.ErrUnexpectedEOF
		case err != nil && err != io.EOF:
			return err
		}
	}
	return nil
}

// grow adds an empty segment.
func (bo *body) grow() ([]byte, error) {
	size := min(max(bo.arrived, minSegment), maxSegment)
	if bo.length >= 0 {
		size = min(size, bo.length-bo.arrived)
	}
	cl := bo.lease.Claim()
	if !bo.co.sv.budgets.Bodies.Set(bo.lease, cl.WithHeld(cl.Held+size), time.Now()) {
		return nil, errGaveWay
	}
	segment := make([]byte, 0, size)
	bo.segments = append(bo.segments, segment)
	return segment, nil
}

// advance records what has arrived, and reports whether the request goes on.
func (bo *body) advance() bool {
	now := time.Now()
	before := bo.lease.Claim()
	cl := before.WithArrived(bo.arrived, bo.left(), now)
	if cl.AdvancedAt.Equal(before.AdvancedAt) {
		return !bo.lease.Evicted() && !bo.co.lease.Evicted()
	}
	sv := bo.co.sv
	return sv.budgets.Bodies.Set(bo.lease, cl, now) && sv.budgets.Conns.Set(bo.co.lease, bo.co.lease.Claim().WithRank(bound.RankBody, now), now)
}

// pace delays the next read of a body that arrives in very small chunks, while there
// are others of that kind. Decoding such chunks takes much processor time per byte.
func (bo *body) pace() {
	bo.smallReads++
	if bo.smallReads < maxSmallReads {
		return
	}
	if bo.smallReads == maxSmallReads {
		bo.co.sv.paced.Add(1)
	}
	if paced := bo.co.sv.paced.Load(); paced > 1 {
		time.Sleep(min(time.Duration(paced)*readInterval, maxReadDelay))
	}
}

func (bo *body) endPacing() {
	if bo.smallReads >= maxSmallReads {
		bo.co.sv.paced.Add(-1)
		bo.smallReads = 0
	}
}

// complete keeps the body and its connection until the request has ended. It reports
// false if one of them has given way.
func (bo *body) complete() bool {
	now, sv := time.Now(), bo.co.sv
	bo.endPacing()
	return sv.budgets.Bodies.Set(bo.lease, bo.lease.Claim().WithLeft(0).WithFixed(true), now) &&
		sv.budgets.Conns.Set(bo.co.lease, bo.co.lease.Claim().WithFixed(true), now)
}

// first returns the first segment, and rest the others.
func (bo *body) first() []byte {
	if len(bo.segments) == 0 {
		return nil
	}
	return bo.segments[0]
}

func (bo *body) rest() [][]byte { return bo.segments[min(1, len(bo.segments)):] }
