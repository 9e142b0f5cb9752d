package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/upstream"
)

// Buffered responses must stay within MaxHeldBytes under concurrency, and their memory must be
// released.
func TestBufferedBytesAreBounded(t *testing.T) {
	const maxHeldBytes = 1 << 20
	g := &Gateway{Deps: Deps{Limits: Limits{MaxHeldBytes: maxHeldBytes}}}
	var wg conc.WaitGroup
	for range 1000 {
		wg.Go(func() {
			x := &exchange{gateway: g}
			_, _, err := x.bufferResponse(strings.NewReader(strings.Repeat("x", maxBufferedBytes)))
			assert.NoError(t, err)
			assert.LessOrEqual(t, g.HeldBytes(), int64(maxHeldBytes+1000*maxReadStep), "a refused reservation must be released at once")
			g.heldBytes.Add(-x.reservedBytes)
		})
	}
	wg.Wait()
	assert.Zero(t, g.HeldBytes())
}

// A buffered response must be a prefix of what was sent, and be reported complete only if all of it
// was read.
func TestBufferedResponseMatchesSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := bytes.Repeat([]byte("0123456789abcdef"), rapid.IntRange(0, 3*maxBufferedBytes/32).Draw(t, "16-byte blocks"))
		g := &Gateway{Deps: Deps{Limits: Limits{MaxHeldBytes: int64(rapid.IntRange(0, 2*maxBufferedBytes).Draw(t, "max held bytes"))}}}
		truncated := rapid.Bool().Draw(t, "truncated")
		closed := !truncated && rapid.Bool().Draw(t, "ends with its connection")
		var reader io.Reader = bytes.NewReader(sent)
		if closed {
			reader = io.MultiReader(reader, iotest.ErrReader(upstream.ErrConnectionEnded))
		}
		if truncated {
			reader = io.MultiReader(reader, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		if rapid.Bool().Draw(t, "half reads") {
			reader = iotest.HalfReader(reader)
		}
		x := &exchange{gateway: g}
		body, end, err := x.bufferResponse(reader)
		complete := end == upstream.EndWhole
		if !bytes.HasPrefix(sent, body) {
			t.Fatalf("buffered %d bytes are no prefix of the %d bytes sent", len(body), len(sent))
		}
		if complete && (truncated || closed || len(body) != len(sent)) {
			t.Fatalf("%d of %d bytes reported complete, truncated: %t, closed: %t", len(body), len(sent), truncated, closed)
		}
		if end == upstream.EndClosed && (!closed || len(body) != len(sent)) {
			t.Fatalf("%d of %d bytes reported as ended with the connection", len(body), len(sent))
		}
		if end == upstream.EndNone && err == nil && len(body) <= maxBufferedBytes && x.reservedBytes+maxReadStep <= g.Limits.MaxHeldBytes {
			t.Fatal("response reported incomplete below both limits")
		}
		if x.reservedBytes > g.Limits.MaxHeldBytes {
			t.Fatalf("%d bytes reserved, limit %d", x.reservedBytes, g.Limits.MaxHeldBytes)
		}
	})
}

// Responses of any length that a link can carry in the time left must be accepted.
func TestLengthThatCanArriveInTime(t *testing.T) {
	for _, c := range []struct {
		method   string
		length   int64
		left     time.Duration
		accepted bool
	}{
		{http.MethodGet, -1, time.Millisecond, true}, {http.MethodGet, 0, time.Millisecond, true}, {http.MethodGet, 10 << 20, 10 * time.Millisecond, true},
		{http.MethodGet, 12e9, time.Second, true}, {http.MethodGet, 13e9, time.Second, false}, {http.MethodHead, 1e12, time.Second, true},
	} {
		x := &exchange{request: &http.Request{Method: c.method}, deadline: clock.Now().Add(c.left)}
		assert.Equal(t, c.accepted, x.checkLength(&upstream.Response{Length: c.length}) == nil, "%s, %d bytes in %s", c.method, c.length, c.left)
	}
}
