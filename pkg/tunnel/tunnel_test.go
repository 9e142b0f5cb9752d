package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/upstream"
)

const waitTimeout = 10 * time.Second

// relayUnderTest is a relay and the server behind it.
type relayUnderTest struct {
	*Server
	address string
	http    *httptest.Server
	// server is the address of the server; accepted passes its connections.
	server   string
	accepted chan net.Conn
}

func newRelay(t *testing.T, change func(*ServerDeps)) *relayUnderTest {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	r := &relayUnderTest{server: listener.Addr().String(), accepted: make(chan net.Conn, 10)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			r.accepted <- c
		}
	}()
	deps := ServerDeps{
		IsPeerHost: func(netip.Addr) bool { return true }, IsServer: func(a string) bool { return a == r.server },
		Dial: upstream.DialDirect, ReachesOthers: func(context.Context, string) bool { return true },
		Isolated: func() bool { return false }, RetryDirect: func(string) {}, Busy: func() bool { return false }, MaxTunnels: 2, Logger: log.NewNopLogger(),
	}
	if change != nil {
		change(&deps)
	}
	r.Server = NewServer(deps)
	r.http = httptest.NewServer(r.Wrap(http.NotFoundHandler()))
	t.Cleanup(r.http.Close)
	r.address = strings.TrimPrefix(r.http.URL, "http://")
	return r
}

// open opens a tunnel and returns both of its ends.
func (r *relayUnderTest) open(t *testing.T) (near net.Conn, server *net.TCPConn) {
	t.Helper()
	near, err := Dial(t.Context(), r.address, r.server)
	require.NoError(t, err)
	t.Cleanup(func() { near.Close() })
	server = (<-r.accepted).(*net.TCPConn)
	t.Cleanup(func() { server.Close() })
	return near, server
}

func TestBytesPassUnchanged(t *testing.T) {
	near, server := newRelay(t, nil).open(t)
	data := bytes.Repeat([]byte("0123456789abcdef\xff\x00"), 20_000)
	go func() { _, _ = server.Write(data) }()
	got := make([]byte, len(data))
	_, err := io.ReadFull(near, got)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(data, got))
	go func() { _, _ = near.Write(data) }()
	_, err = io.ReadFull(server, got)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(data, got))
}

// A response without a length ends with its connection. The loss of the relay must not look like that.
func TestEndOfServerDiffersFromLossOfRelay(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*relayUnderTest, *net.TCPConn)
		want error
	}{
		"closed": {func(_ *relayUnderTest, s *net.TCPConn) { s.Close() }, io.EOF},
		"reset":  {func(_ *relayUnderTest, s *net.TCPConn) { _ = s.SetLinger(0); s.Close() }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRelay(t, nil)
			near, server := r.open(t)
			_, err := io.WriteString(server, "some")
			require.NoError(t, err)
			_, err = io.ReadFull(near, make([]byte, 4))
			require.NoError(t, err)
			c.end(r, server)
			_, err = near.Read(make([]byte, 4))
			assert.ErrorIs(t, err, c.want)
			assert.False(t, near.(*conn).Reusable())
		})
	}
	t.Run("relay lost", func(t *testing.T) {
		near, far := net.Pipe()
		c := newConn(near, "relay")
		go func() {
			_, _ = far.Write([]byte{0, 4, 's', 'o'})
			far.Close()
		}()
		got, err := io.ReadAll(c)
		var lost *upstream.PathLostError
		assert.ErrorAs(t, err, &lost)
		assert.Equal(t, "so", string(got))
	})
}

// A request is canceled at its server by closing the connection.
func TestCloseReachesServer(t *testing.T) {
	r := newRelay(t, nil)
	near, server := r.open(t)
	near.Close()
	require.NoError(t, server.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := server.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Eventually(t, func() bool { return r.Open() == 0 }, waitTimeout, time.Millisecond)
}

// A server may respond and close without reading the whole request.
func TestResponseArrivesAlthoughRequestIsNotRead(t *testing.T) {
	near, server := newRelay(t, nil).open(t)
	go func() {
		body := make([]byte, 64<<10)
		for {
			if _, err := near.Write(body); err != nil {
				return
			}
		}
	}()
	_, err := io.ReadFull(server, make([]byte, 1000))
	require.NoError(t, err)
	_, err = io.WriteString(server, "too long")
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	got, err := io.ReadAll(near)
	require.NoError(t, err)
	assert.Equal(t, "too long", string(got))
}

func TestRefusals(t *testing.T) {
	closed := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	for reason, change := range map[Reason]func(*ServerDeps){
		ReasonUnknownBox:    func(d *ServerDeps) { d.IsPeerHost = func(netip.Addr) bool { return false } },
		ReasonUnknownServer: func(d *ServerDeps) { d.IsServer = func(string) bool { return false } },
		ReasonIsolated:      func(d *ServerDeps) { d.Isolated = func() bool { return true } },
		ReasonBusy:          func(d *ServerDeps) { d.Busy = func() bool { return true } },
		ReasonServerRefused: func(d *ServerDeps) { d.Dial = closed },
		ReasonServerSilent: func(d *ServerDeps) {
			d.Dial = func(context.Context, string) (net.Conn, error) { return nil, context.DeadlineExceeded }
		},
	} {
		r := newRelay(t, change)
		_, err := Dial(t.Context(), r.address, r.server)
		var refused *RefusedError
		require.ErrorAs(t, err, &refused, reason)
		assert.Equal(t, reason, refused.Reason)
		assert.Zero(t, r.Open())
		assert.Equal(t, int64(1), r.Counts()["refused "+string(reason)])
	}
}

// A relay that can't connect to any server must not call the one that it was asked for down.
func TestRelayWithoutLinksTellsNothingOfServer(t *testing.T) {
	r := newRelay(t, func(d *ServerDeps) {
		d.Dial = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		d.ReachesOthers = func(context.Context, string) bool { return false }
	})
	_, err := Dial(t.Context(), r.address, r.server)
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, ReasonIsolated, refused.Reason)
}

// A build without tunnels answers like any server that knows no CONNECT.
func TestRelayOfOlderBuild(t *testing.T) {
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	_, err := Dial(t.Context(), strings.TrimPrefix(old.URL, "http://"), "127.0.0.1:1")
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, ReasonUnsupported, refused.Reason)
}

func TestTunnelsAreLimited(t *testing.T) {
	r := newRelay(t, nil)
	r.open(t)
	near, _ := r.open(t)
	_, err := Dial(t.Context(), r.address, r.server)
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, ReasonBusy, refused.Reason)
	near.Close()
	assert.Eventually(t, func() bool { return r.Open() == 1 }, waitTimeout, time.Millisecond)
	r.open(t)
}

// A planned stop carries the exchange in progress to its end, and no further one.
func TestStopLetsExchangesEnd(t *testing.T) {
	r := newRelay(t, nil)
	near, server := r.open(t)
	assert.True(t, near.(*conn).Reusable())
	r.Stop()
	_, err := io.WriteString(server, "the end")
	require.NoError(t, err)
	got := make([]byte, 7)
	_, err = io.ReadFull(near, got)
	require.NoError(t, err)
	assert.Equal(t, "the end", string(got))
	assert.False(t, near.(*conn).Reusable())
	_, err = Dial(t.Context(), r.address, r.server)
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, ReasonStopping, refused.Reason)
}

func TestDialEndsWithContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = Dial(ctx, listener.Addr().String(), "127.0.0.1:1")
	require.Error(t, err)
	assert.Error(t, ctx.Err())
}

// Any bytes from a relay must end in an error, never in a panic or a complete response.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 2, 'o', 'k', 0, 0})
	f.Add([]byte{0xff, 0xfd, 0, 1, 'x', 0xff, 0xff})
	f.Add([]byte{0x20, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(data)
			far.Close()
		}()
		got, err := io.ReadAll(newConn(near, "relay"))
		assert.LessOrEqual(t, len(got), len(data))
		if err == nil {
			assert.GreaterOrEqual(t, len(data), len(got)+frameHeaderBytes, "a complete response has a notice of its end")
		}
		near.Close()
		assert.False(t, errors.Is(err, io.ErrNoProgress))
	})
}

// BenchmarkTunnel measures a small exchange through a relay, both boxes and the server included.
func BenchmarkTunnel(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	s := NewServer(ServerDeps{
		IsPeerHost: func(netip.Addr) bool { return true }, IsServer: func(string) bool { return true }, Dial: upstream.DialDirect,
		Isolated: func() bool { return false }, RetryDirect: func(string) {}, Busy: func() bool { return false }, MaxTunnels: 2, Logger: log.NewNopLogger(),
	})
	relay := httptest.NewServer(s.Wrap(http.NotFoundHandler()))
	defer relay.Close()
	c, err := Dial(b.Context(), strings.TrimPrefix(relay.URL, "http://"), listener.Addr().String())
	require.NoError(b, err)
	defer c.Close()
	message := make([]byte, 800)
	for b.Loop() {
		_, _ = c.Write(message)
		_, _ = io.ReadFull(c, message)
	}
}
