package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// Guards against a request that crashes servers behind responses which end with their connection and are too long to be buffered: such
// a crash counts as evidence as that behind a short response does.
func TestCrashBehindLongResponseIsEvidence(t *testing.T) {
	for name, size := range map[string]int{"short": 1 << 10, "long": 2 * maxBufferedBytes} {
		for _, readAhead := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", read ahead"}[readAhead], func(t *testing.T) {
				q := &soundRecorder{}
				var server *httptest.Server
				c := relayConfig{maxHeld: 64 << 20, readAhead: readAhead, route: func(r *routing.Route) { r.MaxAttempts = 1 }}
				f := newRelayFleet(t, c, func(w http.ResponseWriter, r *http.Request) {
					server.Listener.Close()
					rawResponse{framing: "close", content: strings.Repeat("x", size), sent: size}.ServeHTTP(w, r)
				})
				server = f.backends[0]
				f.gateway.Quarantine, f.gateway.EndChecker = q, dialingEnds{f.gateway.Upstream}
				f.callRaw(t, http.MethodPost, "1.1", "")
				assert.Eventually(t, func() bool {
					q.mu.Lock()
					defer q.mu.Unlock()
					return q.ended == 1
				}, 2*time.Second, time.Millisecond)
			})
		}
	}
}
