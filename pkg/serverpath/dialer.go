package serverpath

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

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
	// Check sends the server of a new connection a request that it does not run, and returns nil once anything of the
	// response has arrived. The connection can't carry a further exchange. With a nil Check, all connections count that
	// are accepted.
	Check func(ctx context.Context, c net.Conn) error
	// Peers returns the other boxes, HallOf the hall of the server at an address, "" if it is unknown.
	Peers  func() []Peer
	HallOf func(address string) string
	// MayRelay reports whether requests to servers of a hall may pass through boxes of another one; nil for always.
	// It is asked again for each request over an open tunnel.
	MayRelay func(relayHall, serverHall string) bool
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
	if d.MayRelay == nil {
		d.MayRelay = func(string, string) bool { return true }
	}
	return &Dialer{Deps: d, relays: newRelays(d.Hall, d.MayRelay)}
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
	conn, err := d.openDirect(ctx, address)
	state := upstream.StateOf(conn, err)
	if state != upstream.StateExited && !isUnanswered(err) {
		return state
	}
	relays := d.relayOrder(address)
	if len(relays) == 0 {
		return state
	}
	refusals := 0
	for _, relay := range relays[:min(len(relays), maxRelays)] {
		conn, err := d.dialRelay(ctx, relay, serverKey, address, d.Tracker.CheckModeOf(address, clock.Now()))
		if err == nil {
			d.bypass(address)
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

// AwaitsResponse implements upstream.Dialer. While no server sends anything, the box opens a further connection: one
// whose path has failed would otherwise be noticed only by its keep-alive, and not at all if something on the way answers
// that.
func (d *Dialer) AwaitsResponse(serverKey, address string, sent time.Time) {
	if !d.Tracker.takeCheck(address, sent, clock.Now()) {
		return
	}
	go d.checkPath(serverKey, address)
}

// checkPath opens a connection to a server, and checks it if it is a direct one.
func (d *Dialer) checkPath(serverKey, address string) {
	conn, err := d.Dial(context.Background(), serverKey, address)
	if err != nil {
		return
	}
	if direct, ok := conn.(*directConn); ok && d.Check != nil {
		conn, err = d.compare(direct, serverKey, address)
	}
	if err == nil && conn != nil {
		d.AddIdle(serverKey, conn)
	}
}

// maxCompared is the number of other boxes by way of which a silent path is compared.
const maxCompared = 2

// compare checks a direct connection. If nothing comes over it in time, the path counts as lost if a connection by way of
// another box carries a response. If none does, the server may be slow, and nothing is concluded.
func (d *Dialer) compare(c *directConn, serverKey, address string) (net.Conn, error) {
	begun := clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout)
	defer cancel()
	err := d.sendCheck(ctx, c.Conn, address, "")
	_ = c.Conn.Close()
	if err == nil {
		d.Tracker.RecordHeard(address, clock.Now())
		return nil, nil
	}
	conn, relayErr := d.dialCompared(serverKey, address)
	if relayErr != nil {
		return nil, err
	}
	d.Tracker.RecordUnanswered(address, FailureOf(err), begun, clock.Now())
	d.bypass(address)
	return conn, nil
}

// dialCompared opens a connection by way of another box that carries a response.
func (d *Dialer) dialCompared(serverKey, address string) (conn net.Conn, err error) {
	err = &UnreachableError{Address: address}
	relays := d.relayOrder(address)
	for _, relay := range relays[:min(len(relays), maxCompared)] {
		if conn, err = d.dialRelay(context.Background(), relay, serverKey, address, RequireResponse); err == nil {
			return conn, nil
		}
	}
	return nil, err
}

// bypass records that another box has connected to a server to which this one could not.
func (d *Dialer) bypass(address string) {
	d.Tracker.RecordRelayed(address, true, clock.Now())
	d.checkOther(address)
}

// checkOther checks the path to another server than the bypassed one at an address, unless servers have sent something
// since. Requests may use the one server alone by way of other boxes, so that they would show the state of no other path.
func (d *Dialer) checkOther(address string) {
	if !d.Tracker.takeControl(address, clock.Now()) {
		return
	}
	for range maxControls {
		key, other, ok := d.OtherServer(address)
		if ok && !d.Tracker.isDown(other, clock.Now()) {
			go d.checkDirect(key, other)
			return
		}
	}
}

// checkDirect checks the direct path to a server. A connection by way of another box that is opened sooner would leave its
// state open.
func (d *Dialer) checkDirect(serverKey, address string) {
	conn, err := d.dialDirect(context.Background(), address, NoCheck)
	switch direct, ok := conn.(*directConn); {
	case err != nil:
		if conn, err = d.dialCompared(serverKey, address); err == nil {
			d.bypass(address)
		}
	case ok && d.Check != nil:
		conn, err = d.compare(direct, serverKey, address)
	}
	if err != nil {
		return
	}
	if !d.Tracker.hasFailed(address) {
		d.Tracker.recordControl(clock.Now())
	}
	if conn != nil {
		d.AddIdle(serverKey, conn)
	}
}

// RetryDirect tries in the background whether the direct path to a server is back, if that is due.
func (d *Dialer) RetryDirect(serverKey, address string) {
	if !d.Tracker.takeRetry(address, clock.Now()) {
		return
	}
	go func() {
		conn, err := d.openDirect(context.Background(), address)
		if err != nil {
			d.checkOther(address)
			return
		}
		d.AddIdle(serverKey, conn)
	}()
}

// isServerRefusal reports whether a relay could not connect to the server as its machine refused that.
func isServerRefusal(err error) bool {
	var refused *tunnel.RefusedError
	return errors.As(err, &refused) && refused.Reason == tunnel.ReasonServerRefused
}

// isUnanswered reports whether a connection was accepted and carried no response.
func isUnanswered(err error) bool {
	var unanswered *CheckError
	return errors.As(err, &unanswered)
}

// DialDirect opens a direct connection over which another box sends requests, and records how that ended. Over a path in
// doubt, the connection must pass a check.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.openDirect(ctx, address)
	if direct, ok := conn.(*directConn); ok {
		direct.eachWrite = true
	}
	return conn, err
}

// openDirect is DialDirect for the requests of this box.
func (d *Dialer) openDirect(ctx context.Context, address string) (net.Conn, error) {
	return d.dialDirect(ctx, address, d.Tracker.CheckModeOf(address, clock.Now()))
}

// dialDirect opens a direct connection and checks it in the given mode.
func (d *Dialer) dialDirect(ctx context.Context, address string, mode CheckMode) (net.Conn, error) {
	start := clock.Now()
	dialCtx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	conn, err := d.Direct(dialCtx, address)
	took := clock.Since(start)
	passed := false
	if err == nil {
		conn, passed, err = d.passCheck(dialCtx, conn, mode, address, "", func() (net.Conn, error) { return d.Direct(dialCtx, address) })
	}
	now := clock.Now()
	switch {
	case err == nil:
		d.Tracker.RecordConnected(address, took, passed, now)
		return &directConn{Conn: conn, awaited: awaited{path: d.Tracker, address: address}}, nil
	case ctx.Err() != nil:
	case isUnanswered(err):
		d.Tracker.RecordUnanswered(address, FailureOf(err), start, now)
	default:
		d.Tracker.RecordFailed(address, FailureOf(err), start, now)
	}
	return nil, err
}

// maxCheckTime limits a check after which a connection counts although nothing came over it.
const maxCheckTime = 150 * time.Millisecond

// passCheck returns a new connection once it has passed a check, and whether it has carried a response. After a check, that is another
// connection over the same path.
func (d *Dialer) passCheck(ctx context.Context, c net.Conn, mode CheckMode, address, via string, again func() (net.Conn, error)) (conn net.Conn, passed bool, err error) {
	if mode == NoCheck || d.Check == nil {
		return c, false, nil
	}
	checkCtx := ctx
	if mode == RejectEnded {
		limited, cancel := context.WithTimeout(ctx, maxCheckTime)
		defer cancel()
		checkCtx = limited
	}
	err = d.sendCheck(checkCtx, c, address, via)
	_ = c.Close()
	var unanswered *CheckError
	passed = err == nil
	if passed && via != "" {
		d.relays.recordCarried(via, clock.Now())
	}
	if errors.As(err, &unanswered) && unanswered.Silent && mode == RejectEnded && ctx.Err() == nil {
		d.Tracker.Trust(address, clock.Now())
		err = nil
	}
	if err != nil {
		return nil, false, err
	}
	conn, err = again()
	return conn, passed, err
}

// sendCheck sends a check over a connection. The error is a *CheckError.
func (d *Dialer) sendCheck(ctx context.Context, c net.Conn, address, via string) error {
	start := clock.Now()
	err := d.Check(ctx, c)
	if err != nil {
		err = &CheckError{Address: address, Via: via, Silent: ctx.Err() != nil, Cause: err}
	}
	now := clock.Now()
	d.Tracker.RecordCheck(err == nil)
	_ = level.Info(d.Logger).Log("msg", "path checked", "address", address, "via", via, "answered", err == nil, "after_ms", now.Sub(start).Milliseconds(), "err", err)
	return err
}

// dialRelay opens a tunnel through a relay.
func (d *Dialer) dialRelay(ctx context.Context, peer Peer, serverKey, address string, mode CheckMode) (net.Conn, error) {
	start, relay := clock.Now(), peer.Address
	dialCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, err := d.Tunnel(dialCtx, relay, address)
	if err == nil && !d.relays.carries(relay, clock.Now()) {
		conn, _, err = d.passCheck(dialCtx, conn, mode, address, relay, func() (net.Conn, error) { return d.Tunnel(dialCtx, relay, address) })
	}
	if err != nil {
		// A relay that is overtaken by the next one is slow.
		if ctx.Err() == nil || clock.Since(start) >= relayStagger {
			d.relays.recordFailed(relay, err, clock.Now())
		}
		return nil, err
	}
	d.tunneled.Add(1)
	d.relays.recordOpened(relay, clock.Now())
	return &tunnelConn{Conn: conn, dialer: d, serverKey: serverKey, relay: peer, awaited: awaited{path: d.Tracker, address: address}}, nil
}

// relayOrder returns the boxes to ask for a connection to an address, in order.
func (d *Dialer) relayOrder(address string) []Peer {
	return d.relays.order(d.Peers(), d.HallOf(address), clock.Now())
}

// ReachesOthers reports whether this box reaches another server than that at an address directly.
func (d *Dialer) ReachesOthers(ctx context.Context, address string) bool {
	for range maxControls {
		key, other, ok := d.OtherServer(address)
		if !ok {
			return true
		}
		if conn, err := d.dialDirect(ctx, other, RequireResponse); err == nil {
			d.AddIdle(key, conn)
			return true
		}
	}
	return false
}
