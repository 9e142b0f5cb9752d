package upstream

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to a single connection or to the framing of a body on it.
// Expect is among them, as it is answered by the hop that reads the body.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// EndToEndHeader returns the end-to-end headers of h: all but the hop-by-hop ones and those listed
// in Connection.
func EndToEndHeader(h http.Header) http.Header {
	listed := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if !hopByHop[name] && !listed[name] {
			out[name] = values
		}
	}
	return out
}
