package admission

import (
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Request is a request to be admitted.
type Request struct {
	// Rank is the urgency, from 0 (most urgent) to routing.MaxRank.
	Rank int
	// Target is the first-event target of the request's route, or zero if it has none.
	Target time.Duration
	// Waited is the part of the route's timeout that the caller had used up when it sent the
	// request, or zero if the caller does not state its time.
	Waited time.Duration
	// WaitFactor is the factor on the maximum wait that follows from what the organisation of the
	// request has used. Zero counts as 1.
	WaitFactor float64
}

// returningAfter is how much of its time a caller must have used up to count as returning. It is
// below minRetryAfter, after which refused callers return at the earliest, and above the time that a
// request takes from its caller to a box.
const returningAfter = 250 * time.Millisecond

// Returning reports whether the caller has probably been refused before.
func (r Request) Returning() bool { return r.Waited >= returningAfter }

// Service describes the requests to a service.
type Service struct {
	// LeastUrgentRank is the least urgent rank of all requests.
	LeastUrgentRank int
	// Target is the shortest first-event target of the routes to the service, or zero if none has
	// one: the wait is not limited then.
	Target time.Duration
	// RankTargets are the targets of the requests to the service by rank. It may be nil if only one
	// rank uses the service.
	RankTargets *routing.RankTargets
}

// State is the state of a service's engines.
type State struct {
	// Wait is how long the engines need for what they prefill before the request. It is unknown
	// unless WaitKnown is set.
	Wait      time.Duration
	WaitKnown bool
	// Overtakes reports that engines prefill the request before most of what waits, so that it needs
	// no free slot.
	Overtakes bool
	// FreeSlot reports whether an engine has a slot for the rank of the request. It is called only
	// if the decision depends on it.
	FreeSlot func() bool
	// SlotsReserved reports that slots are reserved for more urgent requests than this one.
	SlotsReserved bool
}

// Policy switches optional parts of the decision on.
type Policy struct {
	// OwnTarget derives the maximum wait from the target of the request's own route. Otherwise the
	// shortest target of the service applies to all.
	OwnTarget bool
	// Turns lets returning callers wait longer, and spaces the return of refused ones.
	Turns bool
	// NeedSlot admits requests for which slots are reserved only to a free one, also those that
	// engines prefill before most of what waits: on a full engine, these would preempt running
	// requests.
	NeedSlot bool
}

// Reason is the reason of a refusal.
type Reason string

// Reasons of refusals.
const (
	// ReasonLate is that the request would wait longer than its maximum.
	ReasonLate Reason = "late"
	// ReasonNoSlot is that no engine has a free slot for the request's rank.
	ReasonNoSlot Reason = "no-slot"
)

// Decision is the result of Decide.
type Decision struct {
	Admit bool
	// Reason is empty if the request is admitted.
	Reason Reason
	// MaxWait is the maximum wait of the request, or zero if it is not limited.
	MaxWait time.Duration
}

// Decide decides whether a request is admitted. A request that would wait for longer than its
// maximum misses its target and delays others. Engines prefill urgent requests first, and the
// maximum of a rank is at least that of any less urgent one, so the least urgent are refused first.
func Decide(r Request, s Service, state State, p Policy) Decision {
	d := Decision{MaxWait: MaxWait(r, s, p)}
	needsSlot := !state.Overtakes || p.NeedSlot && state.SlotsReserved
	switch {
	case state.WaitKnown && d.MaxWait > 0 && state.Wait > d.MaxWait:
		d.Reason = ReasonLate
	case needsSlot && !state.FreeSlot():
		d.Reason = ReasonNoSlot
	default:
		d.Admit = true
	}
	return d
}

const (
	// maxOccupancyMostUrgent and maxOccupancyLeastUrgent are the shares of an engine's slots that
	// may be in use for a request of the most and the least urgent rank to be admitted. The last
	// slots are reserved for urgent requests, as a full engine has to preempt running work for
	// them.
	maxOccupancyMostUrgent  = 1.0
	maxOccupancyLeastUrgent = 0.6
)

// MaxOccupancy returns the share of an engine's slots that may be in use for a request of a rank to
// be sent there. Slots are reserved only while more urgent requests arrive (moreUrgentSeen).
func MaxOccupancy(rank, leastUrgentRank int, moreUrgentSeen bool) float64 {
	if !moreUrgentSeen {
		return maxOccupancyMostUrgent
	}
	return interpolateByRank(rank, leastUrgentRank, maxOccupancyMostUrgent, maxOccupancyLeastUrgent)
}

// interpolateByRank interpolates between the values for the most and the least urgent rank.
func interpolateByRank(rank, leastUrgentRank int, mostUrgent, leastUrgent float64) float64 {
	if leastUrgentRank == 0 {
		return mostUrgent
	}
	return mostUrgent - (mostUrgent-leastUrgent)*float64(rank)/float64(leastUrgentRank)
}
