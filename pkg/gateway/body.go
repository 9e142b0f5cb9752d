package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"headhill.example/headhill/pkg/clock"
)

const (
	// uncountedHeaderBytes is how much of a header is not counted against the box's memory. Most
	// headers are shorter, and MaxRequests bounds what they use together.
	uncountedHeaderBytes = 4 << 10
	// requestHeaderCopies is how often the header of a request is held: as received, and as it is
	// being written to a server.
	requestHeaderCopies = 2

	reasonMemory = "the box holds as many bytes as it may"
)

var errNoMemory = errors.New(reasonMemory)

// hold reserves n bytes until the request ends and reports whether the box's limit allows it.
func (x *exchange) hold(n int64) bool {
	if !x.gateway.reserve(n) {
		return false
	}
	x.reservedBytes += n
	return true
}

// longHeaderBytes returns the memory of a header that is held some times, without the part that is
// not counted.
func longHeaderBytes(h http.Header, copies int64) int64 {
	size := int64(0)
	for name, values := range h {
		for _, v := range values {
			size += int64(len(name) + len(v))
		}
	}
	return max(0, size-uncountedHeaderBytes) * copies
}

// holdHeader counts a long response header. It does so even beyond the limit, as the memory is in
// use: the box then refuses other requests.
func (x *exchange) holdHeader(h http.Header) {
	n := longHeaderBytes(h, 1)
	x.gateway.heldBytes.Add(n)
	x.reservedBytes += n
}

// limitBodyReads makes the body arrive before the deadline of the request, so that a caller that sends
// slowly holds memory no longer. If the request is refused before, the deadline stays: net/http reads
// the rest of a short body before it sends the response.
func (x *exchange) limitBodyReads() {
	if x.request.ContentLength != 0 {
		x.setReadDeadline(time.Now().Add(clock.Until(x.deadline)))
	}
}

func (x *exchange) setReadDeadline(t time.Time) {
	// Response writers of tests don't support deadlines.
	_ = http.NewResponseController(x.writer).SetReadDeadline(t)
}

// receiveBody reads the body.
func (x *exchange) receiveBody(r io.Reader) error {
	var err error
	if x.body, err = x.readAll(r); err == nil {
		x.setReadDeadline(time.Time{})
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &CallError{Status: http.StatusRequestEntityTooLarge, Message: "the body is larger than the configuration allows: shorten it"}
	case errors.Is(err, errNoMemory):
		return &RefusedError{Reason: reasonMemory, RetryAfter: overloadRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &RefusedError{Reason: "the body did not arrive before the deadline of the request", RetryAfter: jitter(refusalRetryAfter)}
	}
	return &callerGoneError{Cause: err}
}

// readAll reads the body. The memory of a declared length is reserved already, that of other bodies
// is reserved as they arrive.
func (x *exchange) readAll(r io.Reader) (body []byte, err error) {
	if n := x.request.ContentLength; n >= 0 {
		body = make([]byte, n)
		_, err = io.ReadFull(r, body)
		return body, err
	}
	for {
		step := min(max(len(body), minReadStep), maxReadStep)
		if !x.hold(int64(step)) {
			return nil, errNoMemory
		}
		body, err = readAppend(body, r, step)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
