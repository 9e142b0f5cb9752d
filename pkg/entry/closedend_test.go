package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/standin/engine"
)

// endingServer starts a server whose process ends after part of its first answer: its kernel closes the connection in order, and
// refuses further ones.
func endingServer(t *testing.T, answer string) config.Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, answer)
		listener.Close()
		c.Close()
	}()
	t.Cleanup(func() { listener.Close() })
	return config.Server{Name: "p", Address: listener.Addr().String()}
}

// Guards against an answer without a length that reaches its caller as one that ended, because the process of its server did.
func TestPlainAnswerOfAProcessThatEndedIsBroken(t *testing.T) {
	for name, size := range map[string]int{"buffered": 100, "forwarded as it arrives": 2 * maxBufferedBytes} {
		t.Run(name, func(t *testing.T) {
			server := endingServer(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size))
			status, end, _, _ := callPlain(t, server)
			if size < maxBufferedBytes {
				assert.Equal(t, http.StatusBadGateway, status)
				return
			}
			assert.Equal(t, "broken", end)
		})
	}
}

// Guards against a refusal without a length that reaches its caller as one that ended, because the process of its engine did.
func TestRefusalOfAProcessThatEndedIsBroken(t *testing.T) {
	server := endingServer(t, "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n\r\n{\"error\":")
	withEngines(t, func(h *Handler, _ [2]*engine.Engine, _ [2]config.Server) {
		x, w := newExchange(t, h, "r", false, 0)
		x.r = httptest.NewRequest(http.MethodPost, pathChat, nil)
		_, err := x.do(t.Context(), server)
		var interrupted *backend.InterruptedError
		assert.ErrorAs(t, err, &interrupted)
		assert.Empty(t, w.Body.Bytes())
	})
}

// Guards against a long answer to an HTTP/1.0 caller that ends with its connection: the kernel of a box that is killed closes that in
// order too.
func TestCompleteAnswerStatesItsLength(t *testing.T) {
	body := fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"message":{"content":%q}}],"usage":{"completion_tokens":2}}`, answerIDPrefix+"r", strings.Repeat("x", 100<<10))
	server, respond := newCutServer(t)
	for name, answer := range map[string]string{
		"answer":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"refusal": fmt.Sprintf("HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			respond(answer)
			withEngines(t, func(h *Handler, _ [2]*engine.Engine, _ [2]config.Server) {
				box := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					x, _ := newExchange(t, h, "r", false, 0)
					x.w, x.r = w, r
					_, err := x.do(r.Context(), server)
					assert.NoError(t, err)
				}))
				defer box.Close()
				for _, version := range []string{"1.0", "1.1"} {
					_, _, end, got := plainBox{box.Listener.Addr().String()}.call(t, version)
					assert.Equal(t, "whole", end, version)
					assert.Equal(t, body, got)
				}
			})
		})
	}
}
