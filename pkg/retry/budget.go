// Package retry implements the budget for sending a request more than once.
//
// The budget bounds what all boxes retry together, in every window, without any of them knowing what the others
// do. A window that starts at t may hold Ratio times its own requests, or those of the window centered on t,
// whichever are more, plus Slack. Each box allows the mean of the two, of its own requests, plus its share of the
// slack. As all boxes compare with the same spans of time, their parts add up also if load moves between boxes.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limits bound the retries of all boxes together to one service within any window: Ratio of the requests,
// plus Slack.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Budget counts requests and retries of this box by service, and decides on retries.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	share    slackShare
	services map[string]*counter
	totals   Totals
	// rounding is the room from which on a whole retry is allowed, drawn between 0 and 1, so that the fractions
	// of many boxes add up to what they allow together.
	rounding float64
}

// Totals counts decisions since the process started, over all services.
type Totals struct {
	// Charged retries were allowed, Denied ones were not. Sent is the number of retries of which at least
	// a part was written to a server.
	Charged, Denied, Sent int64
}

// Usage is what is counted for a service within the last window.
type Usage struct {
	// Retries are those that were sent or are charged.
	Requests, Retries int
	// Allowed is the number of further retries that the limits allow now.
	Allowed float64
}

// NewBudget returns the budget of a process that starts now.
func NewBudget(l Limits, now time.Time) *Budget {
	return &Budget{limits: l, share: slackShare{started: now}, services: make(map[string]*counter), rounding: 1 - rand.Float64()}
}

// SetLimits replaces the limits. A new window length resets the counts.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		clear(b.services)
	}
	b.limits = l
}

// ObserveRoster records the number of boxes in the roster, this one included. complete is set once the whole
// roster was read.
func (b *Budget) ObserveRoster(boxes int, complete bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.observe(boxes, complete, now)
}

// SetRosterAge sets the function that returns how long ago the store last confirmed what this box knows,
// itself or by way of another box. Without one the roster is taken for current.
func (b *Budget) SetRosterAge(age func(now time.Time) time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.rosterAge = age
}

// Slack returns this box's share of the slack.
func (b *Budget) Slack(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.slack(b.limits, now)
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counter(service, now).requests[0]++
}

// Charge charges a retry to the budget. It returns nil if the limits do not allow it. The retry counts until it
// is sent, and for a window from then on; one that is not sent must be released.
func (b *Budget) Charge(service string, now time.Time) *Retry {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counter(service, now)
	if !b.allows(c, now) {
		b.totals.Denied++
		return nil
	}
	c.charged++
	b.totals.Charged++
	return &Retry{budget: b, service: service, chargedAt: now}
}

// allows reports whether a further retry is within the limits.
func (b *Budget) allows(c *counter, now time.Time) bool {
	return c.room(b.limits.Ratio)+b.share.slack(b.limits, now) >= b.rounding
}

// Usage returns what is counted for a service.
func (b *Budget) Usage(service string, now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counter(service, now)
	return Usage{
		Requests: sum(c.requests[:slotsPerWindow]), Retries: sum(c.retries[:slotsPerWindow]) + int(c.charged),
		Allowed: max(0, c.room(b.limits.Ratio)+b.share.slack(b.limits, now)),
	}
}

// Totals returns the counts of decisions.
func (b *Budget) Totals() Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}

func (b *Budget) counter(service string, now time.Time) *counter {
	c, ok := b.services[service]
	if !ok {
		c = &counter{}
		b.services[service] = c
	}
	c.advance(now, b.limits.Window/slotsPerWindow)
	return c
}

// Retry is a retry that was charged to a budget.
type Retry struct {
	budget    *Budget
	service   string
	chargedAt time.Time
	// settled is set once the retry was sent or released.
	settled bool
}

// Send must be called just before the retry is written to a server. It reports whether the retry may be sent:
// the requests that allowed it may have left the window since it was charged. A retry is sent at most once.
func (r *Retry) Send(now time.Time) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.settled {
		return false
	}
	r.settled = true
	c := b.counter(r.service, now)
	c.release()
	if !b.allows(c, now) {
		b.totals.Denied++
		return false
	}
	c.retries[0]++
	b.totals.Sent++
	return true
}

// Release returns the charge of a retry that was not sent. It does nothing for one that was, or for nil.
func (r *Retry) Release(now time.Time) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.settled {
		r.settled = true
		c := r.budget.counter(r.service, now)
		c.release()
	}
}

// ChargedAt returns when the retry was charged.
func (r *Retry) ChargedAt() time.Time { return r.chargedAt }
