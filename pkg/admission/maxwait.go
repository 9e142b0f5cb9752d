package admission

import (
	"math"
	"time"

	"headhill.example/headhill/pkg/routing"
)

const (
	// maxWaitTargetsMostUrgent and maxWaitTargetsLeastUrgent are the maximum waits for requests of
	// the most and the least urgent rank, in multiples of the first-event target. Those of the ranks
	// between are interpolated, so that less urgent requests are refused earlier.
	maxWaitTargetsMostUrgent  = 2.5
	maxWaitTargetsLeastUrgent = 0.75
	// maxRaise limits by how much the long target of a less urgent rank raises the maximum wait of a
	// more urgent one with a short target: at 2, a maximum is at most five times the request's own
	// target before its factors apply. Less urgent ranks are limited instead.
	maxRaise = 2.0
	// returningFactor is the factor on the maximum wait of returning callers. A second refusal wastes
	// what the caller has waited, and leaves it too little time for a third attempt.
	returningFactor = 1.6
	// minWaitFactor and maxWaitFactor limit Request.WaitFactor, and maxTotalFactor its product with
	// returningFactor, so that no request waits for more than four times the target that its
	// maximum is derived from (2.5 times 1.6).
	minWaitFactor  = 0.5
	maxWaitFactor  = 1.5
	maxTotalFactor = 1.6
)

// waits are maximum waits of a rank in nanoseconds: the lowest and the highest of its requests, and
// that of the request to be decided. It is zero for a rank that no request has.
type waits struct{ low, own, high float64 }

func (w waits) used() bool { return w.high > 0 }

// rankWaits holds the maximum waits of a service's requests by rank.
type rankWaits [routing.MaxRank + 1]waits

// MaxWait returns the maximum wait of a request at the engines, or zero if it is not limited.
//
// The factors of a request move its maximum only within the range of its rank. The range ends at the
// geometric mean of the rank's maximum and that of the neighbouring rank, so that a more urgent
// request never has a lower maximum than a less urgent one, whatever the factors of both are.
func MaxWait(r Request, s Service, p Policy) time.Duration {
	var all rankWaits
	all.derive(r, s, p)
	all.limit()
	all.raise()
	wait := all[r.Rank].own
	if factor := r.factor(p); factor != 1 {
		low, high := all.span(r.Rank)
		wait = min(max(wait*factor, low), high)
	}
	return time.Duration(wait)
}

// factor returns the factor on the maximum wait of the request.
func (r Request) factor(p Policy) float64 {
	factor := 1.0
	if r.WaitFactor > 0 {
		factor = min(max(r.WaitFactor, minWaitFactor), maxWaitFactor)
	}
	if p.Turns && r.Returning() {
		factor = min(factor*returningFactor, maxTotalFactor)
	}
	return factor
}

// derive sets the waits of each rank to multiples of its targets.
func (w *rankWaits) derive(r Request, s Service, p Policy) {
	own := s.Target
	if p.OwnTarget && r.Target > 0 {
		own = r.Target
	}
	for rank := range w {
		var targets routing.TargetRange
		if s.RankTargets != nil {
			targets = s.RankTargets[rank]
		}
		if rank == r.Rank {
			targets = targets.Include(own)
		}
		if !p.OwnTarget && targets.Shortest > 0 {
			targets = routing.TargetRange{Shortest: s.Target, Longest: s.Target}
		}
		multiple := interpolateByRank(rank, s.LeastUrgentRank, maxWaitTargetsMostUrgent, maxWaitTargetsLeastUrgent)
		w[rank] = waits{low: multiple * float64(targets.Shortest), high: multiple * float64(targets.Longest)}
		if rank == r.Rank {
			w[rank].own = multiple * float64(own)
		}
	}
}

// limit lowers the waits of each rank to maxRaise times the lowest of any more urgent rank.
func (w *rankWaits) limit() {
	limit := math.Inf(1)
	for rank, v := range w {
		if !v.used() {
			continue
		}
		w[rank] = waits{low: min(v.low, limit), own: min(v.own, limit), high: min(v.high, limit)}
		limit = min(limit, maxRaise*v.low)
	}
}

// raise raises the waits of each rank to at least the highest of any less urgent rank.
func (w *rankWaits) raise() {
	highest := 0.0
	for rank := len(w) - 1; rank >= 0; rank-- {
		if v := w[rank]; v.used() {
			w[rank] = waits{low: max(v.low, highest), own: max(v.own, highest), high: max(v.high, highest)}
			highest = w[rank].high
		}
	}
}

// span returns the limits within which factors move the waits of a rank.
func (w *rankWaits) span(rank int) (low, high float64) {
	high = math.Inf(1)
	for more := rank - 1; more >= 0; more-- {
		if w[more].used() {
			high = math.Sqrt(w[more].low * w[rank].high)
			break
		}
	}
	for less := rank + 1; less < len(w); less++ {
		if w[less].used() {
			low = math.Sqrt(w[rank].low * w[less].high)
			break
		}
	}
	return low, high
}
