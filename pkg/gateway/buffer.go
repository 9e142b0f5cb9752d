package gateway

import (
	"io"

	"headhill.example/headhill/pkg/upstream"
)

// minReadStep and maxReadStep limit the memory reserved per read of a buffered response. Each step
// doubles the buffer within them, as most responses have some hundred bytes.
const (
	minReadStep = 1 << 10
	maxReadStep = 64 << 10
)

// reserve reserves n bytes for a caller and reports whether the box's limit allows it. Without it,
// callers that read slowly could make the box run out of memory: a thousand of them hold 512 MB with
// responses of maxBufferedBytes each.
func (g *Gateway) reserve(n int64) bool {
	for {
		held := g.heldBytes.Load()
		if held+n > g.Limits.MaxHeldBytes {
			return false
		}
		if g.heldBytes.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// HeldBytes returns the memory held for callers: request bodies, long headers, long events, buffered
// responses, and what is read ahead.
func (g *Gateway) HeldBytes() int64 { return g.heldBytes.Load() }

// bufferResponse reads a response into memory that stays reserved until the request ends. It
// returns the part read and upstream.EndNone if the response is too long or the box has no memory left.
func (x *exchange) bufferResponse(r io.Reader) (body []byte, end upstream.End, err error) {
	for len(body) <= maxBufferedBytes {
		step := min(max(len(body), minReadStep), maxReadStep)
		if !x.hold(int64(step)) {
			return body, upstream.EndNone, nil
		}
		body, err = readAppend(body, r, step)
		switch end = upstream.EndOf(err); end {
		case upstream.EndWhole, upstream.EndClosed:
			return body, end, nil
		case upstream.EndBroken:
			return body, end, err
		}
	}
	return body, upstream.EndNone, nil
}

// readAppend appends n bytes of a reader to a slice, or fewer and the read error. It does not use
// io.ReadFull, which can't distinguish a truncated response from a complete one.
func readAppend(buf []byte, r io.Reader, n int) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, n)...)
	for read := 0; read < n; {
		m, err := r.Read(buf[start+read:])
		read += m
		if err != nil {
			return buf[:start+read], err
		}
	}
	return buf, nil
}
