package gateway

import (
	"errors"
	"io"
)

// An answer that is held until it is whole is read in steps as long as what is there, within these
// bounds: most answers have some hundred bytes.
const (
	holdStepLeast = 1 << 10
	holdStepMost  = 64 << 10
)

// reserve takes room for bytes that are held for a caller; false if the box may hold no more. Callers
// that read slowly would else take memory without bound: a thousand of them, with answers of
// answerMost each, 512 MB.
func (g *Gateway) reserve(n int64) bool {
	if g.held.Add(n) <= g.Limits.MaxHeldBytes {
		return true
	}
	g.held.Add(-n)
	return false
}

// HeldBytes is how many bytes the box holds for callers: bodies of requests, and answers until they are
// passed on.
func (g *Gateway) HeldBytes() int64 { return g.held.Load() }

// hold reads an answer into room that is reserved for it until the request ends. It returns false
// with what was read where the answer is too long, or no room is left.
func (x *exchange) hold(answer io.Reader) (body []byte, complete bool, err error) {
	for len(body) <= answerMost {
		step := min(max(len(body), holdStepLeast), holdStepMost)
		if !x.gateway.reserve(int64(step)) {
			return body, false, nil
		}
		x.reserved += int64(step)
		body, err = appendSome(body, answer, step)
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return body, false, err
		}
	}
	return body, false, nil
}

// appendSome appends up to n bytes of a reader, fewer only with the error that ended it. io.ReadFull
// would tell an answer that breaks off as one that ends.
func appendSome(to []byte, from io.Reader, n int) ([]byte, error) {
	begin := len(to)
	to = append(to, make([]byte, n)...)
	for read := 0; read < n; {
		more, err := from.Read(to[begin+read:])
		read += more
		if err != nil {
			return to[:begin+read], err
		}
	}
	return to, nil
}
