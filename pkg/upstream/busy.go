package upstream

import (
	"sync"
	"time"
)

// busyConns holds the connections that carry an exchange, by server key.
type busyConns struct {
	mu    sync.Mutex
	byKey map[string]map[*conn]struct{}
}

func (b *busyConns) add(key string, c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byKey == nil {
		b.byKey = make(map[string]map[*conn]struct{})
	}
	if b.byKey[key] == nil {
		b.byKey[key] = make(map[*conn]struct{})
	}
	b.byKey[key][c] = struct{}{}
}

func (b *busyConns) remove(key string, c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byKey[key], c)
	if len(b.byKey[key]) == 0 {
		delete(b.byKey, key)
	}
}

// hasOther reports whether another connection than own to a server carries an exchange.
func (b *busyConns) hasOther(key string, own *conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for open := range b.byKey[key] {
		if open != own {
			return true
		}
	}
	return false
}

// InUse returns the number of connections to a server that carry an exchange.
func (c *Client) InUse(serverKey string) int {
	c.busy.mu.Lock()
	defer c.busy.mu.Unlock()
	return len(c.busy.byKey[serverKey])
}

// Carries reports whether a connection to a server that was opened before a time carries an exchange, and the process to which it
// leads ran after another, as it has answered a request that was sent since.
func (c *Client) Carries(serverKey string, openedBefore, ranAfter time.Time) bool {
	c.busy.mu.Lock()
	defer c.busy.mu.Unlock()
	for open := range c.busy.byKey[serverKey] {
		if open.opened.Before(openedBefore) && open.span().until.After(ranAfter) {
			return true
		}
	}
	return false
}
