package serverpath

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
)

// race opens one connection to a server, by several ways at once if need be.
type race struct {
	*Dialer
	ctx                context.Context
	serverKey, address string
	plan               Plan

	// relayCtx is the context of the tunnels that are being opened.
	relayCtx     context.Context
	cancelRelays context.CancelFunc
	// relays are the boxes that have not been asked yet; they are chosen when the first is needed.
	relays  []Peer
	chosen  bool
	results chan attempt
	pending int
	// directTried is set once a direct connection was tried.
	directTried bool
	// asked is the number of boxes that were asked, refusals that of those to which the server's machine
	// refused the connection.
	asked, refusals int
	directErr       error
	relayErr        error
}

// attempt is the result of one way.
type attempt struct {
	conn net.Conn
	err  error
	// relay is the box through which it leads, "" for a direct connection.
	relay string
}

func (d *Dialer) newRace(ctx context.Context, serverKey, address string) *race {
	r := &race{Dialer: d, ctx: ctx, serverKey: serverKey, address: address, plan: d.Tracker.Plan(address, clock.Now()), results: make(chan attempt, maxRelays+1)}
	r.relayCtx, r.cancelRelays = context.WithCancel(ctx)
	return r
}

// run returns the first connection that is opened.
func (r *race) run() (net.Conn, error) {
	if r.plan.Unreachable {
		return nil, &UnreachableError{Address: r.address}
	}
	next := time.NewTimer(r.plan.RelayAfter)
	defer next.Stop()
	if r.plan.Direct {
		r.startDirect()
	}
	if !r.plan.DirectOnly && r.plan.RelayAfter == 0 && r.startRelay() {
		next.Reset(relayStagger)
	}
	for {
		if r.pending == 0 && !r.startRelay() && !r.startDirect() {
			r.recordDown()
			return nil, r.err()
		}
		select {
		case a := <-r.results:
			r.pending--
			if a.err == nil {
				r.won(a)
				return a.conn, nil
			}
			r.record(a)
			r.startRelay()
		case <-next.C:
			// A box that was out of processor time finds both the timer and a result.
			if len(r.results) == 0 {
				r.startRelay()
			}
			next.Reset(relayStagger)
		case <-r.ctx.Done():
			r.abandon()
			return nil, context.Cause(r.ctx)
		}
	}
}

// startDirect tries a direct connection, unless that was done before. It outlives the race, as its
// result tells the state of the path.
func (r *race) startDirect() bool {
	if r.directTried {
		return false
	}
	r.directTried = true
	r.pending++
	go func() {
		conn, err := r.openDirect(context.WithoutCancel(r.ctx), r.address)
		r.results <- attempt{conn: conn, err: err}
	}()
	return true
}

// startRelay asks the next box for a tunnel. It returns false if none is left.
func (r *race) startRelay() bool {
	if r.plan.DirectOnly {
		return false
	}
	if !r.chosen {
		r.chosen, r.relays = true, r.relayOrder(r.address)
	}
	if len(r.relays) == 0 || r.asked == maxRelays || r.refusals == maxRefusals {
		return false
	}
	relay := r.relays[0]
	r.relays = r.relays[1:]
	r.asked++
	r.pending++
	go func() {
		conn, err := r.dialRelay(r.relayCtx, relay, r.serverKey, r.address, r.Tracker.CheckModeOf(r.address, clock.Now()))
		r.results <- attempt{conn: conn, err: err, relay: relay.Address}
	}()
	return true
}

// record records a way that failed.
func (r *race) record(a attempt) {
	if a.relay == "" {
		r.directErr = a.err
		return
	}
	r.relayErr = a.err
	if isServerRefusal(a.err) {
		r.refusals++
	}
}

// recordDown records that the server's machine refuses the connections of other boxes as well, if enough
// have tried. A relay that got no answer may have lost its links, too.
func (r *race) recordDown() {
	if isUnanswered(r.directErr) {
		r.Tracker.RecordUnreachable(r.address, clock.Now())
	}
	if r.directErr != nil && r.refusals >= min(maxRefusals, max(r.asked, 1)) {
		r.Tracker.RecordRelayed(r.address, false, clock.Now())
	}
}

// won ends the race with a connection. The direct connection, if it is still being opened, goes on in
// the background.
func (r *race) won(a attempt) {
	if a.relay != "" {
		if r.directErr != nil {
			r.bypass(r.address)
		}
		_ = level.Debug(r.Logger).Log("msg", "connection leads through another box", "address", r.address, "box", a.relay, "asked", r.asked, "direct", r.directErr)
	}
	r.finishInBackground(a.relay != "")
}

// abandon ends the race without a connection.
func (r *race) abandon() { r.finishInBackground(false) }

// finishInBackground waits for the ways that are still being tried. Direct connections are kept for
// later requests, tunnels are closed.
func (r *race) finishInBackground(relayed bool) {
	r.cancelRelays()
	if r.pending == 0 {
		return
	}
	go func() {
		for ; r.pending > 0; r.pending-- {
			a := <-r.results
			switch {
			case a.err == nil && a.relay == "":
				r.AddIdle(r.serverKey, a.conn)
			case a.err == nil:
				_ = a.conn.Close()
			case a.relay == "" && relayed:
				r.bypass(r.address)
			}
		}
	}()
}

// err returns the error of a race in which no way led to the server.
func (r *race) err() error {
	if r.relayErr == nil {
		return r.directErr
	}
	if r.directErr == nil {
		return r.relayErr
	}
	return fmt.Errorf("%w; by way of another box: %w", r.directErr, r.relayErr)
}
