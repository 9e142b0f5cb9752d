// Package readahead bounds the memory into which a box reads responses ahead of callers that read
// slowly.
package readahead

import (
	"maps"
	"sync"
)

// Cause is the bound at which a stream is stopped.
type Cause string

// Causes. CauseNone means that the stream is not stopped.
const (
	CauseNone         Cause = ""
	CauseCaller       Cause = "caller"
	CauseOrganisation Cause = "organisation"
	// CauseTotal is the bound of all streams together, and of what an organisation may hold near it.
	CauseTotal Cause = "read-ahead"
	// CauseBox is the limit of the box, which has other users of its memory.
	CauseBox Cause = "box"
)

const (
	// unreadPerStream is the number of bytes assumed to wait at a server for each stream that is
	// stopped at a bound. The true number is unknown: it is what the server has produced beyond the
	// connection's receive window, which starts at 64 KiB.
	unreadPerStream = 64 << 10
	// maxUnreadBytes is the number of unread bytes above which a server counts as overfull.
	maxUnreadBytes = 256 << 10
)

// Limits are the bounds of a Ledger, in bytes. An organisation may also hold no more than what all
// streams together leave of Total. With n organisations that take all they may, each holds
// Total/(n+1) and as much stays free, so that one that holds little finds memory.
type Limits struct{ PerCaller, PerOrganisation, Total int64 }

// Pool is the memory of the box, which has other users. Its methods are safe for concurrent use.
type Pool interface {
	// Reserve reserves n bytes and reports whether the limit of the box allows it.
	Reserve(n int64) bool
	// Add reserves n bytes regardless of the limit, or releases them if n is negative.
	Add(n int64)
}

// Ledger accounts for the memory of all streams that are read ahead.
type Ledger struct {
	limits Limits
	pool   Pool

	mu   sync.Mutex
	held int64
	// organisations holds the bytes of each organisation that holds any.
	organisations map[string]int64
	// stopped counts the stopped streams by cause, stoppedByServer by server.
	stopped         map[Cause]int64
	stoppedByServer map[string]int64
}

// NewLedger returns a ledger that takes its memory from pool.
func NewLedger(l Limits, pool Pool) *Ledger {
	return &Ledger{
		limits: l, pool: pool, organisations: make(map[string]int64),
		stopped: make(map[Cause]int64), stoppedByServer: make(map[string]int64),
	}
}

// Account accounts for the memory of one stream.
type Account struct {
	ledger               *Ledger
	organisation, server string
	held                 int64
	stopped              Cause
}

// Open returns an account of a stream that already holds some bytes. Those are counted even if they
// exceed a bound, as the memory is in use.
func (l *Ledger) Open(organisation, server string, held int64) *Account {
	a := &Account{ledger: l, organisation: organisation, server: server}
	l.pool.Add(held)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.add(held)
	return a
}

// Reserve reserves n bytes. It returns the bound that does not allow it, or CauseNone. The stream
// counts as stopped until a reservation succeeds or the account is closed.
func (a *Account) Reserve(n int64) Cause {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	cause := a.exceeded(n)
	if cause == CauseNone && !l.pool.Reserve(n) {
		cause = CauseBox
	}
	if cause == CauseNone {
		a.add(n)
	}
	a.setStopped(cause)
	return cause
}

// exceeded returns the bound of the ledger that n more bytes would exceed.
func (a *Account) exceeded(n int64) Cause {
	l := a.ledger
	organisation, free := l.organisations[a.organisation]+n, l.limits.Total-l.held-n
	switch {
	case a.held+n > l.limits.PerCaller:
		return CauseCaller
	case organisation > l.limits.PerOrganisation:
		return CauseOrganisation
	case organisation > free:
		return CauseTotal
	}
	return CauseNone
}

// Release releases n of the reserved bytes.
func (a *Account) Release(n int64) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	a.add(-n)
	l.pool.Add(-n)
}

// Resume states that the stream is no longer stopped, such as because the server is done.
func (a *Account) Resume() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.setStopped(CauseNone)
}

// Close releases all reserved bytes. The stream no longer counts as stopped.
func (a *Account) Close() {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.Add(-a.held)
	a.add(-a.held)
	a.setStopped(CauseNone)
}

func (a *Account) add(n int64) {
	l := a.ledger
	a.held += n
	l.held += n
	addCount(l.organisations, a.organisation, n)
}

func (a *Account) setStopped(c Cause) {
	l := a.ledger
	if a.stopped != CauseNone {
		addCount(l.stopped, a.stopped, -1)
		addCount(l.stoppedByServer, a.server, -1)
	}
	if a.stopped = c; c != CauseNone {
		addCount(l.stopped, c, 1)
		addCount(l.stoppedByServer, a.server, 1)
	}
}

// addCount adds n to a count and removes it from the map at zero, so that the map does not grow
// with every key ever used.
func addCount[K comparable](m map[K]int64, key K, n int64) {
	if m[key] += n; m[key] == 0 {
		delete(m, key)
	}
}

// Held returns the bytes held by all streams.
func (l *Ledger) Held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Stopped returns the number of streams that are stopped, by cause.
func (l *Ledger) Stopped() map[Cause]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.stopped)
}

// Overfull reports whether more bytes are estimated to wait unread at a server than it should hold.
func (l *Ledger) Overfull(server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stoppedByServer[server]*unreadPerStream > maxUnreadBytes
}

// AnyOverfull reports whether Overfull holds for any server.
func (l *Ledger) AnyOverfull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, streams := range l.stoppedByServer {
		if streams*unreadPerStream > maxUnreadBytes {
			return true
		}
	}
	return false
}
