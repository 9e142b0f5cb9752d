package upstream

import (
	"bufio"
	"context"
	"fmt"
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
	for _, pause := range []time.Duration{0, 40 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) { testBytesFromSlowLink(t, pause) })
	}
}

// testBytesFromSlowLink has the rest of a response come after the end of its process, in pieces with a pause before each.
func testBytesFromSlowLink(t *testing.T, pause time.Duration) {
	t.Parallel()
	pieces := max(3, int(480*time.Millisecond/max(pause, 40*time.Millisecond)))
	var ended atomic.Pointer[time.Time]
	withServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", pieces)
		now := clock.Now()
		ended.Store(&now)
		for range pieces {
			time.Sleep(pause)
			_, _ = io.WriteString(c, "x")
		}
	}, func(c *Client, r Request) {
		resp, err := c.Do(context.Background(), r)
		require.NoError(t, err)
		opened := clock.Now()
		_, err = io.ReadFull(resp.Body, make([]byte, pieces-1))
		require.NoError(t, err)
		assert.False(t, c.Carries(r.ServerKey, opened, *ended.Load()))
		resp.Close()
		if _, until, ok := c.Lifetime(r.ServerKey, resp.ConnOpened); ok {
			assert.False(t, until.After(*ended.Load()))
		}
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
