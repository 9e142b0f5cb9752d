package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// dialFleet returns a connection to the gateway on which a text was sent.
func dialFleet(t *testing.T, f *relayFleet, text string) net.Conn {
	c, err := net.Dial("tcp", f.caller.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

func responseStatus(t *testing.T, c net.Conn) int {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(relayWait)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if !assert.NoError(t, err) {
		return 0
	}
	return resp.StatusCode
}

// Guards against refusals of bodies that fit while a larger one is being refused.
func TestRefusedReservationTakesNoMemory(t *testing.T) {
	const large, small = 100, 1
	g := New(Deps{Limits: Limits{MaxHeldBytes: large}, Logger: log.NewNopLogger()})
	require.True(t, g.reserve(small))
	var refused conc.WaitGroup
	defer refused.Wait()
	end := make(chan struct{})
	defer close(end)
	refused.Go(func() {
		for {
			select {
			case <-end:
				return
			default:
				assert.False(t, g.reserve(large))
			}
		}
	})
	for range 10_000 {
		require.True(t, g.reserve(small))
		require.LessOrEqual(t, g.HeldBytes(), int64(2*small))
		g.heldBytes.Add(-small)
	}
}

// Guards against callers that send their bodies slowly and together make the box hold more than it may,
// as bodies were counted only once they had arrived.
func TestBodiesAreCountedWhileTheyArrive(t *testing.T) {
	const maxHeld, bodyBytes, callers, fit = 1 << 20, 200 << 10, 20, 5
	sent := strings.Repeat("x", bodyBytes*3/4)
	for name, begin := range map[string]string{
		"declared length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bodyBytes, sent),
		"chunked":         fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", bodyBytes, sent),
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFleet(t, relayConfig{maxHeld: maxHeld}, streamOf(1))
			var sending conc.WaitGroup
			var interrupted atomic.Int32
			var conns []net.Conn
			for range callers {
				c := dialFleet(t, f, "")
				conns = append(conns, c)
				require.NoError(t, c.SetWriteDeadline(time.Now().Add(relayWait)))
				sending.Go(func() {
					// The connection of a refused request may be reset while its body is sent.
					if _, err := io.WriteString(c, "POST /stream HTTP/1.1\r\nHost: h\r\nKey: a\r\nConnection: close\r\n"+begin); err != nil {
						interrupted.Add(1)
					}
				})
			}
			require.Eventually(t, func() bool {
				assert.LessOrEqual(t, f.gateway.HeldBytes(), int64(maxHeld))
				return len(f.logLines(reasonMemory)) >= callers-fit-1
			}, relayWait, pollPeriod)
			sending.Wait()
			assert.LessOrEqual(t, int(interrupted.Load()), len(f.logLines(reasonMemory)), "only refused requests are interrupted")
			assert.LessOrEqual(t, f.gateway.HeldBytes(), int64(maxHeld))
			assert.Greater(t, f.gateway.HeldBytes(), int64(maxHeld/2))
			for _, c := range conns {
				assert.NoError(t, c.Close())
			}
			assert.Eventually(t, func() bool { return f.gateway.HeldBytes() == 0 }, relayWait, pollPeriod)
		})
	}
}

// Guards against a caller that never sends the rest of its body and holds memory and a place among the
// requests in progress for as long as it likes, also if it was refused before.
func TestBodyThatDoesNotArriveEndsAtDeadline(t *testing.T) {
	const declared = "Content-Length: 100\r\n\r\nx"
	for name, c := range map[string]struct {
		maxHeld int64
		begin   string
	}{
		"declared length": {1 << 20, declared}, "chunked": {1 << 20, "Transfer-Encoding: chunked\r\n\r\n64\r\nx"}, "refused": {50, declared},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFleet(t, relayConfig{maxHeld: c.maxHeld}, streamOf(1))
			start := time.Now()
			conn := dialFleet(t, f, "POST /stream HTTP/1.1\r\nHost: h\r\nKey: a\r\nTimeout-Ms: 300\r\n"+c.begin)
			assert.Equal(t, http.StatusServiceUnavailable, responseStatus(t, conn))
			assert.GreaterOrEqual(t, time.Since(start), 300*time.Millisecond)
			assert.Zero(t, f.gateway.HeldBytes())
			assert.Zero(t, f.gateway.InProgress())
		})
	}
}

// Guards against a read deadline of the body that ends the request itself, or the next one on its
// connection.
func TestBodyDeadlineDoesNotOutliveTheBody(t *testing.T) {
	f := newRelayFleet(t, relayConfig{maxHeld: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(500 * time.Millisecond)
		writeEvents(w, r, 1, eventSize)
	})
	c := dialFleet(t, f, "")
	reader := bufio.NewReader(c)
	for _, timeout := range []int{5000, 5000} {
		_, err := fmt.Fprintf(c, "POST /stream HTTP/1.1\r\nHost: h\r\nKey: a\r\nTimeout-Ms: %d\r\nContent-Length: 1\r\n\r\nx", timeout)
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(relayWait)))
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, relayEvents(1, eventSize), string(body))
	}
}

// Guards against long headers of requests and responses that no bound counts: of as many requests as a
// box may have in progress, they take more than its memory.
func TestLongHeadersAreCounted(t *testing.T) {
	const callers, headerBytes = 40, 50 << 10
	release := make(chan struct{})
	f := newRelayFleet(t, relayConfig{maxHeld: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Long", strings.Repeat("x", headerBytes))
		w.(http.Flusher).Flush()
		<-release
	})
	end := sync.OnceFunc(func() { close(release) })
	t.Cleanup(end)
	long := strings.Repeat("x", headerBytes)
	for range callers {
		dialFleet(t, f, "GET /stream HTTP/1.1\r\nHost: h\r\nKey: a\r\nConnection: close\r\nLong: "+long+"\r\n\r\n")
	}
	require.Eventually(t, func() bool { return len(f.logLines(reasonMemory)) > callers/2 }, relayWait, pollPeriod)
	assert.LessOrEqual(t, f.gateway.HeldBytes(), int64(2<<20), "at most one response header beyond the limit for each request")
	end()
	assert.Eventually(t, func() bool { return f.gateway.HeldBytes() == 0 }, relayWait, pollPeriod)
}

// Guards against incomplete events that no bound counts, which could take 1 MiB for each request in
// progress, and against streams that wait for each other's memory for ever.
func TestIncompleteEventsAreBounded(t *testing.T) {
	const maxHeld, eventBytes, callers = 2 << 20, 900 << 10, 12
	for _, readAhead := range []bool{false, true} {
		t.Run(fmt.Sprint("read-ahead ", readAhead), func(t *testing.T) {
			begin, release := make(chan struct{}), make(chan struct{})
			event := relayEvent(1, eventBytes)
			f := newRelayFleet(t, relayConfig{maxHeld: maxHeld, readAhead: readAhead}, func(w http.ResponseWriter, _ *http.Request) {
				<-begin
				w.Header().Set("Content-Type", eventStreamType)
				_, _ = io.WriteString(w, event[:len(event)-1])
				w.(http.Flusher).Flush()
				<-release
				_, _ = io.WriteString(w, event[len(event)-1:])
			})
			end := sync.OnceFunc(func() { close(release) })
			t.Cleanup(end)
			var conns []net.Conn
			for range callers {
				conns = append(conns, f.send(t, "a"))
			}
			// While memory is over the limit, further requests are refused.
			require.Eventually(t, func() bool { return f.running() == callers }, relayWait, pollPeriod)
			close(begin)
			require.Eventually(t, func() bool { return f.gateway.HeldBytes() > maxHeld-eventStep }, relayWait, pollPeriod)
			for end := time.Now().Add(3 * eventRetryInterval); time.Now().Before(end); time.Sleep(pollPeriod) {
				assert.LessOrEqual(t, f.gateway.HeldBytes(), int64(maxHeld+maxEventBytes+callers*eventStep))
			}
			end()
			var wg conc.WaitGroup
			for _, c := range conns {
				wg.Go(func() {
					body, err := readBody(t, c)
					assert.NoError(t, err)
					assert.True(t, body == event, "%d bytes", len(body))
				})
			}
			wg.Wait()
			assert.Eventually(t, func() bool { return f.gateway.HeldBytes() == 0 }, relayWait, pollPeriod)
		})
	}
}
