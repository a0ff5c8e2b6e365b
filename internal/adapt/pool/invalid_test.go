package pool_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/balsamwood/balsamwood/internal/adapt/pool"
)

// TestInvalidStatus guards against a status outside the range of HTTP that is passed on,
// and against one that is skipped like an interim response, so that what follows it is
// taken for the response.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20", "-00"} {
		t.Run(status, func(t *testing.T) {
			head := "HTTP/1.1 " + status + " Trouble\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
			addr, _ := serveRaw(t, [][]string{{head + rawOK("a1", "one")}})
			got := sendRaw(t, pool.New(testHeaderNames()), addr, request("a1"))
			if diff := cmp.Diff("unknown", got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}
