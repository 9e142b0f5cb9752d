package gateway

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/upstream"
)

// eventMost bounds one event, in bytes.
const eventMost = 1 << 20

var errLongEvent = errors.New("event longer than 1 MiB: check what the server streams")

// stream passes events on as they come, whole ones only, so that another server can
// go on after the last one.
func (x *exchange) stream(resp *upstream.Response, lease *balancer.Lease) (*failure, error) {
	cutter := eventCutter{}
	buffer := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buffer)
		events, cutErr := cutter.add(buffer[:n])
		if len(events) > 0 {
			x.noteRun(clock.Now())
			lease.PrefillDone(clock.Now())
			if werr := x.sendEvents(resp, events); werr != nil {
				resp.Close(false)
				return nil, &callerGoneError{Cause: werr}
			}
		}
		switch {
		case err == io.EOF:
			resp.Close(true)
			return nil, x.endStream(resp, cutter.rest)
		case err != nil, cutErr != nil:
			resp.Close(false)
			return &failure{result: brokenResult(err), broken: true, cause: cmp.Or(err, cutErr)}, nil
		}
	}
}

// sendEvents gives the caller whole events. The head is that of the first server
// that sent any.
func (x *exchange) sendEvents(resp *upstream.Response, events []byte) error {
	x.beginStream(resp)
	x.allowTime()
	if _, err := x.writer.Write(events); err != nil {
		return err
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return err
	}
	x.noteEvents(events)
	return nil
}

func (x *exchange) beginStream(resp *upstream.Response) {
	if x.begun {
		return
	}
	copyHeader(x.writer.Header(), resp.Header)
	x.begin(resp.Status)
}

// noteEvents remembers the last event that the caller has, and the longest pause before
// an event.
func (x *exchange) noteEvents(events []byte) {
	now := clock.Now()
	if x.firstEvent.IsZero() {
		x.firstEvent, x.latestEvent = now, now
	}
	x.longestPause = max(x.longestPause, now.Sub(x.latestEvent))
	x.latestEvent = now
	for line := range bytes.Lines(events) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		x.lastEvent = string(bytes.TrimSpace(id))
		x.events++
	}
}

// endStream ends a whole stream; rest is what follows its last event.
func (x *exchange) endStream(resp *upstream.Response, rest []byte) error {
	x.beginStream(resp)
	if len(rest) == 0 {
		return nil
	}
	if _, err := x.writer.Write(rest); err != nil {
		return &callerGoneError{Cause: err}
	}
	return nil
}

// eventCutter cuts a stream of bytes after its last whole event.
type eventCutter struct{ rest []byte }

// add takes bytes in and returns the events that are whole by now.
func (c *eventCutter) add(b []byte) ([]byte, error) {
	c.rest = append(c.rest, b...)
	end := lastBlankLine(c.rest)
	if end < 0 {
		if len(c.rest) > eventMost {
			return nil, errLongEvent
		}
		return nil, nil
	}
	events := c.rest[:end]
	c.rest = bytes.Clone(c.rest[end:])
	return events, nil
}

// lastBlankLine returns the offset behind the last blank line, or -1.
func lastBlankLine(b []byte) int {
	end := -1
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}
