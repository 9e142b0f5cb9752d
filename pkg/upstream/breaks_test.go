package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/clock"
)

func TestClosedTogether(t *testing.T) {
	closed := time.Unix(1000, 0)
	at := func(ms int) time.Time { return closed.Add(time.Duration(ms) * time.Millisecond) }
	opened := at(-1000)
	for name, c := range map[string]struct {
		lost []lostConn
		want bool
	}{
		"no other":                            {nil, false},
		"one just before":                     {[]lostConn{{at(-500), at(-9)}}, true},
		"one just after":                      {[]lostConn{{at(-500), at(4)}}, true},
		"one of several":                      {[]lostConn{{at(-500), at(-300)}, {at(-800), at(0)}}, true},
		"one long before":                     {[]lostConn{{at(-500), at(-11)}}, false},
		"one long after":                      {[]lostConn{{at(-500), at(6)}}, false},
		"one that was opened after the close": {[]lostConn{{at(1), at(3)}}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.want, closedTogether(opened, closed, c.lost)) })
	}
	assert.False(t, closedTogether(at(-2), closed, []lostConn{{at(-500), at(-3)}}), "opened after the other was lost")
}

func TestBreaksOfResponses(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{io.ErrUnexpectedEOF, true}, {&net.OpError{Op: "read", Err: syscall.ECONNRESET}, true},
		{io.EOF, false}, {ErrConnectionEnded, false}, {net.ErrClosed, false}, {syscall.ETIMEDOUT, false},
		{&PathLostError{Relay: "relay", Cause: io.ErrUnexpectedEOF}, false}, {nil, false},
	} {
		assert.Equal(t, c.want, isBreak(c.err), "%v", c.err)
	}
}

func TestBreaksAreForgotten(t *testing.T) {
	var b breaks
	start := time.Unix(1000, 0)
	for i := range 2 * maxBreaks {
		b.add("a", lostConn{at: start.Add(time.Duration(i))})
	}
	assert.Len(t, b.of("a"), maxBreaks)
	b.add("b", lostConn{at: start.Add(2 * breakRetention)})
	assert.Empty(t, b.of("a"))
	assert.Len(t, b.of("b"), 1)
}

// A response that is closed while another one of the server is broken off may be incomplete; one alone isn't held up.
func TestResponseClosedBesideABreak(t *testing.T) {
	for name, other := range map[string]string{"none": "", "with a length": "Content-Length: 10\r\n", "without a length": ""} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			c := NewClient(time.Second)
			begin := func(framing string) (*Response, net.Conn) {
				accepted := make(chan net.Conn, 1)
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+framing+"\r\nsome")
					accepted <- conn
				}()
				resp, err := c.Do(context.Background(), Request{ServerKey: "s", Address: listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", NewConnection: true})
				require.NoError(t, err)
				return resp, <-accepted
			}
			resp, conn := begin("")
			defer resp.Close()
			if name != "none" {
				beside, besideConn := begin(other)
				defer beside.Close()
				go func() {
					_, _ = io.Copy(io.Discard, beside.Body)
				}()
				time.AfterFunc(time.Millisecond, func() { besideConn.Close() })
			}
			time.Sleep(time.Millisecond)
			conn.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			require.ErrorIs(t, err, ErrConnectionEnded)
			closed := clock.Now()
			assert.Equal(t, other != "", resp.ClosedTogether(t.Context(), closed))
			if name == "none" {
				assert.Less(t, clock.Since(closed), breaksAfter)
			}
			before := len(c.breaks.of("s"))
			resp.RecordCut()
			assert.Len(t, c.breaks.of("s"), before+1)
		})
	}
}
