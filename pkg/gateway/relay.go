package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/readahead"
	"headhill.example/headhill/pkg/upstream"
)

const (
	// slowWriteDelay is how long a write to the caller may block before the response is read ahead.
	// A caller that keeps up is written to without blocking, so its stream costs no second
	// goroutine.
	slowWriteDelay = 5 * time.Millisecond
	// streamReadBytes and bulkReadBytes are the sizes of reads for a caller that keeps up, of
	// streams and of other responses. aheadReadBytes is the size of reads ahead of a slow caller.
	streamReadBytes = 4 << 10
	bulkReadBytes   = 32 << 10
	aheadReadBytes  = 4 << 10
)

// relay forwards the body of a response. While the caller keeps up, one goroutine reads from the
// server and writes to the caller. When a write blocks for slowWriteDelay, a second goroutine reads
// ahead into a bounded queue, until the caller has received all of it.
//
// The fields are used by the goroutine that reads from the server at the time. They are handed over
// with the timer and the end of the queue.
type relay struct {
	x    *exchange
	ctx  context.Context
	resp *upstream.Response
	// complete takes what was read and returns what may be written to the caller: complete events
	// of a stream, all bytes of another response.
	complete func([]byte) ([]byte, error)
	// write writes to the caller. started is called before the first write.
	write   func([]byte) error
	started func()
	// partialBytes returns the size of what was read and may not be written yet.
	partialBytes func() int
	// failed returns the end of the attempt after the server broke off.
	failed func(cause error) (*failure, error)
	// endError returns the error with which the response ends, given that of the last read.
	endError func(error) error

	timer *time.Timer
	// sessions passes a session from the goroutine that starts it to the one that writes.
	sessions chan aheadSession
	// readErr is the error of the last read, which ends the response.
	readErr error
	// gotData is set once something was read that may be written.
	gotData bool
	// failure and err are the end of the attempt once done is set, end that of the response.
	done    bool
	end     upstream.End
	failure *failure
	err     error
}

// aheadSession is one period during which a response is read ahead.
type aheadSession struct {
	queue *readahead.Queue
	// stopWatch ends the watch for the caller's leaving.
	stopWatch func() bool
}

// forwardStreamAhead forwards complete events, like forwardStream, and reads ahead of the caller.
func (x *exchange) forwardStreamAhead(ctx context.Context, resp *upstream.Response, lease *balancer.Lease) (*failure, error) {
	splitter := &eventSplitter{}
	r := &relay{
		x: x, ctx: ctx, resp: resp, complete: splitter.add,
		partialBytes: func() int { return len(splitter.partial) },
		write:        func(events []byte) error { return x.sendEvents(resp, events) },
		started: func() {
			x.recordStart(clock.Now())
			lease.PrefillDone(clock.Now())
		},
		failed: func(cause error) (*failure, error) {
			return streamFailure(resp, cause), nil
		},
		endError: splitter.endError,
	}
	f, err := r.forward(make([]byte, streamReadBytes))
	if f != nil || err != nil {
		return f, err
	}
	return nil, x.finishStream(resp, splitter.partial, r.end)
}

// forwardBytesAhead forwards a response that is too long to be buffered, like forwardUnbuffered, and
// reads ahead of the caller.
func (x *exchange) forwardBytesAhead(ctx context.Context, resp *upstream.Response, head []byte, lease *balancer.Lease) (*failure, error) {
	r := &relay{
		x: x, ctx: ctx, resp: resp, started: func() {},
		complete:     func(b []byte) ([]byte, error) { return b, nil },
		partialBytes: func() int { return 0 },
		write: func(b []byte) error {
			x.extendWriteDeadline()
			_, err := x.writer.Write(b)
			return err
		},
		failed:   func(cause error) (*failure, error) { return nil, &truncatedError{Cause: cause} },
		endError: func(err error) error { return err },
	}
	if err := r.send(head); err != nil {
		return r.callerGone(err)
	}
	f, err := r.forward(x.copyBuffer())
	if f == nil && err == nil {
		// net/http has yet to write what it buffers and the end of the response.
		x.extendWriteDeadline()
		err = x.endResponse(r.end)
	}
	return f, err
}

// forward forwards the response until the server is done and the caller has received everything.
func (r *relay) forward(buffer []byte) (*failure, error) {
	for !r.done {
		if err := r.x.holdEvent(r.ctx, r.partialBytes()); err != nil {
			r.finish(err)
			break
		}
		data, err := r.read(buffer)
		if len(data) > 0 {
			r.started()
			if writeErr := r.send(data); writeErr != nil {
				return r.callerGone(writeErr)
			}
			r.x.releaseEvent()
		}
		if err != nil {
			r.finish(err)
		}
	}
	return r.failure, r.err
}

func (r *relay) callerGone(cause error) (*failure, error) {
	return unsent(r.resp, cause)
}

// read reads from the server and returns what may be written. An error that comes with data is
// returned by the next call, so that the data is not delayed by the reports of the end.
func (r *relay) read(buffer []byte) ([]byte, error) {
	if r.readErr != nil {
		return nil, r.readErr
	}
	n, err := r.resp.Body.Read(buffer)
	data, splitErr := r.complete(buffer[:n])
	r.readErr = cmp.Or(err, splitErr)
	if len(data) > 0 {
		r.gotData = true
		return data, nil
	}
	return nil, r.readErr
}

// finish records that the server is done, given the error of the last read, and reports the end of the
// attempt. The caller may not have received everything yet.
func (r *relay) finish(err error) {
	r.done = true
	r.x.incompleteEvent.Store(int64(r.partialBytes()))
	r.resp.Close()
	err = r.x.confirmEnd(r.endError(err), r.gotData)
	if r.end = upstream.EndOf(err); r.end == upstream.EndBroken {
		r.failure, r.err = r.failed(err)
	}
	r.x.end.report(r.failure, r.err)
}

// send writes to the caller. If the write blocks, the response is read ahead until the caller has
// received everything that was read.
func (r *relay) send(data []byte) error {
	if r.timer == nil {
		r.sessions = make(chan aheadSession, 1)
		r.timer = time.AfterFunc(slowWriteDelay, r.readAhead)
	} else {
		r.timer.Reset(slowWriteDelay)
	}
	err := r.write(data)
	if r.timer.Stop() {
		return err
	}
	return r.drain(<-r.sessions, err)
}

// readAhead reads from the server into a new queue while the caller is slow.
func (r *relay) readAhead() {
	q := r.x.openQueue(r)
	// The write that is blocked must end when the caller leaves.
	r.sessions <- aheadSession{queue: q, stopWatch: context.AfterFunc(r.x.request.Context(), r.x.expireWrites)}
	if err := r.fill(q); err != nil && !q.IsAbandoned() {
		r.finish(err)
	}
	q.End()
}

// fill reads from the server until it is done, which the error reports, or nothing needs to be read
// ahead any more.
func (r *relay) fill(q *readahead.Queue) error {
	buffer := make([]byte, aheadReadBytes)
	// The end may come with the last data. It needs no memory and so does not wait for any: the
	// deadline could pass meanwhile and make a complete response count as canceled.
	for r.readErr == nil {
		switch q.Await(r.ctx, len(buffer)) {
		case readahead.Canceled:
			return context.Cause(r.ctx)
		case readahead.CaughtUp, readahead.Abandoned:
			return nil
		}
		before := r.partialBytes()
		data, err := r.read(buffer)
		// What was read is in the data or still partial.
		read := len(data) + r.partialBytes() - before
		q.Push(data, len(buffer)-read)
		if err != nil {
			return err
		}
	}
	return r.readErr
}

// drain writes what is read ahead. writeErr is the result of the write that was slow.
func (r *relay) drain(s aheadSession, writeErr error) error {
	x, q := r.x, s.queue
	defer s.stopWatch()
	x.ahead.active = true
	for writeErr == nil {
		chunk, ok := q.Take()
		if !ok {
			break
		}
		if q.Ended() {
			x.limitWrites()
		}
		writeErr = r.write(chunk)
		q.Written(len(chunk))
	}
	if writeErr != nil {
		q.Abandon()
		r.resp.Close()
	}
	x.ahead.add(q.Close())
	x.ahead.active = false
	return writeErr
}

var aLongTimeAgo = time.Unix(1, 0)

// expireWrites makes a blocked write to a caller that has left fail at once.
func (x *exchange) expireWrites() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(aLongTimeAgo)
}

// expireWritesIfGone is called after the write deadline was extended, which may have undone
// expireWrites.
func (x *exchange) expireWritesIfGone() {
	if x.ahead.active && x.request.Context().Err() != nil {
		x.expireWrites()
	}
}

// limitWrites bounds the time for the rest of a response whose server is done. A response that is
// ready is delivered even after the deadline of the request, but then within the timeout of a single
// write, as a buffered response is.
func (x *exchange) limitWrites() {
	if x.ahead.writesEnd.IsZero() {
		x.ahead.writesEnd = time.Now().Add(max(0, clock.Until(x.deadline)) + callerWriteTimeout)
	}
}

// writeDeadline returns the deadline of the next write to the caller.
func (x *exchange) writeDeadline(now time.Time) time.Time {
	deadline := now.Add(callerWriteTimeout)
	if end := x.ahead.writesEnd; !end.IsZero() && end.Before(deadline) {
		return end
	}
	return deadline
}
