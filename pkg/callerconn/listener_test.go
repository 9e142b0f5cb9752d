package callerconn

import (
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLimitListenerLimitsOpenConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var rejected atomic.Int32
	l := LimitListener(inner, 2, func() bool { return false }, func() { rejected.Add(1) })
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	assertClosed := func(c net.Conn) {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := c.Read(make([]byte, 1))
		require.Error(t, err)
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "a connection beyond the limit waits")
	}
	dial()
	dial()
	open := []net.Conn{<-accepted, <-accepted}
	assertClosed(dial())
	// Closing twice frees one place only.
	open[0].Close()
	open[0].Close()
	dial()
	third := <-accepted
	defer third.Close()
	_, ok := third.(interface{ SetLinger(seconds int) error })
	assert.True(t, ok, "the connection can be reset")
	assertClosed(dial())
	assert.Equal(t, int32(2), rejected.Load())
	require.NoError(t, l.Close())
	assert.Error(t, <-ended)
	open[1].Close()
}

func TestGateListenerClosesConnectionsThatAreNotAdmitted(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	seen := 0
	l := GateListener(inner, func() bool {
		seen++
		return seen == 2
	})
	var callers []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("request"))
		require.NoError(t, err)
		callers = append(callers, c)
	}
	admitted, err := l.Accept()
	require.NoError(t, err)
	defer admitted.Close()
	assert.Equal(t, callers[1].LocalAddr().String(), admitted.RemoteAddr().String())
	require.NoError(t, callers[0].SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = callers[0].Read(make([]byte, 1))
	require.Error(t, err)
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a listener that closes new connections although others are not in use, and against one that accepts none and does not
// report that it is full.
func TestLimitListenerMakesRoom(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	open := make(chan net.Conn, 10)
	spare := true
	l := LimitListener(inner, 2, func() bool {
		if spare {
			(<-open).Close()
		}
		return spare
	}, func() {})
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		accepted, err := l.Accept()
		require.NoError(t, err)
		open <- accepted
	}
	assert.Len(t, open, 2)

	now := time.Unix(100, 0)
	assert.False(t, l.Full(now))
	l.record(false, now)
	assert.False(t, l.Full(now), "a single connection")
	l.record(false, now.Add(fullDelay))
	assert.True(t, l.Full(now.Add(fullDelay)))
	assert.False(t, l.Full(now.Add(fullDelay+fullRetention)), "no further ones come")
	l.record(true, now.Add(fullDelay))
	assert.False(t, l.Full(now.Add(fullDelay)), "one was taken")
}
