package balancer

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// choice is a candidate, what it is believed to have cached of the prompt, and what it
// costs to choose it.
type choice struct {
	*routing.Server
	state *server
	home  bool
	// cached is what the server has cached or is about to prefill, prefilled what it has for
	// certain.
	cached    int
	prefilled int
	// load is what all boxes have the server do.
	load Load
	cost float64
	// failures is the share of recent calls that failed.
	failures float64
	// source is the address of a server that has prefilled more of the prompt, transferred how
	// much more that is.
	source      string
	transferred int
	// candidateHome tells that the server may be the home of the prompt's prefix.
	candidateHome bool
	// limited tells that the server takes few requests from all boxes, of which this one would be counted.
	limited bool
	// probe tells that the server is half-open, and that this request would probe it.
	probe bool
}

// toPrefill is how much of the prompt the server has to prefill.
func (c *choice) toPrefill(q Query) int { return max(0, q.PromptTokens-c.cached-c.transferred) }

// choose picks the candidate with the least cost, by chance among equals. It returns
// false if none is left.
func (b *Balancer) choose(q Query, now time.Time) (choice, placing, bool) {
	shared := prefixOf(q.shared())
	x := b.indexOf(q)
	choices := withPlaces(q, b.usable(&q, b.look(q, x, shared, now), shared, now))
	if len(choices) == 0 {
		return choice{}, placing{}, false
	}
	p := b.placing(q, shared, x, choices, now)
	mostFailures := leastFailures(choices) + failureMost
	var best *choice
	equals := 0
	for i := range choices {
		c := &choices[i]
		// A server that fails at once looks idle, so that its cost alone would draw
		// requests, also those that can't be repeated.
		if !q.Repeatable && c.failures > mostFailures {
			continue
		}
		p.price(c)
		switch {
		case best == nil || c.cost < best.cost:
			best, equals = c, 1
		case c.cost == best.cost:
			if equals++; rand.IntN(equals) == 0 {
				best = c
			}
		}
	}
	return *best, p, true
}

// look chooses at which candidates a choice looks. The index is nil where it looks at all.
func (b *Balancer) look(q Query, x *candidateIndex, shared prefix, now time.Time) shortlist {
	if x == nil {
		return allOf(q.Candidates)
	}
	l := lane{}
	if q.Engine {
		l = b.lanesOf(q.Service).laneOf(q, x.keys, now)
	}
	return b.shorten(q, x, l, shared)
}

// indexOf returns the index of a long list of candidates, nil for a short one.
func (b *Balancer) indexOf(q Query) *candidateIndex {
	if len(q.Candidates) <= lookAtAll {
		return nil
	}
	x := b.indexes[q.Service]
	if !x.isOf(q.Candidates) {
		x = newCandidateIndex(q.Candidates)
		b.indexes[q.Service] = x
	}
	return x
}

// usable are the candidates not tried before and not ejected; if all are ejected,
// all of them. Limited ones that have had this box's part, those that back off and those that signal
// that they leave are left out in any case; the latter are added to the idle servers of the query.
func (b *Balancer) usable(q *Query, list shortlist, shared prefix, now time.Time) []choice {
	fit := make([]choice, 0, len(list.at))
	var ejected []choice
	for i, at := range list.at {
		c := &q.Candidates[at]
		if slices.Contains(q.Exclude, c.Incarnation()) {
			continue
		}
		s := b.server(KeyOf(c.Incarnation()), now)
		state := b.signals.State(s.key, now)
		if state.Leaving {
			q.Draining = append(slices.Clip(q.Draining), *c)
			continue
		}
		other := b.other(s.key, now)
		limit := b.limitOf(q, c, s, state, other, now)
		if !limit.IsZero() && (q.SkipLimited || !b.limiter.Allows(c.Incarnation(), limit, now)) {
			continue
		}
		if state.Backoff == signals.BackingOff || state.Backoff == signals.HalfOpen && s.probing {
			continue
		}
		x := choice{
			Server: c, state: s, failures: s.health.failureShare(other, now), load: s.load().Plus(other), candidateHome: i < list.homes,
			limited: !limit.IsZero(), probe: state.Backoff == signals.HalfOpen,
		}
		x.cached, x.prefilled = s.cached.longest(shared, now)
		if now.Before(s.health.ejected) || x.ejectedByOthers(other, now) {
			ejected = append(ejected, x)
			continue
		}
		fit = append(fit, x)
	}
	if len(fit) == 0 {
		return ejected
	}
	return fit
}

// ejectedByOthers tells whether other boxes can't reach the server, or saw it fail again and
// again, and this box has no better word of its own.
func (c *choice) ejectedByOthers(other Load, now time.Time) bool {
	failing := other.FailureReports >= failingLeast && c.failures >= ejectShare
	return (other.DownReports >= downLeast || failing) && now.Sub(c.state.health.reached) > ownWord
}

// leastFailures is the share of failures of the best candidate.
func leastFailures(choices []choice) float64 {
	least := choices[0].failures
	for i := range choices {
		least = min(least, choices[i].failures)
	}
	return least
}

// homeOf is the first candidate of the request's lane in the rendezvous order of the
// prompt's prefix. Every box that finds the same servers usable finds the same one.
func homeOf(q Query, choices []choice, l lane) *server {
	prefix := xxhash.Sum64String(q.prefix())
	var home *server
	best := uint64(0)
	for i := range choices {
		state := choices[i].state
		if !choices[i].candidateHome || !l.has(state.key) {
			continue
		}
		if score := rendezvous(prefix, state.key); home == nil || score > best {
			home, best = state, score
		}
	}
	return home
}

// rendezvous is the rank of a server for a prefix.
func rendezvous(prefix uint64, key ServerKey) uint64 {
	var buffer [12]byte
	binary.LittleEndian.PutUint64(buffer[:8], prefix)
	binary.LittleEndian.PutUint32(buffer[8:], uint32(key))
	return xxhash.Sum64(buffer[:])
}
