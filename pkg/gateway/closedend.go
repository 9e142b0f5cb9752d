package gateway

import (
	"context"
	"errors"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/upstream"
)

var (
	errUnconfirmedEnd = errors.New("the response ended with its connection, and the server's process is not known to run on: look for a crash of the server")
	errClosedTogether = errors.New("the response ended with its connection, and another response of the server was broken off at the same time: look for a restart of a proxy or a worker")
	errNoEvents       = errors.New("the stream was interrupted, and the attempt to resume it ended with its connection before an event: look for servers that close connections early")
)

// EndChecker tells whether the processes of servers run on. It must be safe for concurrent use.
type EndChecker interface {
	// Check returns whether the process runs on that closed a connection when it broke. It blocks for a short time.
	Check(ctx context.Context, c incarnation.Connection) incarnation.Life
}

// confirmEnd returns the error with which a response ends, given that of its last read and whether it brought anything. The close of a
// connection states the end of a response only if the server's process runs on, as the kernel closes the connections of one that has
// ended, and if it did not close them all. After events of an interrupted stream, an attempt without one states nothing either.
func (x *exchange) confirmEnd(err error, gotData bool) error {
	if errors.Is(err, errInsideEvent) {
		x.response.RecordCut()
	}
	if upstream.EndOf(err) != upstream.EndClosed {
		return err
	}
	x.end.closedAt = clock.Now()
	switch {
	case x.end.resumes && !gotData:
		return errNoEvents
	case x.gateway.EndChecker == nil:
		return err
	}
	// A response that is ready is delivered although its deadline passes during the check.
	caller := x.request.Context()
	c := x.attemptConnection()
	c.Broken = x.end.closedAt
	life := x.gateway.EndChecker.Check(caller, c)
	switch gone := context.Cause(caller); {
	case life != incarnation.LifeRuns && gone != nil:
		return gone
	case life != incarnation.LifeRuns:
		return errUnconfirmedEnd
	case x.response.ClosedTogether(caller, x.end.closedAt):
		return errClosedTogether
	}
	return err
}
