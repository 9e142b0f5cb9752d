package upstream

import (
	"net/http"
	"strings"
)

// oneConnection are the headers that concern one connection only, or the framing of
// a body on it. Expect is answered by whoever reads the body.
var oneConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// EndToEndHeader copies the headers that go through: not those of one connection, of which
// Connection may name more.
func EndToEndHeader(h http.Header) http.Header {
	named := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if !oneConnection[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}
