package serverpath

import (
	"context"
	"net"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/upstream"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer opens connections to servers and records the state of their paths.
type Dialer struct {
	tracker *Tracker
	direct  DialFunc
	timeout time.Duration
}

// NewDialer returns a dialer that opens direct connections with a timeout.
func NewDialer(t *Tracker, direct DialFunc, timeout time.Duration) *Dialer {
	return &Dialer{tracker: t, direct: direct, timeout: timeout}
}

// Dial implements upstream.Dialer.
func (d *Dialer) Dial(ctx context.Context, serverKey, address string) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	conn, err := d.direct(dialCtx, address)
	switch {
	case err == nil:
		d.tracker.RecordConnected(serverKey, clock.Now())
	case ctx.Err() == nil:
		d.tracker.RecordFailed(serverKey, FailureOf(err), clock.Now())
	}
	return conn, err
}

// Probe implements upstream.Dialer.
func (d *Dialer) Probe(ctx context.Context, _, address string) upstream.State {
	return upstream.StateOf(d.direct(ctx, address))
}
