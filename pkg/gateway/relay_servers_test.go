package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent to a server whose responses are not read, while another
// server would take them. That a single server still gets requests is shown by
// TestSlowCallersOfOneOrganisationAreBounded.
func TestServerWithUnreadStreamsIsAvoided(t *testing.T) {
	f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, streamOf(longStream), func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, r, 1, eventSize)
		if r.Header.Get("Id") == "a" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})
	serverOf := func() string {
		c := f.send(t, "b")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		event := make([]byte, len(relayEvents(2, eventSize)))
		if n, _ := io.ReadFull(resp.Body, event); n == len(event) {
			return "i-0"
		}
		return "i-1"
	}
	// A stopped stream is read for a moment whenever the kernel takes more of it for the caller.
	const settled = 50
	overfull := 0
	require.Eventually(t, func() bool {
		if !f.gateway.readAhead.Overfull("i-0") {
			overfull = 0
			f.send(t, "a")
			return false
		}
		overfull++
		return overfull == settled
	}, relayWait, 10*time.Millisecond)
	for range 20 {
		assert.Equal(t, "i-1", serverOf())
	}
}

// Guards against a server that does not read a request's body and keeps the request from another
// server, or makes the box hold more than the body.
func TestServerThatDoesNotReadTheBodyIsGivenUp(t *testing.T) {
	const size = 6 << 20
	highest := int64(0)
	release := make(chan struct{})
	unread := func(http.ResponseWriter, *http.Request) { <-release }
	var f *relayFleet
	read := func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		highest = f.gateway.HeldBytes()
		assert.Equal(t, int64(size), n)
		writeEvents(w, r, 1, eventSize)
	}
	f = newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true, target: 100 * time.Millisecond}, unread, read)
	t.Cleanup(func() { close(release) })
	tried := func() bool { return len(f.logLines("server=i-0")) > 0 }
	for i := 0; i < 50 && !tried(); i++ {
		r, err := http.NewRequest(http.MethodPost, f.caller.URL, strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		r.Host = "h"
		r.Header.Set("Key", "a")
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.NoError(t, err)
		assert.Equal(t, relayEvents(1, eventSize), string(body))
		assert.Equal(t, int64(size), highest)
	}
	assert.True(t, tried(), "the server that does not read was tried")
	assert.Eventually(t, func() bool { return f.gateway.HeldBytes() == 0 }, relayWait, pollPeriod)
}

// Guards against a connection that is used again although its response was not read to the end, so
// that the rest of it would reach another caller, and against one that is not used again as long as a
// slow caller reads.
func TestConnectionIsReusedOnlyAfterItsResponse(t *testing.T) {
	hasIdle := func(f *relayFleet) bool {
		return f.gateway.Upstream.HasIdle(f.servers[0].Incarnation().String(), time.Now())
	}
	t.Run("complete", func(t *testing.T) {
		f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, streamOf(shortStream))
		f.send(t, "a")
		assert.Eventually(t, func() bool { return hasIdle(f) }, relayWait, pollPeriod)
		assert.Empty(t, f.outcomes(), "the caller has not read the response")
	})
	for name, serve := range map[string]http.HandlerFunc{
		"caller leaves at a bound": streamOf(longStream),
		"caller leaves while the server waits": func(w http.ResponseWriter, r *http.Request) {
			writeEvents(w, r, shortStream, eventSize)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, serve)
			c := f.send(t, "a")
			require.Eventually(t, func() bool { return f.gateway.readAhead.Held() > heldOfShortStream }, relayWait, pollPeriod)
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool { return len(f.outcomes()) == 1 && f.running() == 0 }, relayWait, pollPeriod)
			assert.False(t, hasIdle(f))
		})
	}
	t.Run("event too long", func(t *testing.T) {
		release := make(chan struct{})
		f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: true}, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", eventStreamType)
			// The server stays, and its connection has nothing unread, so that only the end of the
			// response tells that it can't be used again.
			w.Header().Set("Content-Length", strconv.Itoa(2*maxEventBytes))
			_, _ = io.WriteString(w, strings.Repeat("x", maxEventBytes+1))
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
			case <-release:
			}
		})
		t.Cleanup(func() { close(release) })
		f.send(t, "a")
		idle := false
		require.Eventually(t, func() bool {
			// An idle connection may expire before the request ends.
			idle = idle || hasIdle(f)
			return len(f.outcomes()) == 1 && f.running() == 0
		}, relayWait, pollPeriod)
		assert.Equal(t, OutcomeUnknown, f.outcomes()[0])
		assert.False(t, idle)
	})
}
