package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"headhill.example/headhill/pkg/clock"
)

// State is the state of a server's process as found by a probe.
type State int

// States of servers.
const (
	// StateUnknown means that the probe failed or timed out.
	StateUnknown State = iota
	// StateUp means that the address accepts connections.
	StateUp
	// StateExited means that the machine refuses connections to the address.
	StateExited
)

// String implements fmt.Stringer.
func (s State) String() string { return [...]string{"unknown", "up", "ended"}[s] }

const (
	// probeTimeout leaves time for a retransmission, which TCP sends after one second.
	probeTimeout = 2500 * time.Millisecond
	// probeCacheTTL is how long the result of a probe is reused for the same server, whose
	// connections all break within milliseconds of its exit.
	probeCacheTTL = 200 * time.Millisecond
)

// probes holds the probes that are in flight or were completed recently.
type probes struct {
	mu       sync.Mutex
	byServer map[string]*Probe
}

// Probe is a check of a server's process, shared by concurrent callers.
type Probe struct {
	// Done is closed once State is set.
	Done  chan struct{}
	State State
	began time.Time
}

// Probe checks whether the process of a server still runs by opening a connection to it. It joins
// a probe of the same server that is in flight or was completed recently.
func (c *Client) Probe(server, address string) *Probe {
	return c.ProbeSince(server, address, time.Time{})
}

// ProbeSince is like Probe, but does not join a probe that began before a time: its result may be from before an event
// at that time.
func (c *Client) ProbeSince(server, address string, since time.Time) *Probe {
	c.probes.mu.Lock()
	defer c.probes.mu.Unlock()
	if p, ok := c.probes.byServer[server]; ok && !p.began.Before(since) {
		return p
	}
	p := &Probe{Done: make(chan struct{}), began: clock.Now()}
	c.probes.byServer[server] = p
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		p.State = c.dialer.Probe(ctx, server, address)
		close(p.Done)
		time.AfterFunc(probeCacheTTL, func() { c.probes.remove(server, p) })
	}()
	return p
}

func (p *probes) remove(server string, done *Probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byServer[server] == done {
		delete(p.byServer, server)
	}
}

// StateOf returns the state of a server's process as shown by the result of a dial. It closes the
// connection.
func StateOf(conn net.Conn, err error) State {
	switch {
	case err == nil:
		_ = conn.Close()
		return StateUp
	case errors.Is(err, syscall.ECONNREFUSED):
		return StateExited
	}
	return StateUnknown
}
