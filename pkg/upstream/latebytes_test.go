package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
)

// Guards against a process that is taken to run on because what it sent before it ended waits on a slow link, and comes piece
// by piece.
func TestBytesFromSlowLinkDoNotProveThatProcessRuns(t *testing.T) {
	var ended atomic.Pointer[time.Time]
	withServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n")
		now := clock.Now()
		ended.Store(&now)
		for range 12 {
			time.Sleep(40 * time.Millisecond)
			_, _ = io.WriteString(c, "x")
		}
	}, func(c *Client, r Request) {
		resp, err := c.Do(context.Background(), r)
		require.NoError(t, err)
		opened := clock.Now()
		_, err = io.ReadFull(resp.Body, make([]byte, 11))
		require.NoError(t, err)
		assert.False(t, c.Carries(r.ServerKey, opened, ended.Load().Add(2*transitTime)))
		resp.Close()
	})
}

// Guards against a connection whose close is not noticed since a request that asks for no notice, such as a query of the server.
func TestIdleConnectionIsWatchedAfterAnotherRequest(t *testing.T) {
	ended := make(chan struct{})
	withServer(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for range 2 {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		<-ended
		c.Close()
	}, func(c *Client, r Request) {
		reported := 0
		for _, onIdleClosed := range []func(time.Time){func(time.Time) { reported++ }, nil} {
			r.OnIdleClosed = onIdleClosed
			resp, err := c.Do(context.Background(), r)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, err)
			resp.Close()
		}
		require.EqualValues(t, 1, c.ConnectionCounts()["idle"], "the second request went over the same connection")
		close(ended)
		assert.Eventually(t, func() bool {
			reportClosed(c.pool.removeClosed(clock.Now()))
			return reported > 0
		}, time.Second, 5*time.Millisecond)
	})
}
