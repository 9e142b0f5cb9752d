package serverpath

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// minUnreached is the number of servers to which direct connections fail, with no success in between,
// from which on this box rather than the servers is taken to be the cause.
const minUnreached = 3

// Failure is the manner in which a direct connection failed.
type Failure int

// Manners of failures.
const (
	// FailureSilent means that nothing answered.
	FailureSilent Failure = iota
	// FailureRefused means that the connection was refused or reset.
	FailureRefused
)

// String implements fmt.Stringer.
func (f Failure) String() string { return [...]string{"silent", "refused"}[f] }

// FailureOf returns the manner in which a dial failed.
func FailureOf(err error) Failure {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return FailureRefused
	}
	return FailureSilent
}

// Tracker records which servers this box reaches by direct connections.
type Tracker struct {
	logger log.Logger

	mu sync.Mutex
	// unreached holds the servers to which direct connections failed since the last success.
	unreached map[string]bool
	// isolatedSince is when the box lost its links to the servers; zero while it has them.
	isolatedSince time.Time
	reached       int64
	failures      map[Failure]int64
}

// NewTracker returns a tracker of a box that reaches all servers.
func NewTracker(logger log.Logger) *Tracker {
	return &Tracker{logger: logger, unreached: make(map[string]bool), failures: make(map[Failure]int64)}
}

// RecordConnected records that a direct connection to a server was opened.
func (t *Tracker) RecordConnected(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reached++
	clear(t.unreached)
	if !t.isolatedSince.IsZero() {
		_ = level.Info(t.logger).Log("msg", "servers reachable again", "server", server, "after", now.Sub(t.isolatedSince))
		t.isolatedSince = time.Time{}
	}
}

// RecordFailed records that a direct connection to a server failed.
func (t *Tracker) RecordFailed(server string, f Failure, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures[f]++
	t.unreached[server] = true
	if t.isolatedSince.IsZero() && len(t.unreached) >= minUnreached {
		t.isolatedSince = now
		_ = level.Warn(t.logger).Log("msg", "no server reachable from this box", "servers", len(t.unreached), "last", server, "failure", f)
	}
}

// Isolated reports whether the box has lost its links to the servers.
func (t *Tracker) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.isolatedSince.IsZero()
}

// Dials returns the number of direct connections by how they ended, since the start.
func (t *Tracker) Dials() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int64{"connected": t.reached}
	for _, f := range []Failure{FailureSilent, FailureRefused} {
		counts[f.String()] = t.failures[f]
	}
	return counts
}
