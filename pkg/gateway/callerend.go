package gateway

import (
	"errors"

	"headhill.example/headhill/pkg/callerconn"
	"headhill.example/headhill/pkg/upstream"
)

var errEndUnknown = errors.New("the server closed the connection of a response without a length, and the caller's response began with chunks, which would state that it is complete: it is broken off")

// writeHead sends the status and header of the response to the caller. A response with FramingLength has a
// Content-Length in its header.
func (x *exchange) writeHead(status int, framing upstream.Framing) {
	if framing == upstream.FramingChunked && !x.request.ProtoAtLeast(1, 1) {
		framing = upstream.FramingClose
	}
	x.headSent, x.status, x.framing = true, status, framing
	if framing == upstream.FramingClose {
		callerconn.BeginUntilClose(x.writer, x.request)
	}
	x.stopAttemptTimeout()
	x.extendWriteDeadline()
	x.writer.WriteHeader(status)
}

// endResponse ends the response to the caller, given how that of the server ended. It returns an error if
// the orderly end of the response would state more than the server did.
func (x *exchange) endResponse(end upstream.End) error {
	switch {
	case x.framing == upstream.FramingClose:
		callerconn.EndUntilClose(x.request)
	case end != upstream.EndWhole:
		return &truncatedError{Cause: errEndUnknown}
	}
	x.bodyEnd = end
	return nil
}
