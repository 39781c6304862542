package exchange

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that apply to a single connection and are not
// forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of h without hop-by-hop headers and without the headers
// that its Connection header names.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, connectionOptions := range h.Values("Connection") {
		for name := range strings.SplitSeq(connectionOptions, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
