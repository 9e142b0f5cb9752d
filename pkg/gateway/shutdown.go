package gateway

import (
	"errors"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Shutdown describes a planned shutdown. Requests that may not finish before its deadline are
// refused.
type Shutdown struct {
	// StartUntil is until when streams, and other requests that may last beyond the deadline, are sent to servers.
	StartUntil time.Time
	// Deadline is when the process exits.
	Deadline time.Time
}

// errStopping denies the first send of a request that may not finish before the box exits.
var errStopping = errors.New("the box is about to stop")

// checkShutdown refuses requests that may not finish before the box exits.
func (x *exchange) checkShutdown() error {
	if x.shutdown == nil {
		return nil
	}
	stream := x.route.Kind == routing.KindStream
	if stream && x.arrival.After(x.shutdown.StartUntil) || !stream && x.deadline.After(x.shutdown.Deadline) {
		return &RefusedError{Reason: errStopping.Error(), RetryAfter: shutdownRetryAfter}
	}
	return nil
}

// checkSendDuringShutdown returns errStopping if it is too late to begin the request. It may have arrived before the shutdown and have
// waited since for its body or for a server.
func (x *exchange) checkSendDuringShutdown(now time.Time) error {
	s := x.gateway.Shutdown()
	if s == nil || !now.After(s.StartUntil) {
		return nil
	}
	if x.route.Kind == routing.KindStream || x.deadline.After(s.Deadline) {
		return errStopping
	}
	return nil
}
