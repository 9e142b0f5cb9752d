package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"mime"
	"net/http"
	"strconv"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/upstream"
)

const (
	// maxBufferedBytes is the maximum size of a response that is buffered before it is forwarded.
	// Longer responses are streamed.
	maxBufferedBytes = 512 << 10
	// maxDrainBytes is how much of an unwanted response is read to keep its connection reusable.
	maxDrainBytes = 64 << 10
	// maxBytesPerSecond is more than a link between machines carries, 100 Gbit/s.
	maxBytesPerSecond = 12.5e9
	// callerWriteTimeout is the timeout of one write to the caller.
	callerWriteTimeout = 10 * time.Second

	eventStreamType = "text/event-stream"
)

// bufferedResponse is a response that has been read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	end    upstream.End
}

func isStream(r *upstream.Response) bool {
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return kind == eventStreamType && r.Status == http.StatusOK
}

// drain discards the rest of a short response, so that its connection can be reused.
func drain(r *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDrainBytes))
	r.Close()
}

// forwardBuffered reads the whole response before it forwards any of it, so that a truncated
// response never reaches the caller.
func (x *exchange) forwardBuffered(ctx context.Context, resp *upstream.Response, lease *balancer.Lease) (*failure, error) {
	x.recordResponse(resp.Status)
	if err := x.checkLength(resp); err != nil {
		resp.Close()
		return &failure{result: balancer.ResultFailed, cause: err}, nil
	}
	body, end, err := x.bufferResponse(resp.Body)
	if err != nil {
		resp.Close()
		return &failure{result: resultOfError(err), disconnected: true, cause: err}, nil
	}
	lease.PrefillDone(clock.Now())
	if end == upstream.EndNone {
		return x.forwardUnbuffered(ctx, resp, body, lease)
	}
	resp.Close()
	if end == upstream.EndClosed {
		if err := x.confirmEnd(upstream.ErrConnectionEnded, true); upstream.EndOf(err) == upstream.EndBroken {
			return &failure{result: balancer.ResultFailed, disconnected: true, cause: err}, nil
		}
	}
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body, end: end}
	if resp.Status >= http.StatusInternalServerError {
		return serverFailure(resp.Status, buffered), nil
	}
	return nil, x.sendBuffered(buffered)
}

// checkLength returns an error if the body of a response can't arrive in the time left. Nothing of it has been
// forwarded yet, so that the request may still be repeated.
func (x *exchange) checkLength(resp *upstream.Response) error {
	left := clock.Until(x.deadline)
	if x.request.Method == http.MethodHead || left <= 0 || float64(resp.Length) <= maxBytesPerSecond*left.Seconds() {
		return nil
	}
	return &lengthError{Length: resp.Length, TimeLeft: left}
}

// resultOfStatus maps an error status to the result reported to the balancer. A 504 is no server
// failure: the time left for the request was too short.
func resultOfStatus(status int) balancer.Result {
	if status == http.StatusGatewayTimeout {
		return balancer.ResultAbandoned
	}
	return balancer.ResultFailed
}

// serverFailure returns the failure of an attempt that a server answered with a status. The response is that to be forwarded if there is no
// further attempt, or nil.
func serverFailure(status int, response *bufferedResponse) *failure {
	return &failure{result: resultOfStatus(status), cause: errors.New("server answered " + strconv.Itoa(status)), response: response}
}

// sendBuffered sends a buffered response to the caller.
func (x *exchange) sendBuffered(resp *bufferedResponse) error {
	copyHeader(x.writer.Header(), resp.header)
	framing := upstream.FramingClose
	if resp.end == upstream.EndWhole {
		framing = upstream.FramingLength
		x.setLength(resp)
	}
	x.writeHead(resp.status, framing)
	if _, err := x.writer.Write(resp.body); err != nil {
		return &callerGoneError{Cause: err}
	}
	return x.endResponse(resp.end)
}

// setLength sets the length of a buffered response. In the response to a HEAD request that is the length of
// the body that the server has not sent.
func (x *exchange) setLength(resp *bufferedResponse) {
	length := strconv.Itoa(len(resp.body))
	if x.request.Method == http.MethodHead {
		length = resp.header.Get("Content-Length")
	}
	if length != "" {
		x.writer.Header().Set("Content-Length", length)
	}
}

// forwardUnbuffered streams a response that is too long to be buffered, or for which the box has no
// memory left. head is the part read so far.
func (x *exchange) forwardUnbuffered(ctx context.Context, resp *upstream.Response, head []byte, lease *balancer.Lease) (*failure, error) {
	copyHeader(x.writer.Header(), resp.Header)
	if resp.Length >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.writeHead(resp.Status, resp.Framing)
	if x.gateway.scheduling().ReadAhead {
		return x.forwardBytesAhead(ctx, resp, head, lease)
	}
	if _, err := x.writer.Write(head); err != nil {
		resp.Close()
		return nil, &callerGoneError{Cause: err}
	}
	buffer := x.copyBuffer()
	for {
		n, err := resp.Body.Read(buffer)
		x.extendWriteDeadline()
		if _, writeErr := x.writer.Write(buffer[:n]); writeErr != nil {
			resp.Close()
			return nil, &callerGoneError{Cause: writeErr}
		}
		err = x.confirmEnd(err, true)
		switch end := upstream.EndOf(err); end {
		case upstream.EndWhole, upstream.EndClosed:
			resp.Close()
			return nil, x.endResponse(end)
		case upstream.EndBroken:
			resp.Close()
			return nil, &truncatedError{Cause: err}
		}
	}
}

// copyBuffer returns the buffer for a response that is forwarded as it is read: a small one if the
// box has no memory left, as many responses may be forwarded so then.
func (x *exchange) copyBuffer() []byte {
	if x.hold(bulkReadBytes) {
		return make([]byte, bulkReadBytes)
	}
	return make([]byte, streamReadBytes)
}

// extendWriteDeadline restarts the timeout for writes to the caller.
func (x *exchange) extendWriteDeadline() {
	// Response writers of tests don't support deadlines.
	_ = http.NewResponseController(x.writer).SetWriteDeadline(x.writeDeadline(time.Now()))
	x.expireWritesIfGone()
}

// copyHeader copies the end-to-end headers and suppresses those that net/http would add by default.
func copyHeader(to, from http.Header) {
	maps.Copy(to, upstream.EndToEndHeader(from))
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
}
