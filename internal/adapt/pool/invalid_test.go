package pool_test

import (
	"strings"
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

// TestInvalidFieldName guards against passing on a field whose name holds a blank or a
// control byte, and against a body that ends elsewhere because such a field was meant to
// give its length. A field with a blank before its name is one of them, although HTTP
// once let it continue the line before.
func TestInvalidFieldName(t *testing.T) {
	const first, id = "HTTP/1.1 200 OK\r\n", "Attempt-Id: a1\r\n"
	const framed = "Content-Length: 5\r\n\r\n body"
	for _, tc := range []struct{ name, line, want string }{
		{"blank inside", "X Own: a", "unknown"},
		{"blank at the end", "X-Own : a", "unknown"},
		{"blank at the end of a length", "Content-Length : 2", "unknown"},
		{"blank at the end of chunks", "Transfer-Encoding : chunked", "unknown"},
		{"blank at the beginning", " X-Own: a", "unknown"},
		{"blank at the beginning of a length", " Content-Length: 2", "unknown"},
		{"blank only", " : a", "unknown"},
		{"tab inside", "X\tOwn: a", "unknown"},
		{"tab at the end", "X-Own\t: a", "unknown"},
		{"tab at the beginning", "\tX-Own: a", "unknown"},
		{"NUL", "X\x00Own: a", "unknown"},
		{"SOH", "X\x01Own: a", "unknown"},
		{"CR", "X\rOwn: a", "unknown"},
		{"DEL", "X\x7fOwn: a", "unknown"},
		{"after many other fields", strings.Repeat("X-Other: b\r\n", 2000) + " X-Own: a", "unknown"},
		{"blanks in the value", "X-Own:  a \t b ", " body"},
		{"blanks after many other fields", strings.Repeat("X-Other: b\r\n", 2000) + "X-Own:  a ", " body"},
	} {
		for where, response := range map[string]string{
			"first": first + tc.line + "\r\n" + id + framed,
			"last":  first + id + tc.line + "\r\n" + framed,
			"after an interim response": "HTTP/1.1 103 Early Hints\r\nX-Own: a\r\n\r\n" +
				first + id + tc.line + "\r\n" + framed,
			"in an interim response": "HTTP/1.1 103 Early Hints\r\nX-Other: a\r\n" + tc.line + "\r\n\r\n" + first + id + framed,
		} {
			t.Run(tc.name+", "+where, func(t *testing.T) {
				addr, _ := serveRaw(t, [][]string{{response}})
				got := sendRaw(t, pool.New(testHeaderNames()), addr, request("a1"))
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Errorf("result (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestInvalidFieldNameInCopy guards against a check that is confused by the body of an
// earlier response, which is skipped, and by its lines that begin with a blank.
func TestInvalidFieldNameInCopy(t *testing.T) {
	const text = "a\n b\r\n c"
	for line, want := range map[string]string{"X-Other: b\r\nX-Own: a\r\n": "two", "X-Other: b\r\n X-Own: a\r\n": "unknown"} {
		second := strings.Replace(rawOK("a2", "two"), "Attempt-Id", line+"Attempt-Id", 1)
		addr, _ := serveRaw(t, [][]string{{rawOK("a1", text), rawOK("a1", text) + second}})
		po := pool.New(testHeaderNames())
		got := []string{sendRaw(t, po, addr, request("a1")), sendRaw(t, po, addr, request("a2"))}
		if diff := cmp.Diff([]string{text, want}, got); diff != "" {
			t.Errorf("%q: results (-want +got):\n%s", line, diff)
		}
	}
}
