package routerd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readHook is a listener whose connections call a function each time that they have read
// something, before whoever reads gets it.
type readHook struct {
	net.Listener
	after func()
}

func (l readHook) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &hookedConn{Conn: c, after: l.after}, err
}

type hookedConn struct {
	net.Conn
	after func()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.after()
	}
	return n, err
}

const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"

// A stop may come when a request on a kept connection has been read and nobody has looked
// at it yet. It is answered, or nothing is done for it.
func TestStopLetsARequestThatWasReadBeAnswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var taken atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { taken.Add(1) })}
	connections := newConnections(server)
	var requests atomic.Int32
	rest := func() {
		if requests.Add(1) == 2 {
			connections.closeResting()
		}
	}
	go func() { _ = server.Serve(readHook{Listener: listener, after: rest}) }()
	defer server.Close()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(c)
	answers := int32(0)
	for range 2 {
		_, err = io.WriteString(c, request)
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			assert.Equal(t, http.StatusOK, resp.StatusCode)
			answers++
		}
	}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, taken.Load(), answers, "requests taken, and answered")
}

// served runs f with a server whose handler waits until it is let go on.
func served(t *testing.T, f func(c *connections, address string, taken chan struct{}, goOn chan struct{})) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	taken, goOn := make(chan struct{}, 8), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		taken <- struct{}{}
		<-goOn
	})}
	c := newConnections(server)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	f(c, listener.Addr().String(), taken, goOn)
}

// A request that is being served when the stop begins is answered, and its connection is
// closed after that.
func TestStopWaitsForWhatIsServed(t *testing.T) {
	served(t, func(connections *connections, address string, taken, goOn chan struct{}) {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(c, request)
		require.NoError(t, err)
		<-taken
		connections.closeResting()
		closed := make(chan struct{})
		go func() {
			connections.closeAll(t.Context())
			close(closed)
		}()
		time.Sleep(5 * stopCheck)
		select {
		case <-closed:
			t.Fatal("the connection was closed while its request was served")
		default:
		}
		close(goOn)
		reader := bufio.NewReader(c)
		_, err = http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		<-closed
	})
}

// A caller that has just connected when the stop begins may send its request.
func TestStopLetsFreshConnectionsSendARequest(t *testing.T) {
	served(t, func(connections *connections, address string, _, goOn chan struct{}) {
		close(goOn)
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		require.Eventually(t, func() bool {
			connections.mu.Lock()
			defer connections.mu.Unlock()
			return len(connections.open) == 1
		}, 10*time.Second, time.Millisecond)
		connections.closeResting()
		_, err = io.WriteString(c, request)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
	})
}
