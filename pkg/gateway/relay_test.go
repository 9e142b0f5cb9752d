package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/readahead"
)

const (
	pollPeriod = 2 * time.Millisecond
	eventSize  = 100
	// shortStream is the number of events of a stream that fits into the read-ahead of a caller but
	// not into its socket buffers. longStream does not fit into the read-ahead.
	shortStream = 2200
	longStream  = 40000
	// heldOfShortStream is less than what remains of a short stream once socket buffers, which take up to
	// 160 KB of it, are full.
	heldOfShortStream = 64 << 10
	// partialOfSlow is the most that a stream holds of an incomplete event when its read-ahead begins.
	// These bytes are counted even beyond a bound.
	partialOfSlow = 4 << 10
)

// streamOf returns a handler that sends events. They are formatted once: with the race detector,
// formatting the events of many long streams takes longer than callerWriteTimeout on a busy machine.
//
// The body of the request is read first. net/http closes the connection 500 ms after a response to a long
// body that was not read, which resets it, and a box that gets no core for so long loses the rest.
func streamOf(events int) http.HandlerFunc {
	text := []byte(relayEvents(events, eventSize))
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.Header.Get("Last-Event-Id") != "" {
			writeEvents(w, r, events, eventSize)
			return
		}
		w.Header().Set("Content-Type", eventStreamType)
		for piece := range slices.Chunk(text, 1000) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}
}

// readBody reads a response to its end.
func readBody(t testing.TB, c net.Conn) (string, error) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(relayWait)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a server's slot that stays in use until a slow caller has read the response, and
// against a response that is lost once the server is done.
func TestServerSlotIsFreeBeforeSlowCallerHasRead(t *testing.T) {
	f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, streamOf(shortStream))
	c := f.send(t, "a")
	require.Eventually(t, func() bool { return f.gateway.readAhead.Held() > 0 && f.running() == 0 }, relayWait, pollPeriod)
	assert.Empty(t, f.outcomes(), "the request is still in progress")
	body, err := readBody(t, c)
	require.NoError(t, err)
	assert.Equal(t, relayEvents(shortStream, eventSize), body)
	require.Eventually(t, func() bool { return len(f.outcomes()) == 1 }, relayWait, pollPeriod)
	assert.Equal(t, OutcomeDone, f.outcomes()[0])
	assert.Len(t, f.logLines(fmt.Sprint("events=", shortStream)), 1, "all events are recorded")
	assert.Empty(t, f.logLines("at a bound"))
	assert.Zero(t, f.gateway.HeldBytes())
}

// Guards against read-ahead with the switch off.
func TestNothingIsReadAheadWithoutTheSwitch(t *testing.T) {
	f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: false}, streamOf(shortStream))
	c := f.send(t, "a")
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, 1, f.running())
	assert.Zero(t, f.gateway.HeldBytes())
	body, err := readBody(t, c)
	require.NoError(t, err)
	assert.Equal(t, relayEvents(shortStream, eventSize), body)
}

// Guards against events that are held back until more arrive, before and after the caller was slow.
func TestEventsAreNotDelayedByReadAhead(t *testing.T) {
	next := make(chan int)
	f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventStreamType)
		for size := range next {
			_, _ = io.WriteString(w, relayEvent(1, size))
			w.(http.Flusher).Flush()
		}
	})
	c := f.send(t, "a")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(relayWait)))
	next <- 10
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	readEvent := func(size int) {
		event := make([]byte, len(relayEvent(1, size)))
		_, err := io.ReadFull(resp.Body, event)
		require.NoError(t, err)
	}
	readEvent(10)
	for _, size := range []int{10, 200 << 10, 10, 900 << 10, 10} {
		next <- size
		time.Sleep(20 * time.Millisecond)
		readEvent(size)
	}
	close(next)
	_, err = io.ReadAll(resp.Body)
	assert.NoError(t, err)
}

// Guards against slow callers of one organisation that use up the memory of the box, and against
// callers of others that are not served meanwhile.
func TestSlowCallersOfOneOrganisationAreBounded(t *testing.T) {
	const maxHeld = 8 << 20
	want := relayEvents(longStream, eventSize)
	f := newRelayFleet(t, relayConfig{maxHeld: maxHeld, readAhead: true}, streamOf(longStream))
	for range 100 {
		f.send(t, "a")
	}
	highest := int64(0)
	// This comes before the slower part below, as the callers are cut off after callerWriteTimeout. On
	// a busy machine that may be before the last ones are stopped, so stops are counted over time.
	var stops []string
	require.Eventually(t, func() bool {
		highest = max(highest, f.gateway.HeldBytes())
		stops = f.logLines(`"read-ahead stopped at a bound" id=a`)
		return len(stops) >= 100
	}, relayWait, pollPeriod)
	assert.Len(t, stops, 100, "one line a request")
	assert.True(t, slices.ContainsFunc(stops, func(line string) bool { return strings.Contains(line, "cause=organisation") }))
	for range 5 {
		body, err := readBody(t, f.send(t, "b"))
		require.NoError(t, err)
		assert.True(t, body == want, "%d bytes, want %d", len(body), len(want))
		highest = max(highest, f.gateway.HeldBytes())
	}
	t.Logf("at most %d bytes held", highest)
	assert.LessOrEqual(t, highest, int64(maxHeld/organisationDivisor+maxAheadPerCaller+100*partialOfSlow))
}

// Guards against slow callers of many organisations that together use up the memory of the box, so that
// requests with bodies are refused, and against slow callers that do not get responses that are ready.
func TestSlowCallersOfManyOrganisationsLeaveMemoryForOthers(t *testing.T) {
	const (
		maxHeld                = 8 << 20
		callersPerSlow         = 12
		eventsOfSlow           = 8000
		bodyBytes              = maxHeld/2 - 1<<20
		fastOrganisation       = "h"
		minHeldBySlow    int64 = maxHeld * 3 / 8
	)
	f := newRelayFleet(t, relayConfig{maxHeld: maxHeld, readAhead: true}, streamOf(eventsOfSlow))
	var slow []net.Conn
	for _, organisation := range relayOrganisations {
		for range callersPerSlow {
			if organisation != fastOrganisation {
				slow = append(slow, f.send(t, organisation))
			}
		}
	}
	require.Eventually(t, func() bool { return f.gateway.readAhead.Held() > minHeldBySlow }, relayWait, pollPeriod)
	time.Sleep(2 * slowWriteDelay)
	assert.LessOrEqual(t, f.gateway.readAhead.Held(), int64(maxHeld/2+partialOfSlow*len(slow)))

	r, err := http.NewRequest(http.MethodPost, f.caller.URL, strings.NewReader(strings.Repeat("x", bodyBytes)))
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Key", fastOrganisation)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, resp.StatusCode, "%.100s", body)

	want := relayEvents(eventsOfSlow, eventSize)
	var wg conc.WaitGroup
	for _, c := range slow {
		wg.Go(func() {
			body, err := readBody(t, c)
			assert.NoError(t, err)
			assert.True(t, body == want, "%d bytes, want %d", len(body), len(want))
		})
	}
	wg.Wait()
	assert.Eventually(t, func() bool { return f.gateway.HeldBytes() == 0 }, relayWait, pollPeriod)
}

// Guards against a response that breaks off because the box reads it for longer than net/http keeps a
// connection open whose request it has not read whole.
func TestResponseToLongBodyIsDeliveredToSlowCaller(t *testing.T) {
	const (
		bodyBytes = 3 << 20
		// pause is longer than the 500 ms after which net/http closes such a connection.
		pause = 700 * time.Millisecond
	)
	f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, streamOf(8000))
	c, err := net.Dial("tcp", f.caller.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(32<<10))
	_, err = fmt.Fprintf(c, "POST /stream HTTP/1.1\r\nHost: h\r\nKey: a\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
	require.NoError(t, err)
	time.Sleep(pause)
	body, err := readBody(t, c)
	require.NoError(t, err, "%s", f.logLines("broke during a request"))
	assert.True(t, body == relayEvents(8000, eventSize), "%d bytes", len(body))
}

// Guards against a stream that stays stopped when its caller reads again, against events that are
// lost or repeated there, and against missing or repeated log lines.
func TestStreamStoppedAtBoundGoesOn(t *testing.T) {
	f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, streamOf(longStream))
	c := f.send(t, "a")
	require.Eventually(t, func() bool { return f.gateway.readAhead.Stopped()[readahead.CauseCaller] == 1 }, relayWait, pollPeriod)
	assert.LessOrEqual(t, f.gateway.HeldBytes(), int64(maxAheadPerCaller))
	assert.Equal(t, 1, f.running())
	body, err := readBody(t, c)
	require.NoError(t, err)
	assert.True(t, body == relayEvents(longStream, eventSize), "every event once and in order")
	require.Eventually(t, func() bool { return len(f.outcomes()) == 1 }, relayWait, pollPeriod)
	require.Len(t, f.logLines("read-ahead stopped at a bound"), 1)
	assert.Contains(t, f.logLines("read-ahead stopped at a bound")[0], `id=a organisation=a server=i-0 cause=caller`)
	require.Len(t, f.logLines("read-ahead totals"), 1)
	assert.Len(t, f.logLines(fmt.Sprint("events=", longStream)), 1)
	assert.Zero(t, f.gateway.HeldBytes())
	assert.Empty(t, f.gateway.readAhead.Stopped())
}

// Guards against a caller's leaving that is noticed only at the write timeout of 10 s, with the
// stream stopped at a bound, the server waiting, and the server done.
func TestLeavingOfSlowCallerIsNoticed(t *testing.T) {
	for name, events := range map[string]int{"stopped at a bound": longStream, "server waits": shortStream, "server done": shortStream} {
		for how, leave := range map[string]func(net.Conn){
			"reset": func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
			"close": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				canceled := make(chan struct{})
				f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, func(w http.ResponseWriter, r *http.Request) {
					writeEvents(w, r, events, eventSize)
					if name != "server done" {
						w.(http.Flusher).Flush()
						<-r.Context().Done()
					}
					close(canceled)
				})
				c := f.send(t, "a")
				require.Eventually(t, func() bool {
					return f.gateway.readAhead.Stopped()[readahead.CauseCaller] == 1 || events == shortStream && f.gateway.readAhead.Held() > heldOfShortStream
				}, relayWait, pollPeriod)
				if name == "server done" {
					require.Eventually(t, func() bool { return f.running() == 0 }, relayWait, pollPeriod)
				}
				start := time.Now()
				leave(c)
				<-canceled
				require.Eventually(t, func() bool { return len(f.outcomes()) == 1 }, relayWait, pollPeriod)
				t.Logf("noticed after %s", time.Since(start))
				assert.Less(t, time.Since(start), callerWriteTimeout/2)
				assert.Equal(t, OutcomeCallerGone, f.outcomes()[0])
				assert.Zero(t, f.gateway.HeldBytes())
			})
		}
	}
}

// Guards against events that are lost, repeated or reordered when a server crashes while its stream
// is read ahead, at any byte, with and without a stop at a bound before.
func TestStreamResumesAfterCrashAtAnyByte(t *testing.T) {
	const tail = 3
	crash := func(w http.ResponseWriter, r *http.Request) {
		before, _ := strconv.Atoi(r.Header.Get("Before"))
		if r.Header.Get("Last-Event-Id") != "" {
			writeEvents(w, r, before+tail, eventSize)
			return
		}
		cut, _ := strconv.Atoi(r.Header.Get("Cut"))
		text := relayEvents(before+tail, eventSize)
		w.Header().Set("Content-Type", eventStreamType)
		_, _ = io.WriteString(w, text[:len(relayEvents(before, eventSize))+cut])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, crash, crash, crash)
	var wg conc.WaitGroup
	slots := make(chan struct{}, 20)
	// step is larger where more bytes are sent, to keep the test short.
	for before, step := range map[int]int{1: 1, shortStream: 2, 6000: 7} {
		want := relayEvents(before+tail, eventSize)
		for cut := 0; cut < len(want)-len(relayEvents(before, eventSize)); cut += step {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				c, err := net.Dial("tcp", f.caller.Listener.Addr().String())
				require.NoError(t, err)
				defer c.Close()
				require.NoError(t, c.(*net.TCPConn).SetReadBuffer(32<<10))
				_, err = fmt.Fprintf(c, "GET /stream HTTP/1.1\r\nHost: h\r\nKey: a\r\nId: %d\r\nBefore: %d\r\nCut: %d\r\n\r\n", cut, before, cut)
				require.NoError(t, err)
				time.Sleep(20 * time.Millisecond)
				body, err := readBody(t, c)
				assert.NoError(t, err)
				assert.True(t, body == want, "%d events and %d bytes before the crash: %d bytes, want %d", before, cut, len(body), len(want))
			})
		}
	}
	wg.Wait()
}

// Guards against a stream that looks complete although its servers broke off, and against events
// before the end that are not delivered.
func TestStreamOfLostServersEndsClearly(t *testing.T) {
	f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, r, shortStream, eventSize)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	c := f.send(t, "a")
	require.Eventually(t, func() bool { return f.gateway.readAhead.Held() > 0 && f.running() == 0 }, relayWait, pollPeriod)
	body, err := readBody(t, c)
	assert.Error(t, err)
	assert.Equal(t, relayEvents(shortStream, eventSize), body)
}

// Guards against a stop of the box that cuts a response whose server is done, or makes one look
// complete whose server is not.
func TestStopOfBoxWithSlowCallers(t *testing.T) {
	for _, complete := range []bool{true, false} {
		t.Run(fmt.Sprint("complete ", complete), func(t *testing.T) {
			f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, func(w http.ResponseWriter, r *http.Request) {
				writeEvents(w, r, shortStream, eventSize)
				if !complete {
					w.(http.Flusher).Flush()
					<-r.Context().Done()
				}
			})
			c := f.send(t, "a")
			held := f.awaitReadAhead(t)
			require.Eventually(t, func() bool { return !complete || f.running() == 0 }, relayWait, pollPeriod)
			f.gateway.CancelAll()
			require.Eventually(t, func() bool { return f.running() == 0 }, relayWait, pollPeriod)
			body, err := readBody(t, c)
			assert.Equal(t, complete, err == nil, "%v", err)
			if complete {
				assert.Equal(t, relayEvents(shortStream, eventSize), body)
			}
			assert.True(t, strings.HasPrefix(relayEvents(shortStream, eventSize), body) && strings.HasSuffix(body, "\n\n"), "complete events only")
			assert.Greater(t, int64(len(body)), held)
		})
	}
}

// Guards against a caller that reads nothing and holds memory and a server for longer than the write
// timeout.
func TestCallerThatReadsNothingIsCutOff(t *testing.T) {
	t.Parallel()
	for _, events := range []int{shortStream, longStream} {
		t.Run(fmt.Sprint(events, " events"), func(t *testing.T) {
			t.Parallel()
			f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, streamOf(events))
			f.send(t, "a")
			start := time.Now()
			require.Eventually(t, func() bool { return len(f.outcomes()) == 1 }, relayWait, pollPeriod)
			assert.Equal(t, OutcomeCallerGone, f.outcomes()[0])
			assert.GreaterOrEqual(t, time.Since(start), callerWriteTimeout-time.Second)
			assert.Zero(t, f.gateway.HeldBytes())
			require.Eventually(t, func() bool { return f.running() == 0 }, relayWait, pollPeriod)
		})
	}
}

// Guards against long responses that are no streams and are lost, changed, or look complete although
// the server broke off.
func TestLongResponseIsReadAhead(t *testing.T) {
	const size = 700 << 10
	body := strings.Repeat("0123456789", size/10)
	for _, cut := range []int{0, 1, 100 << 10} {
		t.Run(fmt.Sprint(cut, " bytes missing"), func(t *testing.T) {
			f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				_, _ = io.WriteString(w, body[:len(body)-cut])
			})
			c := f.send(t, "a")
			require.Eventually(t, func() bool { return f.gateway.readAhead.Held() > 0 && f.running() == 0 }, relayWait, pollPeriod)
			got, err := readBody(t, c)
			assert.Equal(t, cut == 0, err == nil, "%v", err)
			if cut == 0 {
				assert.True(t, got == body, "%d bytes, want %d", len(got), len(body))
			}
			assert.True(t, strings.HasPrefix(body, got))
		})
	}
}

// Guards against callers that read a few bytes at a time and hold memory long after the deadline of
// their request, and against a late response that gets no time at all.
func TestRestOfResponseIsDeliveredForLimitedTime(t *testing.T) {
	now := time.Now()
	x := &exchange{deadline: now.Add(-time.Minute)}
	assert.Equal(t, now.Add(callerWriteTimeout), x.writeDeadline(now), "no limit before the server is done")
	x.limitWrites()
	first := x.ahead.writesEnd
	assert.WithinDuration(t, now.Add(callerWriteTimeout), first, 5*time.Second)
	assert.Equal(t, first, x.writeDeadline(now.Add(time.Minute)), "later writes get no time of their own")
	x.limitWrites()
	assert.Equal(t, first, x.ahead.writesEnd)
	x = &exchange{deadline: now.Add(time.Minute)}
	x.limitWrites()
	assert.Equal(t, now.Add(callerWriteTimeout), x.writeDeadline(now), "each write has its timeout until the deadline")
}
