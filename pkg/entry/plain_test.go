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
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/api"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/standin/engine"
)

// rawServer starts a server that sends bytes and then closes or resets the connection.
func rawServer(t *testing.T, response string, reset bool) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, response)
			if reset {
				// The caller must receive the head before the reset, which discards what is unread.
				time.Sleep(100 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against an answer that ends with its connection and reaches its caller as complete.
func TestPlainAnswerHasNoStrongerEnd(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", maxBufferedBytes/8)
	for _, size := range []int{100, len(long)} {
		for _, c := range []struct {
			framing, status string
			reset           bool
			want            string
		}{
			{"close", "200 OK", false, "closed"}, {"close", "400 Bad Request", false, "closed"}, {"close", "200 OK", true, "broken"},
			{"length", "200 OK", false, "whole"}, {"length", "200 OK", true, "whole"},
		} {
			t.Run(fmt.Sprintf("%d bytes, %s, %s, reset %t", size, c.framing, c.status, c.reset), func(t *testing.T) {
				head := "HTTP/1.1 " + c.status + "\r\n"
				if c.framing == "length" {
					head += fmt.Sprintf("Content-Length: %d\r\n", size)
				}
				server := config.Server{Name: "p", Address: rawServer(t, head+"\r\n"+long[:size], c.reset)}
				status, end, outcome, body := callPlain(t, server)
				if status == http.StatusBadGateway {
					assert.Equal(t, "broken", c.want)
					return
				}
				assert.Equal(t, c.want, end)
				if c.want != "broken" {
					assert.True(t, body == long[:size])
				}
				assert.Equal(t, c.want == "whole", outcome == string(api.OutcomeDone), outcome)
			})
		}
	}
}

// callPlain sends a request to a plain service by way of a handler, and returns how its answer ended for the
// caller.
func callPlain(t *testing.T, server config.Server) (status int, end, outcome, body string) {
	withEngines(t, func(h *Handler, _ [2]*engine.Engine, _ [2]config.Server) {
		box := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			req := &request{id: "r", arrival: time.Now(), service: config.Service{Kind: config.ServiceKindPlain}}
			x := &plainExchange{h: h, w: w, r: r, req: req}
			if _, err := x.do(r.Context(), server); err != nil {
				h.fail(w, req, req.finalError(err))
			}
		}))
		box.Config.ConnContext = h.Server().ConnContext
		box.Start()
		defer box.Close()
		c, err := net.Dial("tcp", box.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET /services/p/x HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		data, err := io.ReadAll(resp.Body)
		status, outcome, body = resp.StatusCode, resp.Header.Get(api.HeaderOutcome), string(data)
		switch {
		case err != nil:
			end = "broken"
		case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
			end = "closed"
		default:
			end = "whole"
		}
	})
	return status, end, outcome, body
}
