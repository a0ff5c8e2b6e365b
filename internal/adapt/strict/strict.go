// Package strict rejects responses that net/http accepts although HTTP forbids them.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// Check returns an error if the header of the response is not one that HTTP allows. The
// request is assumed not to ask for another protocol.
func Check(resp *http.Response) error {
	if sc := resp.StatusCode; sc < minStatus || sc > maxStatus || sc == http.StatusSwitchingProtocols {
		return fmt.Errorf("the response has the invalid status %03d", sc)
	}
	for name := range resp.Header {
		// net/http accepts blanks in names.
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("the header of the response has a field with the invalid name %q", name)
		}
	}
	return nil
}

// CheckLines returns an error if a line of the encoded header begins with a blank. net/http
// appends such a line to the value of the field before it. A proxy may reject it instead
// (RFC 9112, section 5.2), because the upstream may have meant it as a field of its own.
func CheckLines(head []byte) error {
	for _, start := range []string{"\n ", "\n\t"} {
		if bytes.Contains(head, []byte(start)) {
			return errors.New("a line in the header of the response begins with a blank")
		}
	}
	return nil
}
