// Package mailbox provides a bounded in-order message queue that never blocks its writers.
package mailbox

import (
	"context"
	"sync"
)

const (
	// MaxMessages is the capacity of a bounded mailbox. A write beyond it makes the mailbox
	// overflow for good, and sender and receiver must resynchronize over a new one.
	MaxMessages = 1 << 16
	// MaxBatch is the maximum number of messages returned by one Take.
	MaxBatch = 256
)

// Mailbox is a queue with any number of writers and one reader.
type Mailbox[T any] struct {
	mu         sync.Mutex
	items      []T
	wake       chan struct{}
	limit      int
	overflowed bool
}

// New returns an empty mailbox that holds up to MaxMessages.
func New[T any]() *Mailbox[T] { return &Mailbox[T]{wake: make(chan struct{}, 1), limit: MaxMessages} }

// NewUnbounded returns an empty mailbox that never overflows, for a reader in the same process,
// which has no way to resynchronize.
func NewUnbounded[T any]() *Mailbox[T] { return &Mailbox[T]{wake: make(chan struct{}, 1)} }

// Put appends a message without blocking. It returns false if the mailbox has overflowed.
func (m *Mailbox[T]) Put(v T) bool {
	m.mu.Lock()
	if m.limit > 0 && len(m.items) >= m.limit {
		m.overflowed = true
	}
	ok := !m.overflowed
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

// Take blocks until messages are available and returns up to MaxBatch of them. It returns false
// if ctx is done or the mailbox has overflowed.
func (m *Mailbox[T]) Take(ctx context.Context) ([]T, bool) {
	for {
		m.mu.Lock()
		if m.overflowed {
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
