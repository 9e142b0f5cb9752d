package serverpath

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/upstream"
)

// promptConn is a connection whose peer responds to a request before the write of the request returns, and then closes.
type promptConn struct {
	net.Conn
	read     func() (int, error)
	answered bool
}

func (c *promptConn) Write(b []byte) (int, error) {
	if _, err := c.read(); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (c *promptConn) Read([]byte) (int, error) {
	if c.answered {
		return 0, io.EOF
	}
	c.answered = true
	return 1, nil
}

// Guards against doubts of a path whose response is read before the write of the request returns.
func TestResponseReadDuringWriteLeavesNoDoubt(t *testing.T) {
	const address = "a"
	for name, wrap := range map[string]func(net.Conn, *Tracker) net.Conn{
		"direct": func(c net.Conn, t *Tracker) net.Conn {
			return &directConn{Conn: c, awaited: awaited{path: t, address: address}}
		},
		"tunnel": func(c net.Conn, t *Tracker) net.Conn {
			return &tunnelConn{Conn: c, awaited: awaited{path: t, address: address}, dialer: NewDialer(Deps{Tracker: t, Logger: log.NewNopLogger()})}
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(log.NewNopLogger())
			prompt := &promptConn{}
			c := wrap(prompt, tracker)
			prompt.read = func() (int, error) { return c.Read(make([]byte, 1)) }
			_, err := c.Write([]byte("request"))
			require.NoError(t, err)
			_, err = c.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			assert.Equal(t, NoCheck, tracker.CheckModeOf(address, clock.Now()))
		})
	}
}

// Guards against doubts of a path whose response is read between two writes of its request.
func TestResponseReadBetweenWritesLeavesNoDoubt(t *testing.T) {
	const address = "a"
	tracker := NewTracker(log.NewNopLogger())
	prompt := &promptConn{}
	c := &directConn{Conn: prompt, awaited: awaited{path: tracker, address: address}}
	prompt.read = func() (int, error) { return 0, nil }
	_, err := c.Write([]byte("head"))
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err)
	_, err = c.Write([]byte("body"))
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	assert.Equal(t, NoCheck, tracker.CheckModeOf(address, clock.Now()))
}

// Guards against losses of a path that leave no doubt as the connection has carried a response to an earlier request.
func TestConnectionThatEndsAfterEarlierResponseLeavesDoubt(t *testing.T) {
	const address = "a"
	answer := func(t *testing.T, c net.Conn) {
		_, err := c.Write([]byte("request"))
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	end := func(t *testing.T, c net.Conn) {
		_, err := c.Write([]byte("request"))
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
	silent := func() (int, error) { return 0, nil }
	t.Run("of this box", func(t *testing.T) {
		for name, wrap := range map[string]func(*Dialer) net.Conn{
			"direct": func(d *Dialer) net.Conn {
				return &directConn{Conn: &promptConn{read: silent}, awaited: awaited{path: d.Tracker, address: address}}
			},
			"tunnel": func(d *Dialer) net.Conn {
				return &tunnelConn{Conn: &promptConn{read: silent}, awaited: awaited{path: d.Tracker, address: address}, dialer: d}
			},
		} {
			t.Run(name, func(t *testing.T) {
				d := NewDialer(Deps{Tracker: NewTracker(log.NewNopLogger()), Logger: log.NewNopLogger()})
				c := wrap(d)
				answer(t, c)
				require.Equal(t, NoCheck, d.Tracker.CheckModeOf(address, clock.Now()))
				c.(upstream.RequestConn).BeginRequest()
				end(t, c)
				assert.Equal(t, RejectEnded, d.Tracker.CheckModeOf(address, clock.Now()))
			})
		}
	})
	t.Run("of another box", func(t *testing.T) {
		d := NewDialer(Deps{
			Tracker: NewTracker(log.NewNopLogger()), Logger: log.NewNopLogger(), Timeout: time.Second,
			Direct: func(context.Context, string) (net.Conn, error) { return &promptConn{read: silent}, nil },
		})
		c, err := d.DialDirect(t.Context(), address)
		require.NoError(t, err)
		answer(t, c)
		end(t, c)
		assert.Equal(t, RejectEnded, d.Tracker.CheckModeOf(address, clock.Now()))
	})
	t.Run("through the client", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				_, _ = http.ReadRequest(r)
			}
		}()
		d := NewDialer(Deps{
			Tracker: NewTracker(log.NewNopLogger()), Logger: log.NewNopLogger(), Timeout: time.Second, Direct: upstream.DialDirect,
			Peers: func() []Peer { return nil }, HallOf: func(string) string { return "" },
		})
		client, server := upstream.NewClientWithDialer(d, ""), listener.Addr().String()
		request := upstream.Request{ServerKey: "s", Address: server, Host: server, Method: http.MethodGet, Target: "/"}
		resp, err := client.Do(t.Context(), request)
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		resp.Close()
		require.Equal(t, NoCheck, d.Tracker.CheckModeOf(server, clock.Now()))
		_, err = client.Do(t.Context(), request)
		require.Error(t, err)
		assert.Equal(t, map[string]int64{"idle": 1, "new": 1}, client.ConnectionCounts())
		assert.Equal(t, RejectEnded, d.Tracker.CheckModeOf(server, clock.Now()))
	})
}
