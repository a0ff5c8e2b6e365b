package terms

import (
	"net/http"
	"strings"
)

// perConnection lists the fields that concern one connection only (RFC 9110,
// section 7.6.1).
var perConnection = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// Forwarded returns a copy of the header without the fields that concern one
// connection only.
func Forwarded(hd http.Header) http.Header {
	out := hd.Clone()
	for _, list := range hd["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range perConnection {
		delete(out, name)
	}
	return out
}
