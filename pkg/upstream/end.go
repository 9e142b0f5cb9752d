package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// Framing is how a response delimits its body.
type Framing int

// Framings of responses.
const (
	// FramingLength is a declared length. Responses that can't have a body count as such.
	FramingLength Framing = iota
	// FramingChunked is the chunked transfer coding.
	FramingChunked
	// FramingClose means that the body extends to the end of the connection.
	FramingClose

	framings
)

// String implements fmt.Stringer.
func (f Framing) String() string { return [...]string{"length", "chunked", "close"}[f] }

// framingOf returns the framing of a response.
func framingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramingChunked
	case r.Body == http.NoBody || r.ContentLength >= 0:
		return FramingLength
	}
	return FramingClose
}

// End is how a response ended.
type End int

// Ends of responses.
const (
	// EndNone means that the response was not read to its end.
	EndNone End = iota
	// EndWhole means that the response is complete according to its framing.
	EndWhole
	// EndClosed means that the server closed the connection of a response with FramingClose. Whether the
	// response is complete can't be known.
	EndClosed
	// EndBroken means that the connection was lost before the end.
	EndBroken

	ends
)

// String implements fmt.Stringer.
func (e End) String() string { return [...]string{"none", "whole", "closed", "broken"}[e] }

// ErrConnectionEnded is returned by Response.Body instead of io.EOF if the response has FramingClose and the
// server closed the connection.
var ErrConnectionEnded = errors.New("the response ended with its connection: it may be incomplete")

// EndOf returns the end that an error of Response.Body states, EndNone if the error is nil.
func EndOf(err error) End {
	switch {
	case err == nil:
		return EndNone
	case err == io.EOF:
		return EndWhole
	case errors.Is(err, ErrConnectionEnded):
		return EndClosed
	}
	return EndBroken
}

// body is the body of a response. It keeps how the response ended.
type body struct {
	reader  io.Reader
	framing Framing
	end     atomic.Int32
	bytes   atomic.Int64
	err     error
	conn    *conn
	// onBreak is called once the server has ended the connection within the response.
	onBreak func()
}

// Read implements io.Reader. Once it has returned an error, it returns only that.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.reader.Read(p)
	b.bytes.Add(int64(n))
	if err == io.EOF && b.framing == FramingClose {
		err = ErrConnectionEnded
	}
	if err != nil {
		if err != ErrConnectionEnded {
			err = b.conn.withoutContent(err, "its body can't be parsed")
		}
		b.err = err
		b.end.Store(int32(EndOf(err)))
		if isBreak(err) {
			b.onBreak()
		}
	}
	return n, err
}

// End returns how the response ended.
func (r *Response) End() End {
	if b, ok := r.Body.(*body); ok {
		return End(b.end.Load())
	}
	return EndNone
}

// BodyBytes returns how much of the body has been read.
func (r *Response) BodyBytes() int64 {
	if b, ok := r.Body.(*body); ok {
		return b.bytes.Load()
	}
	return 0
}

// endCounts counts responses by framing and end.
type endCounts [framings][ends]atomic.Int64

// ResponseEnds returns how many responses ended in which way since the start, by "FRAMING END".
func (c *Client) ResponseEnds() map[string]int64 {
	counts := make(map[string]int64)
	for f := range framings {
		for e := range ends {
			if n := c.ends[f][e].Load(); n > 0 {
				counts[f.String()+" "+e.String()] = n
			}
		}
	}
	return counts
}
