// Package sse reads server-sent events, as engines stream their answers.
package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// MaxEventBytes bounds one event, in bytes.
const MaxEventBytes = 1 << 20

// TooLongError says that an event exceeds the bound.
type TooLongError struct{}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("event longer than %d bytes: check what the server streams", MaxEventBytes)
}

// Reader reads events one by one.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 4096)} }

// HasBuffered tells whether more of the stream has arrived already.
func (r *Reader) HasBuffered() bool { return r.r.Buffered() > 0 }

// Next returns the data of the next event that has any. It returns io.EOF at the
// end of the stream; an event that the end cuts off is not returned.
func (r *Reader) Next() ([]byte, error) {
	var data []byte
	has := false
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if has {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if has {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		has = true
		if len(data) > MaxEventBytes {
			return nil, &TooLongError{}
		}
	}
}

// line reads one line without its end. A line that the stream's end cuts off is
// an error, so that half an event never counts.
func (r *Reader) line() ([]byte, error) {
	var whole []byte
	for {
		part, err := r.r.ReadSlice('\n')
		whole = append(whole, part...)
		if err == bufio.ErrBufferFull {
			if len(whole) > MaxEventBytes {
				return nil, &TooLongError{}
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(whole, "\r\n"), nil
	}
}

// Write writes one event with the data, which must be a single line.
func Write(w io.Writer, data []byte) error {
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	_, err := w.Write(buf)
	return err
}
