package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/tunnel"
	"headhill.example/headhill/pkg/upstream"
)

// newRelayUpstream returns the client of a relayFleet.
func newRelayUpstream(t testing.TB, c relayConfig) *upstream.Client {
	if !c.throughBox {
		return upstream.NewClient(time.Second)
	}
	relay := tunnel.NewServer(tunnel.ServerDeps{
		IsPeerHost: func(netip.Addr) bool { return true }, IsServer: func(string) bool { return true }, Dial: upstream.DialDirect,
		ReachesOthers: func(context.Context, string) bool { return true }, Isolated: func() bool { return false },
		RetryDirect: func(string) {}, Busy: func() bool { return false }, MaxTunnels: 100, Logger: log.NewNopLogger(),
	})
	box := httptest.NewServer(relay.Wrap(http.NotFoundHandler()))
	t.Cleanup(func() {
		relay.Close()
		box.Close()
	})
	return upstream.NewClientWithDialer(throughBox{box.Listener.Addr().String()}, "")
}

// throughBox is a dialer whose connections lead through another box.
type throughBox struct{ box string }

func (d throughBox) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return tunnel.Dial(ctx, d.box, address)
}
func (throughBox) Probe(context.Context, string, string) upstream.State { return upstream.StateUnknown }
func (throughBox) AwaitsResponse(string, string, time.Time)             {}

// ending is how a server ends the connection of its response.
type ending int

const (
	endOrderly ending = iota
	endReset
	endSilence
)

// rawResponse is a response that a server writes byte by byte.
type rawResponse struct {
	status string
	// framing is "length", "chunked", "close", or "http10" for HTTP/1.0 without a length.
	framing string
	stream  bool
	// content is what the framing declares, sent how much of it is sent. Without a length or chunks, they
	// must be the same.
	content string
	sent    int
	ending  ending
	headers string
	// http10 makes it an HTTP/1.0 response.
	http10 bool
}

func whole(framing string, stream bool, content string) rawResponse {
	return rawResponse{framing: framing, stream: stream, content: content, sent: len(content)}
}

func (r rawResponse) isWhole() bool {
	return r.sent == len(r.content) && (r.framing == "length" || r.framing == "chunked")
}

// ServeHTTP sends the response and ends the connection.
func (r rawResponse) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	version, head := "HTTP/1.1 ", r.headers
	if r.framing == "http10" || r.http10 {
		version = "HTTP/1.0 "
	}
	switch r.framing {
	case "length":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.content))
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n"
	}
	if r.stream {
		head += "Content-Type: " + eventStreamType + "\r\n"
	}
	status := r.status
	if status == "" {
		status = "200 OK"
	}
	if _, err := io.WriteString(c, version+status+"\r\n"+head+"\r\n"+r.encodedBody()); err != nil {
		return
	}
	switch r.ending {
	case endReset:
		resetOnceReceived(c.(*net.TCPConn))
	case endSilence:
		_, _ = io.Copy(io.Discard, c)
	}
}

// resetOnceReceived resets a connection when everything that was sent has been acknowledged, as a reset
// discards the rest.
func resetOnceReceived(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for unsent := 1; unsent > 0; time.Sleep(pollPeriod) {
		err := raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		if err != nil {
			return
		}
	}
	_ = c.SetLinger(0)
	c.Close()
}

func (r rawResponse) encodedBody() string {
	body := r.content[:r.sent]
	if r.framing != "chunked" {
		return body
	}
	encoded := ""
	if body != "" {
		encoded = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	if r.sent == len(r.content) {
		encoded += "0\r\n\r\n"
	}
	return encoded
}

// received is what a caller has received.
type received struct {
	status  int
	framing string
	// length is the Content-Length header.
	length string
	body   string
	// end is "whole", "closed" if the connection of a response without a length or chunks was closed in an
	// orderly way, "broken" if it was lost before the end, or "none" if there is no response.
	end string
}

// callRaw sends a request and reads the response from the socket.
func (f *relayFleet) callRaw(t *testing.T, method, version, headers string) received {
	c, err := net.Dial("tcp", f.caller.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(relayWait)))
	_, err = fmt.Fprintf(c, "%s /r HTTP/%s\r\nHost: h\r\nKey: a\r\nId: a\r\n%s\r\n", method, version, headers)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return received{end: "none"}
	}
	r := received{status: resp.StatusCode, framing: "length", length: resp.Header.Get("Content-Length"), end: "whole"}
	switch {
	case len(resp.TransferEncoding) > 0:
		r.framing = "chunked"
	case resp.ContentLength < 0 && resp.Body != http.NoBody:
		r.framing, r.end = "close", "closed"
	}
	body, err := io.ReadAll(resp.Body)
	r.body = string(body)
	if err != nil {
		r.end = "broken"
	}
	return r
}

const testEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"

// endCase is a response of a server and the end that its caller must see.
type endCase struct {
	name string
	rawResponse
	want string
}

// streamEnds returns streams that end in all ways.
func streamEnds() (cases []endCase) {
	contents := map[string]string{
		"between events": testEvents, "no event": "", "inside an event": testEvents + "id: 3\ndata: thr", "inside the first event": "id: 1\nda",
		"inside a character": testEvents + "data: \xc3", "after a field": testEvents + "id: 3\n", "inside a comment": testEvents + ": ping",
		"after a carriage return": testEvents + "data: x\r", "after the last line end but one": testEvents + "data: x\r\n",
	}
	for at, content := range contents {
		inside := at != "between events" && at != "no event"
		for _, framing := range []string{"length", "chunked", "close", "http10"} {
			for _, e := range []ending{endOrderly, endReset, endSilence} {
				r := whole(framing, true, content)
				r.ending = e
				want := "broken"
				switch {
				case inside:
				case r.isWhole():
					want = "whole"
				case e == endOrderly:
					want = "closed"
				}
				cases = append(cases, endCase{fmt.Sprintf("%s, %s, ending %d", at, framing, e), r, want})
			}
		}
		for _, framing := range []string{"length", "chunked"} {
			r := rawResponse{framing: framing, stream: true, content: content + testEvents, sent: len(content)}
			cases = append(cases, endCase{at + ", " + framing + " cut short", r, "broken"})
		}
	}
	return cases
}

// otherEnds returns responses of a size that are no streams and end in all ways.
func otherEnds(size int) (cases []endCase) {
	content := strings.Repeat("0123456789abcdef", size/16)
	for _, framing := range []string{"length", "chunked", "close", "http10"} {
		for _, e := range []ending{endOrderly, endReset, endSilence} {
			for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
				r := whole(framing, false, content)
				r.ending, r.status = e, status
				want := "broken"
				switch {
				case r.isWhole():
					want = "whole"
				case e == endOrderly:
					want = "closed"
				}
				cases = append(cases, endCase{fmt.Sprintf("%s, %s, ending %d", framing, status, e), r, want})
			}
		}
	}
	for _, framing := range []string{"length", "chunked"} {
		for _, sent := range []int{0, len(content) / 2, len(content) - 1} {
			r := rawResponse{framing: framing, content: content, sent: sent}
			cases = append(cases, endCase{fmt.Sprintf("%s, cut after %d bytes", framing, sent), r, "broken"})
		}
	}
	return cases
}

// once makes the route one whose requests are sent once.
func once(kind routing.Kind) func(*routing.Route) {
	return func(r *routing.Route) { r.Kind, r.Resumable, r.MaxAttempts = kind, false, 1 }
}

// Guards against a response whose end the caller takes for more than the server stated.
func TestCallerSeesNoStrongerEndThanServerSent(t *testing.T) {
	for _, v := range []struct {
		name  string
		kind  routing.Kind
		cases []endCase
		relayConfig
	}{
		{"stream", routing.KindStream, streamEnds(), relayConfig{}},
		{"stream, read ahead", routing.KindStream, streamEnds(), relayConfig{readAhead: true}},
		{"stream, through a box", routing.KindStream, streamEnds(), relayConfig{throughBox: true}},
		{"short", routing.KindOnce, otherEnds(800), relayConfig{}},
		{"short, through a box", routing.KindOnce, otherEnds(800), relayConfig{throughBox: true}},
		{"long", routing.KindOnce, otherEnds(2 * maxBufferedBytes), relayConfig{}},
		{"long, read ahead", routing.KindOnce, otherEnds(2 * maxBufferedBytes), relayConfig{readAhead: true}},
		{"long, through a box", routing.KindOnce, otherEnds(2 * maxBufferedBytes), relayConfig{throughBox: true}},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			v.relayConfig.maxHeld, v.relayConfig.route = 64<<20, once(v.kind)
			for _, c := range v.cases {
				t.Run(c.name, func(t *testing.T) {
					t.Parallel()
					checkEnd(t, c, newRelayFleet(t, v.relayConfig, c.ServeHTTP))
				})
			}
		})
	}
}

// checkEnd checks what the caller receives of a response.
func checkEnd(t *testing.T, c endCase, f *relayFleet) {
	headers := ""
	if c.ending == endSilence && c.want != "whole" {
		headers = "Timeout-Ms: 500\r\n"
	}
	got := f.callRaw(t, http.MethodGet, "1.1", headers)
	if got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout {
		assert.Equal(t, "broken", c.want, "the box's own response")
		assert.Equal(t, "whole", got.end)
		return
	}
	assert.Equal(t, c.want, got.end)
	if c.want != "broken" {
		assert.True(t, got.body == c.content, "%d bytes, want %d", len(got.body), len(c.content))
		return
	}
	assert.True(t, strings.HasPrefix(c.content, got.body), "the body is no prefix")
	if c.stream {
		assert.True(t, strings.HasPrefix(testEvents, got.body), "part of an event was forwarded: %q", got.body)
	}
}

// Guards against a stream whose caller is told that it is complete by the framing of its first server,
// although the server that resumed it could not tell.
func TestResumedStreamHasNoStrongerEnd(t *testing.T) {
	const rest = "id: 2\ndata: two\n\n"
	first := testEvents[:len(testEvents)-len(rest)]
	for _, began := range []string{"chunked", "length", "close", "http10"} {
		for _, c := range []endCase{
			{"whole", whole("chunked", true, rest), "whole"},
			{"whole with a length", whole("length", true, rest), "whole"},
			{"closed", whole("close", true, rest), "closed"},
			{"reset", rawResponse{framing: "close", stream: true, content: rest, sent: len(rest), ending: endReset}, "broken"},
			{"inside an event", whole("chunked", true, rest+"data: x"), "broken"},
		} {
			t.Run(began+", then "+c.name, func(t *testing.T) {
				t.Parallel()
				f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, route: func(r *routing.Route) { r.MaxAttempts = 2 }}, resumed(began, first, c), resumed(began, first, c))
				got := f.callRaw(t, http.MethodGet, "1.1", "")
				switch {
				case c.want == "closed" && got.framing == "chunked", c.want == "broken":
					assert.Equal(t, "broken", got.end)
				case got.framing == "close":
					assert.Equal(t, "closed", got.end)
				default:
					assert.Equal(t, c.want, got.end)
				}
				assert.Equal(t, testEvents, got.body)
			})
		}
	}
}

// resumed returns a handler that breaks a stream off after its first event, and goes on with a response.
func resumed(framing, first string, rest endCase) http.HandlerFunc {
	cut := first + "id: 2\nda"
	broken := rawResponse{framing: framing, stream: true, content: cut, sent: len(cut), ending: endReset}
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			broken.ServeHTTP(w, r)
			return
		}
		rest.ServeHTTP(w, r)
	}
}

// Guards against an HTTP/1.0 caller that takes a response that was broken off for one that ended with its
// connection.
func TestResponseToHTTP10CallerIsResetWhenBroken(t *testing.T) {
	for _, c := range []endCase{
		{"whole", whole("chunked", true, testEvents), "closed"},
		{"closed", whole("close", true, testEvents), "closed"},
		{"broken", rawResponse{framing: "chunked", stream: true, content: testEvents + "data: x", sent: len(testEvents)}, "broken"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, route: once(routing.KindStream)}, c.ServeHTTP)
			got := f.callRaw(t, http.MethodGet, "1.0", "")
			assert.Equal(t, c.want, got.end)
			assert.Equal(t, testEvents, got.body)
		})
	}
}

// Guards against a response without a body whose length is stated as that of its missing body.
func TestResponsesWithoutBodyKeepTheirHeader(t *testing.T) {
	for _, c := range []struct {
		name, method, status, headers string
		length                        string
	}{
		{"HEAD with a length", http.MethodHead, "200 OK", "Content-Length: 1234\r\n", "1234"},
		{"HEAD without a length", http.MethodHead, "200 OK", "", ""},
		{"no content", http.MethodGet, "204 No Content", "", ""},
		{"not modified", http.MethodGet, "304 Not Modified", "Content-Length: 99\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := rawResponse{framing: "none", status: c.status, headers: c.headers}
			f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, route: once(routing.KindOnce)}, r.ServeHTTP)
			got := f.callRaw(t, c.method, "1.1", "")
			assert.Equal(t, "whole", got.end)
			assert.Equal(t, c.length, got.length)
		})
	}
}

// Guards against a framing that is guessed where the header of a response contradicts itself.
func TestContradictingFramingIsNotForwarded(t *testing.T) {
	for name, headers := range map[string]string{
		"length and chunks": "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "two lengths": "Content-Length: 3\r\nContent-Length: 4\r\n",
		"negative length": "Content-Length: -1\r\n", "unknown coding": "Transfer-Encoding: gzip\r\n",
		"chunks in HTTP/1.0": "Transfer-Encoding: chunked\r\n", "folded length and chunks": "Content-Length:\r\n 3\r\nTransfer-Encoding: chunked\r\n",
		"length and chunks, long header": "X: " + strings.Repeat("x", 10_000) + "\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := rawResponse{framing: "none", headers: headers, http10: name == "chunks in HTTP/1.0", content: "1\r\na\r\n0\r\n\r\n", sent: 11}
			f := newRelayFleet(t, relayConfig{maxHeld: 64 << 20, route: once(routing.KindOnce)}, r.ServeHTTP)
			assert.Equal(t, http.StatusBadGateway, f.callRaw(t, http.MethodGet, "1.1", "").status)
		})
	}
}
