package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/routing"
)

// Guards against a body that is sent to a server as whole although its caller, or the kernel of a caller that was killed, closed the
// connection in order within it.
func TestBodyCutAtAnyByteIsNotSent(t *testing.T) {
	var bodies atomic.Int64
	f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, route: once(routing.KindRepeatable)}, func(w http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil && string(body) == "some more" {
			bodies.Add(1)
		}
		bodies.Add(1)
	})
	for framing, body := range map[string]string{"Content-Length: 9": "some more", "Transfer-Encoding: chunked": "4\r\nsome\r\n5\r\n more\r\n0\r\n\r\n"} {
		for cut := range len(body) + 1 {
			bodies.Store(0)
			c := dialFleet(t, f, fmt.Sprintf("POST /r HTTP/1.1\r\nHost: h\r\nKey: a\r\nId: a\r\nConnection: close\r\n%s\r\n\r\n%s", framing, body[:cut]))
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			_, _ = io.Copy(io.Discard, c)
			c.Close()
			// A caller that closed after its whole request may have left, too.
			if cut < len(body) {
				require.Zero(t, bodies.Load(), "%s: %q", framing, body[:cut])
				continue
			}
			require.Contains(t, []int64{0, 2}, bodies.Load())
		}
	}
}
