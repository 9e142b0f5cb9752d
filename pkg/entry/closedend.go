package entry

import (
	"context"
	"errors"

	"headhill.example/headhill/pkg/backend"
	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/upstream"
)

var errServerEnded = errors.New("the answer ended with its connection, and the server is not known to run on")

// confirmEnd returns the error with which an answer ends, given that of its last read. The close of a connection states the end of an
// answer only if the server runs on: the kernel closes the connections of a process that has ended.
func (h *Handler) confirmEnd(ctx context.Context, s config.Server, err error) error {
	switch upstream.EndOf(err) {
	case upstream.EndBroken:
		return &backend.InterruptedError{Server: s.Name, Cause: err}
	case upstream.EndClosed:
		if !h.Backend.RunsOn(ctx, s) {
			return &backend.InterruptedError{Server: s.Name, Cause: errServerEnded}
		}
	}
	return nil
}
