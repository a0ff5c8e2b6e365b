package terms

import (
	"net/http"
	"strings"
)

// hopByHop lists the fields that apply to one connection only (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// WithoutHopByHop returns a copy of the header without the hop-by-hop fields,
// including those that the field Connection lists.
func WithoutHopByHop(hd http.Header) http.Header {
	out := hd.Clone()
	for _, list := range hd["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
