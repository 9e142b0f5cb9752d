package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// PendingPrefill is the number of tokens waiting to be prefilled, by request rank.
type PendingPrefill [routing.MaxRank + 1]int

// add adds tokens of a rank; a negative number removes them.
func (p *PendingPrefill) add(rank, tokens int) { p[rank] = max(0, p[rank]+tokens) }

// plus returns the sum of p and o.
func (p PendingPrefill) plus(o PendingPrefill) PendingPrefill {
	for rank := range p {
		p[rank] += o[rank]
	}
	return p
}

// minus returns p without o. Counts do not go below zero, as o may be more recent than p.
func (p PendingPrefill) minus(o PendingPrefill) PendingPrefill {
	for rank := range p {
		p[rank] = max(0, p[rank]-o[rank])
	}
	return p
}

// aheadOf returns the tokens that are prefilled before those of a new request of the rank: engines
// serve lower ranks first, and requests of equal rank in order of arrival.
func (p *PendingPrefill) aheadOf(rank int) int {
	sum := 0
	for _, tokens := range p[:rank+1] {
		sum += tokens
	}
	return sum
}

// QueueEstimate is the expected queueing of a new request at the engines of a service.
type QueueEstimate struct {
	// Wait is how long the engines need to prefill what is ahead of the request.
	Wait time.Duration
	// Overtakes reports that more tokens are queued behind the request than ahead of it: engines
	// prefill it before less urgent requests that already occupy slots.
	Overtakes bool
	// MoreUrgentSeen reports that more urgent requests arrived recently, so that slots should be
	// reserved for them.
	MoreUrgentSeen bool
}

const (
	// urgentWindow is how long a request counts as a recent arrival of its rank.
	urgentWindow = 10 * time.Second
	// minSlotsToReserve is the number of slots below which an engine reserves none: a share of so
	// few is only one or two slots, and waiting for one is short.
	minSlotsToReserve = 8
	// minOccupancyLimit is the lowest occupancy limit of any rank, occupancyStep the step by which
	// limits are raised: one or two slots of an engine.
	minOccupancyLimit = 0.6
	occupancyStep     = 0.1
)

// rankArrivals records when requests of each rank arrived at this box.
type rankArrivals struct {
	// first is the time of the first arrival of any rank, latest the last one of each rank.
	first  time.Time
	latest [routing.MaxRank + 1]time.Time
}

func (a *rankArrivals) record(rank int, now time.Time) {
	if a.first.IsZero() {
		a.first = now
	}
	a.latest[rank] = now
}

// moreUrgentSeen reports whether requests more urgent than the rank arrived within urgentWindow. A
// box that has observed arrivals for less than that assumes that they did, because most overloads
// hit boxes that have just started.
func (a *rankArrivals) moreUrgentSeen(rank int, now time.Time) bool {
	if rank > 0 && now.Sub(a.first) < urgentWindow {
		return true
	}
	for _, at := range a.latest[:rank] {
		if !at.IsZero() && now.Sub(at) < urgentWindow {
			return true
		}
	}
	return false
}

// EstimateQueue records the arrival of a request and estimates its queueing at the engines of a
// service, given the number of servers that accept work. It returns false if the prefill speed is
// unknown.
func (b *Balancer) EstimateQueue(service string, rank, servers int, now time.Time) (QueueEstimate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.statsOf(service)
	stats.arrivals.record(rank, now)
	estimate := QueueEstimate{MoreUrgentSeen: stats.arrivals.moreUrgentSeen(rank, now)}
	demand := stats.demand(now)
	if b.peerLoadsFresh(now) {
		demand = demand.Plus(stats.peers)
	}
	speed := demand.speed() * float64(servers)
	if speed == 0 {
		return estimate, false
	}
	ahead, total := demand.PendingPrefill.aheadOf(rank), demand.PendingPrefill.aheadOf(routing.MaxRank)
	estimate.Wait = time.Duration(float64(ahead) / speed * float64(time.Second))
	estimate.Overtakes = total-ahead > ahead
	return estimate, true
}

// hasFreeSlot reports whether the server's occupancy permits a request with the given limit.
func hasFreeSlot(s *routing.Server, l Load, maxOccupancy float64) bool {
	return s.Slots < minSlotsToReserve || float64(l.Running) < maxOccupancy*float64(s.Slots)
}

// withFreeSlots filters out engines whose occupancy exceeds the limit for the query. If none remain,
// it returns all choices.
func withFreeSlots(q Query, choices []choice) []choice {
	if !q.Engine || q.MaxOccupancy == 0 {
		return choices
	}
	eligible := belowOccupancy(choices, func(*choice) float64 { return q.MaxOccupancy })
	if len(eligible) == 0 {
		return choices
	}
	return eligible
}

// withRoomFor is like withFreeSlots, but raises the limits, at most to all slots, until the requests
// that other boxes have sent unreported find room as well. Where one engine is below the limit, it
// would otherwise get everything that all boxes send in the meantime.
func withRoomFor(unreported float64, q Query, l lane, choices []choice) []choice {
	if !q.Engine || q.MaxOccupancy == 0 {
		return choices
	}
	for raised := 0.0; raised < 1-minOccupancyLimit; raised += occupancyStep {
		limit := func(c *choice) float64 { return min(1, l.maxOccupancy(q, c.state.key)+raised) }
		if free := freeSlotsOf(choices, limit); free > 0 && free >= unreported {
			return belowOccupancy(choices, limit)
		}
	}
	return withFreeSlots(Query{Engine: true, MaxOccupancy: 1}, choices)
}

// belowOccupancy returns the engines whose occupancy is below their limit.
func belowOccupancy(choices []choice, limit func(*choice) float64) []choice {
	eligible := make([]choice, 0, len(choices))
	for i := range choices {
		if c := &choices[i]; hasFreeSlot(c.Server, c.load, limit(c)) {
			eligible = append(eligible, *c)
		}
	}
	return eligible
}

// freeSlotsOf returns how many slots all choices together have free below their limits.
func freeSlotsOf(choices []choice, limit func(*choice) float64) float64 {
	free := 0.0
	for i := range choices {
		c := &choices[i]
		free += max(0, freeSlots(c.Server, c.load, limit(c)))
	}
	return free
}

// freeSlots returns how many slots a server has free below an occupancy limit, infinitely many if it
// reserves none. It is negative if more are in use.
func freeSlots(s *routing.Server, l Load, maxOccupancy float64) float64 {
	if s.Slots < minSlotsToReserve {
		return math.Inf(1)
	}
	return maxOccupancy*float64(s.Slots) - float64(l.Running)
}

// HasFreeSlot reports whether any of the servers of a service has a slot for a request limited to
// maxOccupancy. If other boxes have probably sent more requests unreported than there are free
// slots, it does so only with the probability that this request is among those that get one.
func (b *Balancer) HasFreeSlot(service string, servers []routing.Server, maxOccupancy float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	needed, free := rand.Float64()*b.unreportedRequests(service, now), 0.0
	for i := range servers {
		s := &servers[i]
		key := KeyOf(s.Incarnation())
		l := b.peerLoad(key, now)
		if own, ok := b.servers[key]; ok {
			l = l.Plus(own.load())
		}
		if !hasFreeSlot(s, l, maxOccupancy) {
			continue
		}
		// The last slot counts as a whole one: the limit lies between two numbers of slots.
		if free += max(1, freeSlots(s, l, maxOccupancy)); free > needed {
			return true
		}
	}
	return false
}
