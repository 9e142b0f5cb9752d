package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"headhill.example/headhill/pkg/clock"
)

const (
	// defaultIdleTimeout applies to connections whose server declares no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's Keep-Alive timeout, so that no request is sent
	// while the server closes the connection.
	idleMargin       = time.Second
	sweepInterval    = 2 * time.Second
	maxIdlePerServer = 32
	// queriedIdleTime is how long a connection that has carried a query is kept for requests at least.
	queriedIdleTime = 50 * time.Millisecond
	// closedInterval is how often idle connections are checked for a close by the server.
	closedInterval = 200 * time.Millisecond
)

// pool holds idle connections by server key.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newPool() *pool { return &pool{idle: make(map[string][]*conn)} }

// take removes and returns the most recently used connection that can be reused, or nil. A query gets none that has carried one, as
// copies of their responses can't be told. closed are those that the server has closed before their idle timeout.
func (p *pool) take(key string, now time.Time, query bool) (reusable *conn, closed []*conn) {
	for {
		c := p.pop(key, query)
		if c == nil {
			return nil, closed
		}
		expired := c.expired(now)
		if !expired && c.reusable() {
			return c, closed
		}
		if c.peerClosed {
			closed = append(closed, c)
		}
		c.Close()
	}
}

// HasIdle reports whether the client has an idle connection to a server that has not reached its
// idle timeout. The server may have closed it meanwhile.
func (c *Client) HasIdle(key string, now time.Time) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return slices.ContainsFunc(c.pool.idle[key], func(idle *conn) bool { return !idle.expired(now) })
}

func (p *pool) pop(key string, query bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	for i, c := range slices.Backward(conns) {
		if !query || !c.queried {
			p.idle[key] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// put adds an idle connection, or closes it if the server has maxIdlePerServer already. One that has carried a query replaces those that no
// request has taken since theirs: the next query takes none of them either.
func (p *pool) put(key string, c *conn) {
	var closed []*conn
	p.mu.Lock()
	if c.queried {
		p.idle[key] = slices.DeleteFunc(p.idle[key], func(other *conn) bool {
			unused := other.queried && c.idleSince.Sub(other.idleSince) > queriedIdleTime
			if unused {
				closed = append(closed, other)
			}
			return unused
		})
	}
	if len(p.idle[key]) < maxIdlePerServer {
		p.idle[key] = append(p.idle[key], c)
	} else {
		closed = append(closed, c)
	}
	p.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
}

// sweep closes the connections that have reached their idle timeout, and those by way of other boxes that
// can't be reused, as a box that is shutting down waits for them.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if !c.expired(now) && (c.via() == "" || c.reusable()) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// removeClosed closes the connections that can't be reused, and returns those that servers have closed before their idle timeout.
// It skips those that need not be reported as yet, as each check is a system call.
func (p *pool) removeClosed(now time.Time) (closed []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idle {
		p.idle[key] = slices.DeleteFunc(conns, func(c *conn) bool {
			if c.onIdleClosed == nil || c.reportOnReuse || c.expired(now) || c.reusable() {
				return false
			}
			if c.peerClosed {
				closed = append(closed, c)
			}
			c.Close()
			return true
		})
		if len(p.idle[key]) == 0 {
			delete(p.idle, key)
		}
	}
	return closed
}

// reportClosed reports connections that servers have closed while they were idle.
func reportClosed(closed []*conn) {
	for _, c := range closed {
		if c.onIdleClosed != nil {
			c.onIdleClosed(c.opened)
		}
	}
}

// Run closes expired idle connections, and looks for closed ones, until ctx is done, and then closes all idle connections.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	closedTicker := time.NewTicker(closedInterval)
	defer closedTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.pool.sweep(clock.Now().Add(time.Hour))
			return
		case <-closedTicker.C:
			reportClosed(c.pool.removeClosed(clock.Now()))
		case <-ticker.C:
			c.pool.sweep(clock.Now())
		}
	}
}
