package upstream

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

// State is what a probe tells of a server's process.
type State int

// States of servers.
const (
	// StateUnknown: the probe got no answer.
	StateUnknown State = iota
	// StateUp: something accepts connections at the address.
	StateUp
	// StateExited: the machine answers that nobody listens there.
	StateExited
)

// String implements fmt.Stringer.
func (s State) String() string { return [...]string{"unknown", "up", "ended"}[s] }

const (
	// probeMost bounds a probe: a lost packet is sent again after a second.
	probeMost = 2500 * time.Millisecond
	// probeKept is how long the state that a probe found is taken for that of the same
	// server: all its connections break within milliseconds of its end.
	probeKept = 200 * time.Millisecond
)

// probes are the ones under way or just ended, by server.
type probes struct {
	mu   sync.Mutex
	list map[string]*Probe
}

// Probe is a question whether the process of a server runs, shared by all who ask at the time.
type Probe struct {
	// Done is closed when State is known.
	Done  chan struct{}
	State State
}

// Probe finds out whether the process of a server that broke off still runs, by a connection
// that is closed at once.
func (c *Client) Probe(server, address string) *Probe {
	c.probes.mu.Lock()
	defer c.probes.mu.Unlock()
	if p, ok := c.probes.list[server]; ok {
		return p
	}
	p := &Probe{Done: make(chan struct{})}
	c.probes.list[server] = p
	go func() {
		p.State = c.stateOf(address)
		close(p.Done)
		time.AfterFunc(probeKept, func() { c.probes.forget(server) })
	}()
	return p
}

func (p *probes) forget(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.list, server)
}

func (c *Client) stateOf(address string) State {
	conn, err := dialer(probeMost).Dial("tcp", address)
	switch {
	case err == nil:
		// Nothing was sent on it.
		_ = conn.Close()
		return StateUp
	case errors.Is(err, syscall.ECONNREFUSED):
		return StateExited
	}
	return StateUnknown
}
