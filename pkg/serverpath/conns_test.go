package serverpath

import (
	"io"
	"net"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
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
