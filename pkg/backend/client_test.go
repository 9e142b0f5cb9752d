package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/config"
)

// newClosingServer starts a server that answers the first request on a connection and
// closes the connection after reading the second. runs counts the requests read.
func newClosingServer(t *testing.T) (address string, runs *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	runs = new(atomic.Int64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					runs.Add(1)
					if n > 0 {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return ln.Addr().String(), runs
}

// An HTTP transport may retry a request when a reused connection turns out to be
// closed. An at-most-once call must not be retried, even with an Idempotency-Key.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, body := range []string{"", "body"} {
		address, runs := newClosingServer(t)
		c := NewClient(5 * time.Second)
		defer c.Close()
		for n := range 5 {
			resp, err := c.Do(t.Context(), Call{
				Server: config.Server{Name: "s", Address: address}, Method: http.MethodPost, Path: "/x",
				Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(body), AtMostOnce: true,
			})
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			require.Equal(t, int64(n+1), runs.Load())
		}
	}
}

func TestAnswerTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c := NewClient(100 * time.Millisecond)
	defer c.Close()
	_, err = c.Do(t.Context(), Call{Server: config.Server{Name: "s", Address: ln.Addr().String()}, Method: http.MethodGet, Path: "/"})
	var interrupted *InterruptedError
	var timedOut *AnswerTimeoutError
	require.ErrorAs(t, err, &interrupted)
	require.ErrorAs(t, err, &timedOut)
}
