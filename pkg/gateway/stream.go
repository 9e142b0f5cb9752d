package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/upstream"
)

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("event longer than 1 MiB: check what the server streams")

// forwardStream forwards complete events only, so that another server can resume the stream after
// the last one.
func (x *exchange) forwardStream(ctx context.Context, resp *upstream.Response, lease *balancer.Lease) (*failure, error) {
	if x.gateway.scheduling().ReadAhead {
		return x.forwardStreamAhead(ctx, resp, lease)
	}
	splitter := eventSplitter{}
	buffer := make([]byte, 4<<10)
	for {
		if err := x.holdEvent(ctx, len(splitter.partial)); err != nil {
			resp.Close(false)
			return &failure{result: resultOfError(err), cause: err}, nil
		}
		n, err := resp.Body.Read(buffer)
		events, splitErr := splitter.add(buffer[:n])
		if len(events) > 0 {
			x.recordStart(clock.Now())
			lease.PrefillDone(clock.Now())
			if writeErr := x.sendEvents(resp, events); writeErr != nil {
				resp.Close(false)
				return nil, &callerGoneError{Cause: writeErr}
			}
			x.releaseEvent()
		}
		x.incompleteEvent.Store(int64(len(splitter.partial)))
		switch {
		case err == io.EOF:
			resp.Close(true)
			return nil, x.finishStream(resp, splitter.partial)
		case err != nil, splitErr != nil:
			resp.Close(false)
			return &failure{result: resultOfError(err), disconnected: true, cause: cmp.Or(err, splitErr)}, nil
		}
	}
}

// sendEvents sends complete events to the caller, preceded by the header of the first server that
// sent any.
func (x *exchange) sendEvents(resp *upstream.Response, events []byte) error {
	x.writeStreamHead(resp)
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
	x.writeHead(resp.Status)
}

// recordEvents records the ID of the last event sent to the caller, and the times of events.
func (x *exchange) recordEvents(events []byte) {
	now := clock.Now()
	if x.firstEventTime.IsZero() {
		x.firstEventTime, x.lastEventTime = now, now
	}
	x.maxEventGap = max(x.maxEventGap, now.Sub(x.lastEventTime))
	x.lastEventTime = now
	for line := range bytes.Lines(events) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		x.lastEventID = string(bytes.TrimSpace(id))
		x.eventCount++
	}
}

// finishStream ends a complete stream; partial is the data after its last event.
func (x *exchange) finishStream(resp *upstream.Response, partial []byte) error {
	x.writeStreamHead(resp)
	// The timeout of the last write may have passed since. It would apply to the end of the response
	// as well, which net/http writes later.
	x.extendWriteDeadline()
	if len(partial) == 0 {
		return nil
	}
	if _, err := x.writer.Write(partial); err != nil {
		return &callerGoneError{Cause: err}
	}
	return nil
}

// eventSplitter splits a byte stream after its last complete event.
type eventSplitter struct{ partial []byte }

// add appends data and returns the events that are complete now.
func (s *eventSplitter) add(b []byte) ([]byte, error) {
	// The partial event has no blank line, but may end with the beginning of one. It is not searched
	// again, as that would take a time quadratic in the length of an event.
	from := max(0, len(s.partial)-2)
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

// endOfLastBlankLine returns the offset after the last blank line, or -1.
func endOfLastBlankLine(b []byte) int {
	end := -1
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}
