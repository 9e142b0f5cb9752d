package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net/http"
	"strings"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/upstream"
)

const (
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 1 << 20
	// lineEnds are the bytes that end a line of an event.
	lineEnds = "\r\n"
)

var (
	errEventTooLong = errors.New("event longer than 1 MiB: check what the server streams")
	errInsideEvent  = errors.New("the stream ended inside an event: look for a crash of the server")
)

// forwardStream forwards complete events only, so that another server can resume the stream after
// the last one.
func (x *exchange) forwardStream(ctx context.Context, resp *upstream.Response, lease *balancer.Lease) (*failure, error) {
	if x.gateway.scheduling().ReadAhead {
		return x.forwardStreamAhead(ctx, resp, lease)
	}
	splitter, gotEvents := eventSplitter{}, false
	buffer := make([]byte, 4<<10)
	for {
		if err := x.holdEvent(ctx, len(splitter.partial)); err != nil {
			resp.Close()
			return &failure{result: resultOfError(err), cause: err}, nil
		}
		n, err := resp.Body.Read(buffer)
		events, splitErr := splitter.add(buffer[:n])
		if len(events) > 0 {
			gotEvents = true
			x.recordStart(clock.Now())
			lease.PrefillDone(clock.Now())
			if sendErr := x.sendEvents(resp, events); sendErr != nil {
				return unsent(resp, sendErr)
			}
			x.releaseEvent()
		}
		x.incompleteEvent.Store(int64(len(splitter.partial)))
		err = x.confirmEnd(splitter.endError(cmp.Or(err, splitErr)), gotEvents)
		switch end := upstream.EndOf(err); end {
		case upstream.EndWhole, upstream.EndClosed:
			resp.Close()
			return nil, x.finishStream(resp, splitter.partial, end)
		case upstream.EndBroken:
			resp.Close()
			return streamFailure(resp, err), nil
		}
	}
}

// unsent closes a response of which something could not be sent to the caller, and returns the end of the attempt: a
// failure if the stream must not go on at the server, else an error of the caller's connection.
func unsent(resp *upstream.Response, cause error) (*failure, error) {
	resp.Close()
	if errors.Is(cause, errUncertainVersion) {
		return &failure{result: balancer.ResultAbandoned, cause: cause}, nil
	}
	return nil, &callerGoneError{Cause: cause}
}

// streamFailure returns the failure of a stream that broke off.
func streamFailure(resp *upstream.Response, cause error) *failure {
	lost := resp.End() == upstream.EndBroken || resp.End() == upstream.EndClosed
	return &failure{result: resultOfError(cause), disconnected: lost, cause: cause}
}

// sendEvents sends complete events to the caller, preceded by the header of the first server that
// sent any.
func (x *exchange) sendEvents(resp *upstream.Response, events []byte) error {
	if err := x.bindStream(); err != nil {
		return err
	}
	x.writeStreamHead(resp)
	x.stopAttemptTimeout()
	x.extendWriteDeadline()
	if _, err := x.writer.Write(events); err != nil {
		return err
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return err
	}
	x.recordEvents(events)
	return nil
}

func (x *exchange) writeStreamHead(resp *upstream.Response) {
	if x.headSent {
		return
	}
	copyHeader(x.writer.Header(), resp.Header)
	framing := upstream.FramingChunked
	if resp.Framing == upstream.FramingClose {
		framing = upstream.FramingClose
	}
	x.writeHead(resp.Status, framing)
}

// recordEvents records the ID of the last event sent to the caller, and the times of events.
func (x *exchange) recordEvents(events []byte) {
	now := clock.Now()
	if x.firstEventTime.IsZero() {
		x.firstEventTime, x.lastEventTime = now, now
		x.began.Store(true)
	}
	x.maxEventGap = max(x.maxEventGap, now.Sub(x.lastEventTime))
	x.lastEventTime = now
	isLineEnd := func(r rune) bool { return strings.ContainsRune(lineEnds, r) }
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		x.lastEventID = string(bytes.TrimSpace(id))
		x.eventCount++
	}
}

// finishStream ends a stream that was not broken off; rest is the data after its last event.
func (x *exchange) finishStream(resp *upstream.Response, rest []byte, end upstream.End) error {
	x.writeStreamHead(resp)
	// The timeout of the last write may have passed since. It would apply to the end of the response
	// as well, which net/http writes later.
	x.extendWriteDeadline()
	if len(rest) > 0 {
		if _, err := x.writer.Write(rest); err != nil {
			return &callerGoneError{Cause: err}
		}
	}
	return x.endResponse(end)
}

// eventSplitter splits a byte stream after its last complete event.
type eventSplitter struct{ partial []byte }

// add appends data and returns the events that are complete now.
func (s *eventSplitter) add(b []byte) ([]byte, error) {
	// The partial event has no blank line, but may end with the beginning of one. It is not searched
	// again, as that would take a time quadratic in the length of an event.
	from := max(0, len(s.partial)-len("\r\n\r"))
	s.partial = append(s.partial, b...)
	end := endOfLastBlankLine(s.partial[from:])
	if end < 0 {
		if len(s.partial) > maxEventBytes {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	end += from
	events := s.partial[:end]
	s.partial = bytes.Clone(s.partial[end:])
	return events, nil
}

// endError returns the error with which a stream ends, given that of its last read: an orderly end inside
// an event is an error. Line ends after the last event belong to no event.
func (s *eventSplitter) endError(err error) error {
	if end := upstream.EndOf(err); (end == upstream.EndWhole || end == upstream.EndClosed) && len(bytes.Trim(s.partial, lineEnds)) > 0 {
		return errInsideEvent
	}
	return err
}

// endOfLastBlankLine returns the offset after the last blank line, or -1. A line ends with \n, \r\n or \r.
func endOfLastBlankLine(b []byte) int {
	if bytes.HasSuffix(b, []byte("\n\r")) {
		// This is probably the first half of \n\r\n.
		b = b[:len(b)-1]
	}
	for end := len(b); ; {
		end = bytes.LastIndexAny(b[:end], lineEnds) + 1
		if end == 0 {
			return -1
		}
		start := end - 1
		if start > 0 && b[start] == '\n' && b[start-1] == '\r' {
			start--
		}
		if start > 0 && strings.IndexByte(lineEnds, b[start-1]) >= 0 {
			return end
		}
		end = start
	}
}
