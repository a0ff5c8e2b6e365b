// Package crowd runs a direct router as a real process with lowered limits and lets
// many clients send bodies and headers that they do not complete.
package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Behaviour is what a client of a crowd sends.
type Behaviour int

const (
	// Whole announces the length of the body and sends all but its last byte at once.
	Whole Behaviour = iota
	// Pieces is Whole in pieces of 16 KiB.
	Pieces
	// LargeChunks sends a body in chunks of 64 KiB without the last chunk.
	LargeChunks
	// TinyChunks sends a body in chunks of one byte without the last chunk.
	TinyChunks
	// AnnouncedOver announces a body of 64 times the limit and sends it.
	AnnouncedOver
	// SentOver sends chunks up to eight times the limit.
	SentOver
	// HalfHeader sends the begin of a header.
	HalfHeader
	// Idle sends nothing.
	Idle
)

const (
	// maxDials is the number of connections that a client opens one after the other when
	// the router closes them.
	maxDials = 3
	// sendTimeout bounds the sending of one request. The router may leave bytes unread.
	sendTimeout    = 10 * time.Second
	pieceBytes     = 16 << 10
	largeChunk     = 64 << 10
	announcedRatio = 64
	sentRatio      = 8
)

// Crowd is a number of clients with the same behaviour.
type Crowd struct {
	behaviour Behaviour
	target    Target
	bodyBytes int
	ctx       context.Context
	cancel    context.CancelFunc
	clients   sync.WaitGroup
	// sent counts the clients that have sent their first request.
	sent sync.WaitGroup
}

// Target is where the clients of a crowd send their requests.
type Target struct {
	Addr, Path, Key string
}

// Start starts the clients, which send requests with bodies of bodyBytes to the target.
func Start(ctx context.Context, be Behaviour, count int, ta Target, bodyBytes int) *Crowd {
	cr := &Crowd{behaviour: be, target: ta, bodyBytes: bodyBytes}
	cr.ctx, cr.cancel = context.WithCancel(ctx)
	cr.sent.Add(count)
	for no := range count {
		cr.clients.Go(func() { cr.run(no) })
	}
	return cr
}

// AwaitSent waits until each client has sent what it sends on its first connection, or
// could not.
func (cr *Crowd) AwaitSent() { cr.sent.Wait() }

// Close ends all clients.
func (cr *Crowd) Close() {
	cr.cancel()
	cr.clients.Wait()
}

// run keeps a connection open, and opens another one if the router closes it.
func (cr *Crowd) run(no int) {
	sent := sync.OnceFunc(cr.sent.Done)
	defer sent()
	for range maxDials {
		nc, err := (&net.Dialer{}).DialContext(cr.ctx, "tcp", cr.target.Addr)
		if err != nil {
			return
		}
		stop := context.AfterFunc(cr.ctx, func() { _ = nc.Close() })
		_ = nc.SetWriteDeadline(time.Now().Add(sendTimeout))
		_ = cr.send(nc, no)
		sent()
		_, _ = io.Copy(io.Discard, nc)
		stop()
		_ = nc.Close()
	}
}

func (cr *Crowd) send(nc net.Conn, no int) error {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 5000\r\n", cr.target.Path, host, no, cr.target.Key)
	framing := "Transfer-Encoding: chunked\r\n\r\n"
	switch cr.behaviour {
	case Idle:
		return nil
	case HalfHeader:
		_, err := io.WriteString(nc, head)
		return err
	case Whole, Pieces:
		framing = fmt.Sprintf("Content-Length: %d\r\n\r\n", cr.bodyBytes)
	case AnnouncedOver:
		framing = fmt.Sprintf("Content-Length: %d\r\n\r\n", announcedRatio*cr.bodyBytes)
	}
	if _, err := io.WriteString(nc, head+framing); err != nil {
		return err
	}
	switch cr.behaviour {
	case Whole:
		return repeat(nc, "x", cr.bodyBytes-1)
	case Pieces:
		return repeat(nc, strings.Repeat("x", pieceBytes), cr.bodyBytes/pieceBytes-1)
	case LargeChunks:
		return repeat(nc, chunk(largeChunk), cr.bodyBytes/largeChunk-1)
	case TinyChunks:
		return repeat(nc, chunk(1), cr.bodyBytes-1)
	case SentOver:
		return repeat(nc, chunk(largeChunk), sentRatio*cr.bodyBytes/largeChunk)
	default:
		return repeat(nc, "x", announcedRatio*cr.bodyBytes)
	}
}

func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// repeat writes the unit so many times. Short units are joined to larger writes.
func repeat(wr io.Writer, unit string, times int) error {
	perWrite := max(1, largeChunk/len(unit))
	block := strings.Repeat(unit, min(perWrite, times))
	for ; times >= perWrite; times -= perWrite {
		if _, err := io.WriteString(wr, block); err != nil {
			return err
		}
	}
	_, err := io.WriteString(wr, block[:times*len(unit)])
	return err
}
