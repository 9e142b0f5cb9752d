package serverpath

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/tunnel"
	"headhill.example/headhill/pkg/upstream"
)

const (
	// relayStagger is how long a relay has before the next one is asked as well.
	relayStagger = 60 * time.Millisecond
	// maxRelays limits the relays that are asked for one connection, and relayTimeout the time that
	// each has.
	maxRelays    = 4
	relayTimeout = 250 * time.Millisecond
	// maxRefusals is the number of relays to which a server's machine must refuse the connection for the
	// server to count as down. One relay may have lost its links to some servers as well.
	maxRefusals = 2
	// maxControls is the number of other servers that a box tries before it concludes that a refused
	// connection is due to its own links.
	maxControls = 3
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Deps are the dependencies of a Dialer.
type Deps struct {
	Tracker *Tracker
	// Hall is the hall of this box, whose boxes are asked for tunnels first.
	Hall string
	// Direct opens a direct connection, Timeout is its time.
	Direct  DialFunc
	Timeout time.Duration
	// Tunnel opens a connection by way of a relay; nil for tunnel.Dial.
	Tunnel func(ctx context.Context, relay, address string) (net.Conn, error)
	// Peers returns the other boxes, HallOf the hall of the server at an address, "" if it is unknown.
	Peers  func() []Peer
	HallOf func(address string) string
	// OtherServer returns a server whose address is not the given one. It returns false if there is none.
	OtherServer func(address string) (serverKey, other string, ok bool)
	// AddIdle takes a direct connection that was opened after the request was sent by another way.
	AddIdle func(serverKey string, c net.Conn)
	Logger  log.Logger
}

// Dialer opens connections to servers, directly or by way of another box.
type Dialer struct {
	Deps
	relays *relays
	// tunneled counts the connections that lead through other boxes.
	tunneled atomic.Int64
}

// NewDialer returns a dialer.
func NewDialer(d Deps) *Dialer {
	if d.Tunnel == nil {
		d.Tunnel = tunnel.Dial
	}
	return &Dialer{Deps: d, relays: newRelays(d.Hall)}
}

// RelayCounts returns the number of other boxes by what is known of them as relays, and the number of
// open tunnels through them and of those opened since the start.
func (d *Dialer) RelayCounts() map[string]int64 {
	counts := d.relays.counts(clock.Now())
	counts["opened"] = d.tunneled.Load()
	return counts
}

// Dial implements upstream.Dialer. Where the direct connection takes long, fails, or has failed before,
// other boxes are asked one after the other, and the first connection is used.
func (d *Dialer) Dial(ctx context.Context, serverKey, address string) (net.Conn, error) {
	r := d.newRace(ctx, serverKey, address)
	defer r.cancelRelays()
	return r.run()
}

// Probe implements upstream.Dialer. A server to which the connection is refused has exited only if no
// other box reaches it either.
func (d *Dialer) Probe(ctx context.Context, serverKey, address string) upstream.State {
	state := upstream.StateOf(d.DialDirect(ctx, address))
	if state != upstream.StateExited {
		return state
	}
	relays := d.relayOrder(address)
	if len(relays) == 0 {
		return state
	}
	refusals := 0
	for _, relay := range relays[:min(len(relays), maxRelays)] {
		conn, err := d.dialRelay(ctx, relay, serverKey, address)
		if err == nil {
			d.Tracker.RecordRelayed(address, true, clock.Now())
			_ = conn.Close()
			return upstream.StateUp
		}
		if isServerRefusal(err) {
			refusals++
		}
		if refusals == min(maxRefusals, len(relays)) {
			return upstream.StateExited
		}
	}
	return upstream.StateUnknown
}

// AwaitsResponse implements upstream.Dialer. While no server sends anything, the box opens a further
// connection: an idle connection whose path has failed would otherwise be noticed only by its keep-alive.
func (d *Dialer) AwaitsResponse(serverKey, address string, sent time.Time) {
	if !d.Tracker.takeCheck(address, sent, clock.Now()) {
		return
	}
	go func() {
		if conn, err := d.Dial(context.Background(), serverKey, address); err == nil {
			d.AddIdle(serverKey, conn)
		}
	}()
}

// RetryDirect tries in the background whether the direct path to a server is back, if that is due.
func (d *Dialer) RetryDirect(serverKey, address string) {
	if !d.Tracker.takeRetry(address, clock.Now()) {
		return
	}
	go func() {
		if conn, err := d.DialDirect(context.Background(), address); err == nil {
			d.AddIdle(serverKey, conn)
		}
	}()
}

// isServerRefusal reports whether a relay could not connect to the server as its machine refused that.
func isServerRefusal(err error) bool {
	var refused *tunnel.RefusedError
	return errors.As(err, &refused) && refused.Reason == tunnel.ReasonServerRefused
}

// DialDirect opens a direct connection and records how that ended.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	start := clock.Now()
	dialCtx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	conn, err := d.Direct(dialCtx, address)
	now := clock.Now()
	switch {
	case err == nil:
		d.Tracker.RecordConnected(address, now.Sub(start), now)
		return &directConn{Conn: conn, tracker: d.Tracker, address: address}, nil
	case ctx.Err() == nil:
		d.Tracker.RecordFailed(address, FailureOf(err), start, now)
	}
	return nil, err
}

// dialRelay opens a tunnel through a relay.
func (d *Dialer) dialRelay(ctx context.Context, relay, serverKey, address string) (net.Conn, error) {
	start := clock.Now()
	dialCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, err := d.Tunnel(dialCtx, relay, address)
	if err != nil {
		// A relay that is overtaken by the next one is slow.
		if ctx.Err() == nil || clock.Since(start) >= relayStagger {
			d.relays.recordFailed(relay, err, clock.Now())
		}
		return nil, err
	}
	d.tunneled.Add(1)
	d.relays.recordOpened(relay, clock.Now())
	return &tunnelConn{Conn: conn, dialer: d, serverKey: serverKey, address: address, relay: relay}, nil
}

// relayOrder returns the boxes to ask for a connection to an address, in order.
func (d *Dialer) relayOrder(address string) []string {
	return d.relays.order(d.Peers(), d.HallOf(address), clock.Now())
}

// ReachesOthers reports whether this box can connect directly to another server than that at an address.
func (d *Dialer) ReachesOthers(ctx context.Context, address string) bool {
	for range maxControls {
		key, other, ok := d.OtherServer(address)
		if !ok {
			return true
		}
		if conn, err := d.DialDirect(ctx, other); err == nil {
			d.AddIdle(key, conn)
			return true
		}
	}
	return false
}

// directConn is a direct connection to a server.
type directConn struct {
	net.Conn
	tracker *Tracker
	address string
}

// Read implements net.Conn.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.tracker.RecordHeard(clock.Now())
	}
	return n, err
}

// Reusable implements upstream.ReusableConn.
func (c *directConn) Reusable() bool { return c.tracker.directFit(c.address) }

// SyscallConn implements syscall.Conn.
func (c *directConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// tunnelConn is a connection that leads through another box.
type tunnelConn struct {
	net.Conn
	dialer             *Dialer
	serverKey, address string
	relay              string
	closed             atomic.Bool
}

// Write implements net.Conn. Requests over open tunnels open no connections, so each has the direct path
// tried again.
func (c *tunnelConn) Write(b []byte) (int, error) {
	c.dialer.RetryDirect(c.serverKey, c.address)
	return c.Conn.Write(b)
}

// Via implements upstream.ViaConn.
func (c *tunnelConn) Via() string { return c.relay }

// Reusable implements upstream.ReusableConn.
func (c *tunnelConn) Reusable() bool {
	inner, ok := c.Conn.(upstream.ReusableConn)
	return c.dialer.Tracker.tunnelFit(c.address) && (!ok || inner.Reusable())
}

// SyscallConn implements syscall.Conn.
func (c *tunnelConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// Close implements net.Conn.
func (c *tunnelConn) Close() error {
	if !c.closed.Swap(true) {
		c.dialer.relays.recordClosed(c.relay)
	}
	return c.Conn.Close()
}

func syscallConn(c net.Conn) (syscall.RawConn, error) {
	if sc, ok := c.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, upstream.ErrNoDescriptor
}
