// Package sse reads and writes server-sent events, the format in which engines stream responses.
package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// MaxEventBytes is the maximum size of the data of one event.
const MaxEventBytes = 1 << 20

// EventTooLongError is returned for an event larger than MaxEventBytes.
type EventTooLongError struct{}

func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("event longer than %d bytes: check what the server streams", MaxEventBytes)
}

// Reader reads events from a stream.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 4096)} }

// HasBuffered reports whether unread data of the stream is buffered.
func (r *Reader) HasBuffered() bool { return r.r.Buffered() > 0 }

// Next returns the data of the next event, skipping events without data. It returns io.EOF at
// the end of the stream and drops an event truncated there.
func (r *Reader) Next() ([]byte, error) {
	var data []byte
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if hasData {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		hasData = true
		if len(data) > MaxEventBytes {
			return nil, &EventTooLongError{}
		}
	}
}

// readLine reads one line and strips its terminator. A line without a terminator is an error, so
// that a truncated event is never returned.
func (r *Reader) readLine() ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.r.ReadSlice('\n')
		line = append(line, chunk...)
		if err == bufio.ErrBufferFull {
			if len(line) > MaxEventBytes {
				return nil, &EventTooLongError{}
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}

// Write writes one event; data must be a single line.
func Write(w io.Writer, data []byte) error {
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	_, err := w.Write(buf)
	return err
}
