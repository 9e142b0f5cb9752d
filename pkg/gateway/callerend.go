package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"

	"headhill.example/headhill/pkg/upstream"
)

type connKey struct{}

// ConnContext is the ConnContext of the HTTP server of a Gateway. Without it, a caller whose response ends
// with its connection takes one that was broken off for one that ended.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

var errEndUnknown = errors.New("the server closed the connection of a response without a length, and the response began with a framing that would state that it is complete")

// writeHead sends the status and header of the response to the caller. A response with FramingLength has a
// Content-Length in its header.
func (x *exchange) writeHead(status int, framing upstream.Framing) {
	if framing == upstream.FramingChunked && !x.request.ProtoAtLeast(1, 1) {
		framing = upstream.FramingClose
	}
	x.headSent, x.status, x.framing = true, status, framing
	if framing == upstream.FramingClose {
		// Makes net/http send no chunks and close the connection afterwards.
		x.writer.Header().Set("Transfer-Encoding", "identity")
		x.resetOnClose(true)
	}
	x.extendWriteDeadline()
	x.writer.WriteHeader(status)
}

// endResponse ends the response to the caller, given how that of the server ended. It returns an error if
// the orderly end of the response would state more than the server did.
func (x *exchange) endResponse(end upstream.End) error {
	switch {
	case x.framing == upstream.FramingClose:
		x.bodyEnd = upstream.EndClosed
		x.resetOnClose(false)
		return nil
	case end == upstream.EndWhole:
		x.bodyEnd = upstream.EndWhole
		return nil
	}
	return &truncatedError{Cause: errEndUnknown}
}

// resetOnClose sets whether the connection to the caller is reset when it is closed, also if the process
// is killed.
func (x *exchange) resetOnClose(reset bool) {
	c, ok := x.request.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = c.SetLinger(seconds)
}

// abort closes the connection to the caller, so that it doesn't take the response for complete.
func (x *exchange) abort() {
	if x.headSent && x.framing == upstream.FramingClose {
		x.resetOnClose(true)
	}
	panic(http.ErrAbortHandler)
}
