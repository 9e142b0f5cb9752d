// Package mailbox holds messages on their way to a slower reader, in order and
// within a bound.
package mailbox

import (
	"context"
	"sync"
)

const (
	// MaxMessages bounds the messages waiting; beyond it the mailbox breaks, and its
	// two sides have to agree anew.
	MaxMessages = 1 << 16
	// MaxBatch bounds the messages taken at a time.
	MaxBatch = 256
)

// Mailbox is a queue with any number of writers and one reader.
type Mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	wake   chan struct{}
	most   int
	broken bool
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] { return &Mailbox[T]{wake: make(chan struct{}, 1), most: MaxMessages} }

// NewUnbounded returns an empty mailbox that never breaks, for a reader in the same
// process: there is no other side to agree with anew.
func NewUnbounded[T any]() *Mailbox[T] { return &Mailbox[T]{wake: make(chan struct{}, 1)} }

// Put adds a message without waiting; false means that the mailbox is broken.
func (m *Mailbox[T]) Put(v T) bool {
	m.mu.Lock()
	if m.most > 0 && len(m.items) >= m.most {
		m.broken = true
	}
	ok := !m.broken
	if ok {
		m.items = append(m.items, v)
	}
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return ok
}

// Take waits for messages and returns up to MaxBatch; false means that ctx ended
// or the mailbox broke.
func (m *Mailbox[T]) Take(ctx context.Context) ([]T, bool) {
	for {
		m.mu.Lock()
		if m.broken {
			m.mu.Unlock()
			return nil, false
		}
		if n := min(len(m.items), MaxBatch); n > 0 {
			batch := append([]T(nil), m.items[:n]...)
			m.items = m.items[n:]
			if len(m.items) == 0 {
				m.items = nil
			}
			m.mu.Unlock()
			return batch, true
		}
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false
		case <-m.wake:
		}
	}
}
