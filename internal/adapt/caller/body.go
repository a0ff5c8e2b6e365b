package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/adapt/bound"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/quota"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
)

const (
	// bodyTimeout bounds the time to receive a body.
	bodyTimeout = 30 * time.Second
	// minBuffer is the first size of the buffer of a body.
	minBuffer = 4 << 10
	// decodedFactor multiplies the size of a body. The result is what the body and what
	// is decoded from it take until the request has ended.
	decodedFactor = 3
	// leaseKey is the key of the lease of a body in the context of its request.
	leaseKey = "bodyLease"
)

// past is a read deadline that ends a blocked read at once.
var past = time.Unix(1, 0)

// WithBudgets sets the budgets that bound the memory of request bodies. The default is no
// bound.
func WithBudgets(bu *bound.Budgets) Option { return func(fe *Frontend) { fe.budgets = bu } }

// releaseBody releases the memory of the body when the request has ended.
func (fe *Frontend) releaseBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ec echo.Context) error {
		defer func() {
			if le, ok := ec.Get(leaseKey).(*quota.Lease); ok {
				fe.budgets.Bodies.Close(le)
			}
		}()
		return next(ec)
	}
}

// bodyReader reads one body into memory that is charged as it is allocated.
type bodyReader struct {
	budget *quota.Budget[quota.ByProgress]
	lease  *quota.Lease
	src    io.Reader
	// length is the announced length, or -1, and max the largest allowed one.
	length, max int64
	data        []byte
}

// errGaveWay means that the body gave way to others.
var errGaveWay = errors.New("the body gave way to others")

// readBody returns the request body, or a refusal if it exceeds its limit or there is no
// room for it.
func (fe *Frontend) readBody(ec echo.Context, owner ident.Account) ([]byte, error) {
	re, now := ec.Request(), fe.clk.Now()
	if re.ContentLength > fe.maxBodyBytes {
		ec.Response().Header().Set(echo.HeaderConnection, "close")
		return nil, refuse.New(refuse.TooLarge, "the body exceeds %d bytes", fe.maxBodyBytes)
	}
	// Writers of tests have no deadlines.
	rc := http.NewResponseController(ec.Response().Writer)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	br := &bodyReader{
		budget: fe.budgets.Bodies, src: http.MaxBytesReader(ec.Response(), re.Body, fe.maxBodyBytes), length: re.ContentLength, max: fe.maxBodyBytes,
	}
	cl := quota.NewClaim(string(owner), now).WithLeft(br.left())
	br.lease = br.budget.Open(cl, func() { _ = rc.SetReadDeadline(past) }, now)
	if br.lease == nil {
		return nil, fe.budgets.Refuse(bound.Bodies)
	}
	ec.Set(leaseKey, br.lease)
	if !br.budget.Admits(cl, now) {
		return nil, fe.budgets.Refuse(bound.Bodies)
	}
	err := br.read(fe.clk.Now)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errGaveWay) || err != nil && br.lease.Evicted():
		return nil, fe.budgets.Refuse(bound.Bodies)
	case errors.As(err, &tooLarge):
		return nil, refuse.New(refuse.TooLarge, "the body exceeds %d bytes", fe.maxBodyBytes)
	case err != nil:
		return nil, refuse.New(refuse.BadRequest, "read body: %v", err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return br.data, nil
}

// left returns how much is expected to arrive. A body of unknown length is expected to
// have arrived by half.
func (br *bodyReader) left() int64 {
	arrived := int64(len(br.data))
	if br.length >= 0 {
		return br.length - arrived
	}
	return max(0, min(max(arrived, minBuffer), br.max-arrived))
}

// read reads until the end of the body.
func (br *bodyReader) read(now func() time.Time) error {
	for {
		if len(br.data) == cap(br.data) && !br.grow(now()) {
			return errGaveWay
		}
		n, err := br.src.Read(br.data[len(br.data):cap(br.data)])
		br.data = br.data[:len(br.data)+n]
		cl := br.lease.Claim().WithArrived(int64(len(br.data)), br.left(), now())
		if errors.Is(err, io.EOF) {
			cl = cl.WithHeld(int64(len(br.data)) * decodedFactor).WithLeft(0).WithFixed(true)
		} else if err != nil {
			return err
		}
		if !br.budget.Set(br.lease, cl, now()) {
			return errGaveWay
		}
		if cl.Fixed {
			return nil
		}
	}
}

// grow doubles the buffer up to one byte more than expected, and reports false if the
// body has to give way.
func (br *bodyReader) grow(now time.Time) bool {
	size := min(max(int64(2*cap(br.data)), minBuffer), br.max+1)
	if br.length >= 0 {
		size = min(size, br.length+1)
	}
	// Both buffers are held while the bytes are copied.
	if cl := br.lease.Claim(); !br.budget.Set(br.lease, cl.WithHeld(int64(cap(br.data))+size), now) {
		return false
	}
	next := make([]byte, len(br.data), size)
	copy(next, br.data)
	br.data = next
	return br.budget.Set(br.lease, br.lease.Claim().WithHeld(size), now)
}
