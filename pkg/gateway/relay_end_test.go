package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/readahead"
	"headhill.example/headhill/pkg/upstream"
)

// Guards against a response that was read to its end and counts as incomplete, as its caller's
// read-ahead has no room for another read when the request's time is over or the box stops.
func TestEndOfResponseIsNoticedAtBound(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ledger := readahead.NewLedger(readahead.Limits{PerCaller: aheadReadBytes, PerOrganisation: aheadReadBytes, Total: 2 * aheadReadBytes}, heldPool{&Gateway{Deps: Deps{Limits: Limits{MaxHeldBytes: 1 << 20}}}})
	q := readahead.NewQueue(ledger.Open("o", "s", 0), func(readahead.Cause, readahead.Stats) {})
	r := &relay{
		ctx: ctx, resp: &upstream.Response{Body: iotest.DataErrReader(strings.NewReader("response"))},
		complete: func(b []byte) ([]byte, error) { return b, nil }, partialBytes: func() int { return 0 },
	}
	assert.Equal(t, io.EOF, r.fill(q))
	q.End()
	assert.Zero(t, q.Close().Stops)
	assert.Zero(t, ledger.Held())
}

// Guards against a complete response whose end does not reach the caller, as the server paused before
// it for longer than the timeout of a write, and against an incomplete event that does.
func TestEndAfterLongPauseIsDelivered(t *testing.T) {
	t.Parallel()
	const partial = "data: no blank line follows"
	long := strings.Repeat("0123456789", maxBufferedBytes/5)
	for name, c := range map[string]struct {
		readAhead bool
		serve     http.HandlerFunc
		want      string
		broken    bool
	}{
		"stream":                    {false, streamWithPause(eventStreamType, relayEvents(1, eventSize), ""), relayEvents(1, eventSize), false},
		"stream, partial event":     {false, streamWithPause(eventStreamType, relayEvents(1, eventSize), partial), relayEvents(1, eventSize), true},
		"stream, read-ahead":        {true, streamWithPause(eventStreamType, relayEvents(1, eventSize), ""), relayEvents(1, eventSize), false},
		"long response":             {false, streamWithPause("text/plain", long, ""), long, false},
		"long response, read-ahead": {true, streamWithPause("text/plain", long, ""), long, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, readAhead: c.readAhead}, c.serve)
			conn := f.send(t, "a")
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(callerWriteTimeout+relayWait)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.Equal(t, c.broken, err != nil, err)
			assert.True(t, string(body) == c.want, "%d bytes, want %d", len(body), len(c.want))
		})
	}
}

// streamWithPause returns a handler that pauses before the last part of its response for longer than
// the timeout of a write to the caller.
func streamWithPause(contentType, first, last string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, first)
		w.(http.Flusher).Flush()
		time.Sleep(callerWriteTimeout + 500*time.Millisecond)
		_, _ = io.WriteString(w, last)
	}
}
