package balancer

import (
	"math"
	"slices"
	"time"
)

// arrivals are requests that other boxes have probably sent to the engines of a lane since their
// last reports. Boxes that see the same reports choose the same idle engine until the next ones
// arrive: in bursts, ten of them sent a stream each to one engine within 40 ms.
type arrivals struct {
	requests float64
	// tokens is what the engines have to prefill for them.
	tokens float64
}

// scaled returns a share of the arrivals.
func (a arrivals) scaled(share float64) arrivals {
	return arrivals{requests: a.requests * share, tokens: a.tokens * share}
}

// maxUnreported is the age of the oldest arrivals that are expected. Reports arrive twelve times a
// second; if they stop, what was sent earlier has mostly been prefilled, and the estimate would only
// grow until all free slots appear taken.
const maxUnreported = 300 * time.Millisecond

// unreportedArrivals estimates what other boxes have sent in the lane of the query's class since
// their last reports. It is zero if arrivals are not expected by policy, and without valid reports.
func (b *Balancer) unreportedArrivals(q Query, now time.Time) arrivals {
	if !q.Engine || !b.expectsArrivals(now) {
		return arrivals{}
	}
	stats := b.statsOf(q.Service)
	return b.arrivalsIn(stats, stats.classes.interactive(q.Class, now), now)
}

// unreportedRequests estimates how many requests other boxes have sent in both lanes of a service since
// their last reports. Admission compares them with the free slots of all engines, which both lanes use:
// with those of one lane, urgent requests of a busy lane were refused where less urgent ones of the
// other lane were admitted.
func (b *Balancer) unreportedRequests(service string, now time.Time) float64 {
	if !b.expectsArrivals(now) {
		return 0
	}
	stats := b.statsOf(service)
	return b.arrivalsIn(stats, true, now).requests + b.arrivalsIn(stats, false, now).requests
}

// expectsArrivals reports whether unreported arrivals are estimated: by policy, and only with valid
// reports.
func (b *Balancer) expectsArrivals(now time.Time) bool {
	return b.policy.ExpectedArrivals && b.peerLoadsFresh(now)
}

// arrivalsIn estimates the unreported requests of one lane. It is zero for a service that is missing
// in the last reports: its last known demand may be that of a box that is gone.
func (b *Balancer) arrivalsIn(stats *serviceStats, interactive bool, now time.Time) arrivals {
	if !stats.peersAt.Equal(b.peerLoadsAt) {
		return arrivals{}
	}
	// The age is negative if the request waited for the lock while reports arrived.
	age := max(0, min(b.reportAge(now), maxUnreported))
	tokens := stats.peers.inLane(interactive) * age.Seconds()
	return arrivals{requests: tokens / stats.classes.meanPrefill(interactive, now), tokens: tokens}
}

// mayHaveRoom reports whether some engines have more free slots than other boxes have probably sent unreported: these prefer
// the same ones.
func (b *Balancer) mayHaveRoom(q Query, choices []choice, now time.Time) bool {
	if !q.Engine || q.MaxOccupancy == 0 || q.Prefer == nil || !b.peerLoadsFresh(now) {
		return true
	}
	stats := b.statsOf(q.Service)
	unreported := b.arrivalsIn(stats, true, now).requests + b.arrivalsIn(stats, false, now).requests
	return freeSlotsOf(choices, func(*choice) float64 { return 1 }) > unreported
}

// ExpectedArrivals returns how many requests other boxes have probably sent to the engines of a
// service since their last reports, by lane: the most of any service.
func (b *Balancer) ExpectedArrivals(now time.Time) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int64{"interactive": 0, "bulk": 0}
	if !b.expectsArrivals(now) {
		return counts
	}
	for _, stats := range b.services {
		counts["interactive"] = max(counts["interactive"], int64(b.arrivalsIn(stats, true, now).requests))
		counts["bulk"] = max(counts["bulk"], int64(b.arrivalsIn(stats, false, now).requests))
	}
	return counts
}

// reportAge returns how old the loads of the other boxes are.
func (b *Balancer) reportAge(now time.Time) time.Duration {
	return min(now.Sub(b.peerLoadsAt), peerLoadTTL) + reportDelay
}

// sampledShare returns which share of a lane's servers the choices are. It is 1 if the choices were
// not sampled from a long list.
func sampledShare(index *candidateIndex, l lane, choices []choice) float64 {
	if index == nil {
		return 1
	}
	return min(1, float64(len(choices))/float64(l.serverCount()))
}

// levelAfter returns the load cost up to which arrivals fill the least loaded servers. Boxes that
// spread their requests evenly over what is free raise all of them to this level.
func (costs *costContext) levelAfter(a arrivals, choices []choice) float64 {
	loads := make([]float64, len(choices))
	slots := 0
	for i := range choices {
		loads[i] = costs.loadCost(&choices[i])
		slots += choices[i].Slots
	}
	work := a.tokens
	if slots > 0 {
		// At half of its slots, an engine's cost rises by this for each request.
		work += a.requests * occupancyCost * float64(len(choices)) / float64(slots)
	}
	return fillLevel(loads, work)
}

// fillLevel returns the level at which the sum of what each load lacks to it is work. It sorts the
// loads.
func fillLevel(loads []float64, work float64) float64 {
	slices.Sort(loads)
	level := loads[0]
	for i, next := range loads[1:] {
		below := float64(i + 1)
		if missing := (next - level) * below; missing > work {
			return level + work/below
		} else {
			work -= missing
		}
		level = next
	}
	return level + work/float64(len(loads))
}

// unreportedBacklog estimates how many tokens the other boxes have sent to one server of the lane
// since their last report: the geometric mean of an even share, if they spread, and of all, if
// they all chose that server.
func (b *Balancer) unreportedBacklog(stats *serviceStats, l lane, now time.Time) float64 {
	if b.peerLoadsAt.IsZero() {
		return 0
	}
	return stats.peers.inLane(l.interactive) * b.reportAge(now).Seconds() / math.Sqrt(float64(l.serverCount()))
}
