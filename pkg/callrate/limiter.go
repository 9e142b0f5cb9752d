// Package callrate limits the rate of store calls. The budget of the fleet is divided evenly among
// the boxes.
package callrate

import (
	"context"
	"sync/atomic"

	"golang.org/x/time/rate"

	"headhill.example/headhill/pkg/inifile"
)

// Budget is a rate of store calls.
type Budget struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// DefaultBudget is the budget of the whole fleet if the settings specify none.
var DefaultBudget = Budget{ReadsPerSecond: 2000, WritesPerSecond: 400}

// maxPerSecond is the maximum rate accepted in the settings.
const maxPerSecond = 1e6

// ReadSettings reads the rates from a section of the settings file.
func ReadSettings(s *inifile.Section, b *Budget) {
	s.Float("reads-per-second", &b.ReadsPerSecond, 1, maxPerSecond)
	s.Float("writes-per-second", &b.WritesPerSecond, 1, maxPerSecond)
}

const (
	// minReadsPerSecond and minWritesPerSecond are the minimum share of a box, so that it makes
	// progress even in a very large fleet.
	minReadsPerSecond  = 0.5
	minWritesPerSecond = 0.2
	// minBurst allows a starting box to read its configuration without delay.
	minBurst = 10
)

// Share returns the share of one box in a fleet of the given size.
func (b Budget) Share(boxes int) Budget {
	n := float64(max(1, boxes))
	return Budget{ReadsPerSecond: max(b.ReadsPerSecond/n, minReadsPerSecond), WritesPerSecond: max(b.WritesPerSecond/n, minWritesPerSecond)}
}

// Calls holds the number of calls by kind.
type Calls struct {
	Reads, Writes uint64
}

// Limiter delays store calls to keep them within a budget.
type Limiter struct {
	reads, writes         *rate.Limiter
	readCalls, writeCalls atomic.Uint64
}

// New returns a Limiter for a budget.
func New(b Budget) *Limiter {
	return &Limiter{
		reads:  rate.NewLimiter(rate.Limit(b.ReadsPerSecond), burst(b.ReadsPerSecond)),
		writes: rate.NewLimiter(rate.Limit(b.WritesPerSecond), burst(b.WritesPerSecond)),
	}
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond)) }

// SetBudget changes the budget, for example when the number of boxes changes.
func (l *Limiter) SetBudget(b Budget) {
	l.reads.SetLimit(rate.Limit(b.ReadsPerSecond))
	l.reads.SetBurst(burst(b.ReadsPerSecond))
	l.writes.SetLimit(rate.Limit(b.WritesPerSecond))
	l.writes.SetBurst(burst(b.WritesPerSecond))
}

// Wait counts a call and blocks until it may be made. It returns an error if ctx ends first.
func (l *Limiter) Wait(ctx context.Context, write bool) error {
	if write {
		l.writeCalls.Add(1)
		return l.writes.Wait(ctx)
	}
	l.readCalls.Add(1)
	return l.reads.Wait(ctx)
}

// Calls returns the number of calls counted so far.
func (l *Limiter) Calls() Calls {
	return Calls{Reads: l.readCalls.Load(), Writes: l.writeCalls.Load()}
}
