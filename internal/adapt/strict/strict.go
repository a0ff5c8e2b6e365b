// Package strict rejects responses that net/http accepts although HTTP forbids them.
package strict

import (
	"fmt"
	"net/http"
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
	return nil
}
