package balancer

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// choice is a candidate with its cached part of the prompt and its cost.
type choice struct {
	*routing.Server
	state  *server
	isHome bool
	// cachedTokens counts what the server has cached or is about to prefill, prefilledTokens what
	// it is known to have prefilled.
	cachedTokens    int
	prefilledTokens int
	// load is the server's load from all boxes.
	load Load
	cost float64
	// failureRatio is the ratio of recent calls that failed.
	failureRatio float64
	// source is the address of a server that has prefilled more of the prompt, transferredTokens
	// how much more.
	source            string
	transferredTokens int
	// mayBeHome is set if the server is eligible as the home of the prompt's prefix.
	mayBeHome bool
	// limited is set if the request counts against a fleet-wide rate limit.
	limited bool
	// brittle is set if the server fails when it has to reject requests.
	brittle bool
	// probe is set if the server is half-open and the request would probe it.
	probe bool
	// slowness is the estimated time of the server for some work, relative to the average.
	slowness float64
}

// prefillTokens returns how much of the prompt the server has to prefill.
func (c *choice) prefillTokens(q Query) int {
	return max(0, q.PromptTokens-c.cachedTokens-c.transferredTokens)
}

// choose returns the eligible candidate with the lowest cost, with ties broken at random. It
// returns false if there is none.
func (b *Balancer) choose(q Query, now time.Time) (choice, costContext, bool) {
	shared := prefixOf(q.sharedParts())
	index := b.indexOf(q)
	eligible := b.eligible(&q, b.selectCandidates(q, index, shared, now), shared, now)
	if len(eligible) == 0 {
		return choice{}, costContext{}, false
	}
	if q.Engine && b.policy.ServerTimings {
		b.setSlowness(eligible, now)
	}
	l := b.laneAmong(q, index, eligible, now)
	unreported := b.unreportedArrivals(q, now).scaled(sampledShare(index, l, eligible))
	choices := withoutAvoided(q, eligible)
	if b.policy.ExpectedArrivals {
		choices = withRoomFor(unreported.requests, q, l, choices)
	} else {
		choices = withFreeSlots(q, choices)
	}
	maxFailureRatio := minFailureRatio(choices) + maxExcessFailureRatio
	if kept := preferred(q, choices, maxFailureRatio); b.mayHaveRoom(q, kept, now) {
		choices = kept
	}
	costs := b.newCostContext(q, shared, l, eligible, choices, unreported, now)
	var best *choice
	ties := 0
	for i := range choices {
		c := &choices[i]
		// A server that fails fast looks idle, so its cost alone would attract requests, including
		// those that can't be repeated.
		if !q.Repeatable && c.failureRatio > maxFailureRatio {
			continue
		}
		costs.computeCost(c)
		// Only candidates that may be the best are worth asking the connection pool.
		if best == nil || c.cost <= best.cost {
			c.cost += costs.connectionCost(c)
		}
		switch {
		case best == nil || c.cost < best.cost:
			best, ties = c, 1
		case c.cost == best.cost:
			if ties++; rand.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return *best, costs, true
}

// selectCandidates returns the candidates that a choice evaluates: all of them if index is nil,
// else a sample.
func (b *Balancer) selectCandidates(q Query, index *candidateIndex, shared prefix, now time.Time) shortlist {
	if index == nil {
		return fullShortlist(q.Candidates)
	}
	l := lane{}
	if q.Engine {
		l = b.statsOf(q.Service).laneOf(q, index.keys, now)
	}
	return b.sampleCandidates(q, index, l, shared)
}

// indexOf returns the index of a long candidate list, nil for a short one.
func (b *Balancer) indexOf(q Query) *candidateIndex {
	if len(q.Candidates) <= maxFullScan {
		return nil
	}
	index := b.indexes[q.Service]
	if !index.covers(q.Candidates) {
		index = newCandidateIndex(q.Candidates)
		b.indexes[q.Service] = index
	}
	return index
}

// laneAmong returns the lane of a request among the servers with a free slot for it, and among all
// servers of a long list. When the interactive lane is full, it thus extends to the next servers: with
// lanes over all servers, streams spilled over the whole bulk lane instead.
func (b *Balancer) laneAmong(q Query, index *candidateIndex, eligible []choice, now time.Time) lane {
	if !q.Engine {
		return lane{}
	}
	return b.statsOf(q.Service).laneOf(q, laneKeys(q, index, eligible), now)
}

// eligible returns the candidates that are neither excluded nor ejected; if all are ejected, all
// of those. It always omits servers whose rate limit is used up, brittle servers without room, servers
// that back off, and servers that are leaving. The latter are added to q.Draining.
func (b *Balancer) eligible(q *Query, list shortlist, shared prefix, now time.Time) []choice {
	eligible := make([]choice, 0, len(list.positions))
	var ejected []choice
	for i, position := range list.positions {
		c := &q.Candidates[position]
		if slices.Contains(q.Exclude, c.Incarnation()) {
			continue
		}
		s := b.server(KeyOf(c.Incarnation()), now)
		if s.id == "" {
			b.beginLife(s, c.Incarnation(), now)
		}
		state := b.signals.State(s.key, now)
		if state.Leaving {
			q.Draining = append(slices.Clip(q.Draining), *c)
			continue
		}
		peers := b.peerLoad(s.key, now)
		limit := b.rateLimit(q, c, s, state, peers, now)
		if !limit.IsZero() && (q.SkipLimited || !b.limiter.Allows(c.Incarnation(), limit, now)) {
			continue
		}
		brittle := b.isBrittle(q, state, now)
		if brittle && (q.SkipLimited || !b.hasRoom(q, c, s, state, peers, now)) {
			continue
		}
		if state.Backoff == signals.BackingOff || state.Backoff == signals.HalfOpen && s.probeInFlight {
			continue
		}
		candidate := choice{
			Server: c, state: s, failureRatio: s.health.failureRatio(peers, now), load: s.load().Plus(peers), mayBeHome: i < list.homes,
			limited: !limit.IsZero(), brittle: brittle, probe: state.Backoff == signals.HalfOpen, slowness: 1,
		}
		candidate.cachedTokens, candidate.prefilledTokens = s.cached.longestPrefix(shared, now)
		if now.Before(s.health.ejectedUntil) || candidate.ejectedByPeers(peers, now) {
			ejected = append(ejected, candidate)
			continue
		}
		eligible = append(eligible, candidate)
	}
	if len(eligible) == 0 {
		return ejected
	}
	return eligible
}

// ejectedByPeers reports whether other boxes can't reach the server, or have seen it fail
// repeatedly, while this box has had no recent success there.
func (c *choice) ejectedByPeers(peers Load, now time.Time) bool {
	failing := peers.FailureReports >= minFailureReports && c.failureRatio >= peerEjectRatio
	return (peers.DownReports >= minDownReports || failing) && now.Sub(c.state.health.lastSuccess) > ownSuccessTTL
}

// minFailureRatio returns the lowest failure ratio of the choices.
func minFailureRatio(choices []choice) float64 {
	lowest := choices[0].failureRatio
	for i := range choices {
		lowest = min(lowest, choices[i].failureRatio)
	}
	return lowest
}

// homeOf returns the server of the request's lane that comes first in the rendezvous order of the
// prompt's prefix. With weighted set, servers become homes in proportion to their speed. All boxes
// with the same eligible servers and the same timings compute the same home.
func homeOf(q Query, choices []choice, l lane, weighted bool) *server {
	prefix := xxhash.Sum64String(q.prefixID())
	var home *server
	bestScore, bestHash := 0.0, uint64(0)
	for i := range choices {
		state := choices[i].state
		if !choices[i].mayBeHome || !l.contains(state.key) {
			continue
		}
		score, hash := 0.0, rendezvousScore(prefix, state.key)
		if weighted {
			score = weightedScore(hash, choices[i].slowness)
		}
		if home == nil || score > bestScore || score == bestScore && hash > bestHash {
			home, bestScore, bestHash = state, score, hash
		}
	}
	return home
}

// weightedScore turns a rendezvous hash into a score by which servers become homes in proportion to
// their speed. With equal slowness, the order is that of the hashes.
func weightedScore(hash uint64, slowness float64) float64 {
	return 1 / (slowness * -math.Log((float64(hash>>11)+0.5)/(1<<53)))
}

// rendezvousScore returns the rendezvous hash of a prefix and a server.
func rendezvousScore(prefix uint64, key ServerKey) uint64 {
	var buffer [12]byte
	binary.LittleEndian.PutUint64(buffer[:8], prefix)
	binary.LittleEndian.PutUint32(buffer[8:], uint32(key))
	return xxhash.Sum64(buffer[:])
}
