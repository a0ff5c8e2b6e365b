package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
	"github.com/balsamwood/balsamwood/internal/fake/origin"
)

// TestMaxIdle guards against idle connections to many upstreams that together use up the
// descriptors of the process.
func TestMaxIdle(t *testing.T) {
	const maxIdle, upstreams = 2, 5
	po := pool.New(testHeaderNames(), pool.WithMaxIdle(maxIdle))
	var ups []*origin.Origin
	for range upstreams {
		ups = append(ups, startOrigin(t))
	}
	for no, or := range ups {
		rsp, err := po.Send(t.Context(), request(fmt.Sprint("a", no)), attempt(or))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := rsp.Body(t.Context()); err != nil {
			t.Fatal(err)
		}
		rsp.Close()
	}
	open := func() (sum int) {
		for _, or := range ups {
			sum += or.OpenConns()
		}
		return sum
	}
	// The stand-ins notice the closing of a connection later.
	for end := time.Now().Add(20 * time.Second); open() != maxIdle; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want %d", open(), maxIdle)
		}
	}
}
