package caller

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders bind one link only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func copyHeader(to, from http.Header) {
	removeHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
}
