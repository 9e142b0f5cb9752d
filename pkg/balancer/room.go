package balancer

import (
	"math"
	"time"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// A brittle server fails when it rejects more than a few requests in a second, and may let none wait. The
// boxes therefore divide its slots among themselves: each box may always use its part, whatever it knows
// of the others. Where there are more boxes than slots, they take turns instead. While few slots are in
// use, a box may exceed its part, as boxes do not get equally many requests. A place that others count as
// used goes to the box's next request.

const (
	// roomReserve is the fraction of a brittle server's slots and memory that is left free, for requests
	// whose end the box sees before the server does and for boxes with different lists of boxes.
	roomReserve = 1.0 / 8
	// borrowShare is the fraction of the slots and the memory up to which boxes may exceed their parts.
	// The others may begin to use all of theirs before they learn of that. Up to loneBorrowShare, a box
	// may exceed its part by one request in a turn while few requests come to its service.
	borrowShare     = 0.25
	loneBorrowShare = 0.5
	// reportLag is the time within which boxes learn of each other's requests.
	reportLag = 100 * time.Millisecond
	// turnLength is the time for which the free slots are divided anew among more boxes than slots. They
	// are used in the first part of it, so that all boxes know of that when the next turn begins.
	turnLength = 2 * reportLag
	// rejectionHold is how long the box that was rejected by a brittle server sends it nothing, and how
	// long no box sends it more than it has room for by the reports of all.
	rejectionHold = time.Second
	// unreportedDeviations is the number of standard deviations by which the requests that other boxes
	// have sent unreported may exceed their mean.
	unreportedDeviations = 3
	// brittleServiceTTL is how long all servers of a service count as brittle after one of them was
	// considered that is.
	brittleServiceTTL = 5 * time.Second
)

// recordDemand counts a request to a service with brittle servers.
func (b *Balancer) recordDemand(service string, now time.Time) {
	if !b.signals.HasSignals() {
		return
	}
	if stats := b.statsOf(service); !stats.brittleAt.IsZero() {
		stats.requests.record(now)
	}
}

// isBrittle reports whether a candidate is brittle. All servers of a service become brittle at the same
// time, so one that has not answered yet counts as brittle if another one is.
func (b *Balancer) isBrittle(q *Query, state signals.State, now time.Time) bool {
	if !b.signals.HasSignals() || b.limiter == nil {
		return false
	}
	stats := b.statsOf(q.Service)
	if state.Brittle.Set {
		stats.brittleAt = now
	}
	return !stats.brittleAt.IsZero() && now.Sub(stats.brittleAt) < brittleServiceTTL
}

// hasRoom reports whether this box may send a request to a brittle server now.
func (b *Balancer) hasRoom(q *Query, c *routing.Server, s *server, state signals.State, peers Load, now time.Time) bool {
	if now.Before(s.rejectedUntil) {
		return false
	}
	tokens := q.PromptTokens + q.MaxOutputTokens
	total, all := places(c.Slots, q.EngineMemoryTokens, tokens), s.load().Plus(peers)
	known := b.limiter.Boxes() == 1 || b.peerLoadsFresh(now)
	rejected := now.Sub(state.RejectedAt) < rejectionHold
	switch {
	case rejected && (!known || all.Running >= total):
		return false
	case b.limiter.Boxes() <= total && s.running < b.limiter.Share(c.Incarnation(), total):
		return true
	case !known:
		return false
	case !rejected && s.keepsPlace(q, tokens):
		return true
	case b.limiter.Boxes() > total:
		return inTurn(now) && s.usedInTurn(now) < b.limiter.Turn(c.Incarnation(), total-all.Running, turnOf(now))
	}
	return !rejected && b.mayBorrow(q, c, s, all, tokens, now)
}

// keepsPlace reports whether the other boxes count a place at the server as this box's that it does not use any more. A
// request takes it over, so that a place is not out of use until all know that it is free and the next turn begins.
func (s *server) keepsPlace(q *Query, tokens int) bool {
	return s.running < s.reported.Running && (q.EngineMemoryTokens == 0 || s.memoryTokens+tokens <= s.reported.MemoryTokens)
}

// mayBorrow reports whether a brittle server has room for a request beyond this box's part: one that is
// this box's by turns, or one besides those that other boxes have probably sent unreported.
func (b *Balancer) mayBorrow(q *Query, c *routing.Server, s *server, all Load, tokens int, now time.Time) bool {
	left := int(borrowShare*float64(c.Slots)) - all.Running
	if q.EngineMemoryTokens > 0 && tokens > 0 {
		memory := int(borrowShare*float64(q.EngineMemoryTokens)) - all.MemoryTokens
		left = min(left, memory/tokens)
	}
	used := s.usedInTurn(now)
	if used < b.limiter.Turn(c.Incarnation(), left, turnOf(now)) {
		return true
	}
	rate := b.statsOf(q.Service).requests.at(now)
	unreported := rate * float64(b.limiter.Boxes()-1) * reportLag.Seconds() / float64(max(1, len(q.Candidates)))
	return left > 0 && used == 0 && float64(all.Running+1)+unreported+unreportedDeviations*math.Sqrt(unreported) <= loneBorrowShare*float64(c.Slots)
}

// turnOf returns the number of the turn at a time. The turns of boxes whose clocks differ overlap.
func turnOf(now time.Time) int64 { return now.UnixNano() / int64(turnLength) }

// inTurn reports whether slots may be used at a time of a turn.
func inTurn(now time.Time) bool {
	return now.UnixNano()%int64(turnLength) < int64(turnLength-reportLag)
}

// turnUse counts the requests to a brittle server in a turn.
type turnUse struct {
	turn     int64
	requests int
}

func (s *server) usedInTurn(now time.Time) int {
	if s.turnUse.turn != turnOf(now) {
		return 0
	}
	return s.turnUse.requests
}

// useRoom counts a request to a brittle server.
func (s *server) useRoom(now time.Time) {
	s.turnUse = turnUse{turn: turnOf(now), requests: s.usedInTurn(now) + 1}
}

// requestRate is an exponentially decaying rate of requests.
type requestRate struct {
	perSecond float64
	updated   time.Time
}

// requestRateWindow is the time constant of a requestRate.
const requestRateWindow = 500 * time.Millisecond

func (r *requestRate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updated).Seconds()/requestRateWindow.Seconds())
}

func (r *requestRate) record(now time.Time) {
	*r = requestRate{perSecond: r.at(now) + 1/requestRateWindow.Seconds(), updated: now}
}

// places returns how many requests of a size all boxes together may have at a brittle server.
func places(slots, memoryTokens, tokens int) int {
	n := slots - int(roomReserve*float64(slots))
	if memoryTokens > 0 && tokens > 0 {
		n = min(n, int((1-roomReserve)*float64(memoryTokens)/float64(tokens)))
	}
	return max(n, 1)
}
