package serverpath

import (
	"context"
	"net"

	"headhill.example/headhill/pkg/clock"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer opens connections to servers and records the state of their paths.
type Dialer struct {
	tracker *Tracker
	direct  DialFunc
}

// NewDialer returns a dialer that opens direct connections.
func NewDialer(t *Tracker, direct DialFunc) *Dialer { return &Dialer{tracker: t, direct: direct} }

// Dial implements upstream.Dialer.
func (d *Dialer) Dial(ctx context.Context, serverKey, address string) (net.Conn, error) {
	conn, err := d.direct(ctx, address)
	switch {
	case err == nil:
		d.tracker.RecordConnected(serverKey, clock.Now())
	case context.Cause(ctx) == nil:
		d.tracker.RecordFailed(serverKey, FailureOf(err), clock.Now())
	}
	return conn, err
}
