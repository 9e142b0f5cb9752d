package gateway

import (
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
	// answerMost bounds an answer that is held until it is whole; a longer one is
	// passed on as it comes.
	answerMost = 512 << 10
	// drainMost bounds what is read of an answer that nobody wants.
	drainMost = 64 << 10
	// callerPatience bounds how long a caller may take to read a piece.
	callerPatience = 10 * time.Second

	eventStream = "text/event-stream"
)

// wholeAnswer is an answer that has arrived whole.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func isStream(r *upstream.Response) bool {
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return kind == eventStream && r.Status == http.StatusOK
}

// drain reads the rest of a short answer, so that its connection can be kept.
func drain(r *upstream.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, drainMost))
	r.Close(err == nil && n < drainMost)
}

// whole passes an answer on once all of it is there, so that one that breaks off
// never reaches the caller in part.
func (x *exchange) whole(resp *upstream.Response, lease *balancer.Lease) (*failure, error) {
	x.noteRun(x.sent)
	body, complete, err := x.hold(resp.Body)
	if err != nil {
		resp.Close(false)
		return &failure{result: balancer.ResultFailed, broken: true, cause: err}, nil
	}
	lease.PrefillDone(clock.Now())
	if !complete {
		return x.passLong(resp, body)
	}
	resp.Close(true)
	a := &wholeAnswer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError || x.begun {
		return &failure{result: statusResult(resp.Status), cause: errors.New("server answered " + strconv.Itoa(resp.Status)), answer: a}, nil
	}
	return nil, x.passOn(a)
}

// statusResult is what a status says of the server. 504 says that the time of the
// request was too short for its work.
func statusResult(status int) balancer.Result {
	if status == http.StatusGatewayTimeout {
		return balancer.ResultAbandoned
	}
	return balancer.ResultFailed
}

// passOn gives the caller a whole answer.
func (x *exchange) passOn(a *wholeAnswer) error {
	copyHeader(x.writer.Header(), a.header)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.begin(a.status)
	if _, err := x.writer.Write(a.body); err != nil {
		return &callerGoneError{Cause: err}
	}
	return nil
}

// passLong passes on an answer that is too long to be held, or for which no room is left.
func (x *exchange) passLong(resp *upstream.Response, head []byte) (*failure, error) {
	copyHeader(x.writer.Header(), resp.Header)
	if resp.Length >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.begin(resp.Status)
	if _, err := x.writer.Write(head); err != nil {
		resp.Close(false)
		return nil, &callerGoneError{Cause: err}
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buffer)
		x.allowTime()
		if _, werr := x.writer.Write(buffer[:n]); werr != nil {
			resp.Close(false)
			return nil, &callerGoneError{Cause: werr}
		}
		if err == io.EOF {
			resp.Close(true)
			return nil, nil
		}
		if err != nil {
			resp.Close(false)
			return nil, &brokenOffError{Cause: err}
		}
	}
}

// begin sends the head of the answer.
func (x *exchange) begin(status int) {
	x.begun = true
	x.status = status
	x.allowTime()
	x.writer.WriteHeader(status)
}

// allowTime gives the caller its time to read the next piece.
func (x *exchange) allowTime() {
	// A writer without deadlines, as in tests, has no slow caller either.
	_ = http.NewResponseController(x.writer).SetWriteDeadline(time.Now().Add(callerPatience))
}

// copyHeader copies the headers that are not of one connection. Headers that
// net/http would add by itself are held back.
func copyHeader(to, from http.Header) {
	maps.Copy(to, upstream.EndToEndHeader(from))
	for _, added := range []string{"Content-Type", "Date"} {
		if _, ok := from[added]; !ok {
			to[added] = nil
		}
	}
}
