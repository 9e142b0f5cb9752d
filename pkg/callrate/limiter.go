// Package callrate keeps the calls of all boxes to their store within the rates that
// the store takes from them together: each box has its share.
package callrate

import (
	"context"
	"sync/atomic"

	"golang.org/x/time/rate"

	"headhill.example/headhill/pkg/inifile"
)

// Budget is a number of calls a second.
type Budget struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// DefaultBudget is what the store takes from all boxes together where the settings say
// nothing.
var DefaultBudget = Budget{ReadsPerSecond: 2000, WritesPerSecond: 400}

// mostPerSecond bounds a rate in the settings.
const mostPerSecond = 1e6

// ReadSettings reads the rates from a section of the settings.
func ReadSettings(s *inifile.Section, b *Budget) {
	s.Float("reads-per-second", &b.ReadsPerSecond, 1, mostPerSecond)
	s.Float("writes-per-second", &b.WritesPerSecond, 1, mostPerSecond)
}

const (
	// readsLeast and writesLeast are what a box keeps in however large a fleet, so
	// that it can make progress.
	readsLeast  = 0.5
	writesLeast = 0.2
	// burstLeast lets a starting box read its configuration in one go.
	burstLeast = 10
)

// Share divides a budget among boxes.
func (b Budget) Share(boxes int) Budget {
	n := float64(max(1, boxes))
	return Budget{ReadsPerSecond: max(b.ReadsPerSecond/n, readsLeast), WritesPerSecond: max(b.WritesPerSecond/n, writesLeast)}
}

// Calls counts calls by kind.
type Calls struct {
	Reads, Writes uint64
}

// Limiter makes calls wait for their turn.
type Limiter struct {
	reads, writes         *rate.Limiter
	readCalls, writeCalls atomic.Uint64
}

// New returns a limiter of a budget.
func New(b Budget) *Limiter {
	return &Limiter{
		reads:  rate.NewLimiter(rate.Limit(b.ReadsPerSecond), burst(b.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(b.WritesPerSecond), burst(b.WritesPerSecond)),
	}
}

func burst(perSecond float64) int { return max(burstLeast, int(perSecond)) }

// SetBudget changes the rates, as when the number of boxes changes.
func (l *Limiter) SetBudget(b Budget) {
	l.reads.SetLimit(rate.Limit(b.ReadsPerSecond))
	l.reads.SetBurst(burst(b.ReadsPerSecond))
	l.writes.SetLimit(rate.Limit(b.WritesPerSecond))
	l.writes.SetBurst(burst(b.WritesPerSecond))
}

// Wait counts a call and returns when it may be made, or with an error if ctx ends
// before that.
func (l *Limiter) Wait(ctx context.Context, write bool) error {
	if write {
		l.writeCalls.Add(1)
		return l.writes.Wait(ctx)
	}
	l.readCalls.Add(1)
	return l.reads.Wait(ctx)
}

// Calls returns the calls counted so far.
func (l *Limiter) Calls() Calls {
	return Calls{Reads: l.readCalls.Load(), Writes: l.writeCalls.Load()}
}
