// Package proxy is the port through which one request is handed to one upstream.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// Errors of a send. They say what is known about the execution of the request.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("proxy: the request was not sent")
	// ErrNoConnection means that the upstream did not accept a connection in time. An
	// error that wraps it also wraps ErrNotSent.
	ErrNoConnection = errors.New("proxy: no connection in time")
	// ErrNotRun means that the upstream reported that it did not run the request.
	ErrNotRun = errors.New("proxy: the upstream did not run the request")
	// ErrIncomplete means that the request was sent and no complete response
	// arrived, so that the request may have run.
	ErrIncomplete = errors.New("proxy: no complete response arrived")
)

// Notice is what an upstream says of itself in a response, which may be a refusal.
type Notice struct {
	// Leaving says that the upstream announced that it is about to end.
	Leaving bool
	// QuietUntil is the time until which the upstream wants no request from this router,
	// or zero if it has not asked for that.
	QuietUntil time.Time
	// ColdUntil is the time until which the upstream tolerates only few requests, which
	// may have passed, or zero if it has not reported that.
	ColdUntil time.Time
}

// NotRunError is the error of a send whose upstream reported that it did not run the
// request.
type NotRunError struct {
	// Status is the HTTP status code of the response.
	Status int
	Notice Notice
}

// Error returns the text of the error.
func (nr NotRunError) Error() string { return fmt.Sprintf("%v: status %d", ErrNotRun, nr.Status) }

// Unwrap returns ErrNotRun.
func (NotRunError) Unwrap() error { return ErrNotRun }

// ErrStopping is the cause of the end of a request's context when the process is about
// to exit. The caller still reads a refusal.
var ErrStopping = errors.New("proxy: the router stops")

// Upstream is an upstream instance and its last known address. Another instance
// may have taken over the address.
type Upstream struct {
	ID      ident.Upstream
	Address string
}

// Part is a piece of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens ident.Tokens
}

// Prompt describes the prompt of a request to a model engine.
type Prompt struct {
	Model ident.Model
	// Input is the size of the prompt, MaxOutput the largest size of the output.
	Input     ident.Tokens
	MaxOutput ident.Tokens
	Parts     []Part
}

// MaxTokens returns the largest number of tokens that the request can use.
func (pr Prompt) MaxTokens() ident.Tokens { return pr.Input + pr.MaxOutput }

// SharedParts returns the parts that other requests may have in common with this
// one: all but the last.
func (pr Prompt) SharedParts() []Part { return pr.Parts[:max(0, len(pr.Parts)-1)] }

// RequestInfo holds the properties of a request that routing depends on. It is
// immutable.
type RequestInfo struct {
	ID   ident.Request
	Host string
	// Path is the path as it was sent, without the query.
	Path string
	// Key is the API key of the caller, or empty.
	Key string
	// Arrived is when the request was read, Deadline when the caller stops
	// waiting. Deadline is zero if the request has none.
	Arrived  time.Time
	Deadline time.Time
	// Prompt is nil for requests without a prompt.
	Prompt *Prompt
	// LastEvent is the number of the last event that the caller has, or -1.
	LastEvent int64
	// Resumes is the request that brought the first event of the stream that this one
	// takes up, or empty if the caller does not name it.
	Resumes ident.Request
}

// Attempt is one send of a request.
type Attempt struct {
	Upstream Upstream
	Deadline time.Time
	// Account is sent to the upstream in place of the caller's key.
	Account ident.Account
	// Urgency is sent to model engines. It ranges from 0, the most urgent, to 9.
	Urgency int
	// LastEvent is the number of the last event that the caller has, or -1.
	LastEvent int64
}

// Load is the load that an upstream reports in a response.
type Load struct {
	// Running and Waiting are the numbers of requests, or Unreported if invalid.
	Running, Waiting int
	// Slots is the number of slots, and Pace the current duration of work in percent of
	// the usual one. Zero means missing or invalid.
	Slots, Pace int
	// Invalid says that a figure was dropped because it is no number or out of range.
	Invalid bool
}

// Unreported is the value of a number of requests that was not reported.
const Unreported = -1

// Response is the HTTP response of an upstream to an attempt. Close must be
// called.
type Response interface {
	// Status returns the HTTP status code.
	Status() int
	// Load returns the load of the upstream when it started the response, and
	// whether it was reported.
	Load() (Load, bool)
	// Notice returns what the upstream says of itself.
	Notice() Notice
	// IsStream reports whether the response is a stream of events.
	IsStream() bool
	// NextEvent returns the next complete event of a stream, and io.EOF after the
	// last one of a complete stream. Any other error means that the stream is
	// broken.
	NextEvent(ctx context.Context) (Event, error)
	// Body returns the complete body of a response that is not a stream.
	Body(ctx context.Context) ([]byte, error)
	// Close ends the exchange. If the response is not complete, the upstream
	// stops processing the request.
	Close()
}

// Event is one event of a stream. Number is -1 if the event has none. Data holds
// the bytes as received and is valid until the next event is read. Comment says that
// the event has no fields.
type Event struct {
	Number  int64
	Data    []byte
	Comment bool
}

// Sender is a caller's request that can be sent to upstreams.
type Sender interface {
	// Send sends the request and returns the response once its header has arrived.
	Send(ctx context.Context, at Attempt) (Response, error)
}

// ResponseWriter writes the response to the caller. A caller gets one header: once
// one of the methods was called, both return an error and write nothing.
type ResponseWriter interface {
	// WriteResponse writes a response with the upstream's status, header and body.
	WriteResponse(rsp Response, body []byte) error
	// StartStream starts a stream with the upstream's status and header.
	StartStream(rsp Response) (StreamWriter, error)
}

// StreamWriter writes the events of a stream that has started. A stream without End
// is broken off.
type StreamWriter interface {
	// WriteEvent writes one event.
	WriteEvent(ev Event) error
	// End completes the stream.
	End() error
}
