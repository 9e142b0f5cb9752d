package balancer

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/routing"
)

// Costs are counted in tokens of a prompt that an engine has to prefill.
const (
	// missFactor is what a shared part that has to be prefilled again costs beside the
	// time that it takes: a prefill also delays what runs there.
	missFactor = 3.0
	// busyTokens is the mean backlog of a server, in tokens, at which a repeated prefill costs
	// once more: the busier all are, the more requests it delays.
	busyTokens = 3000.0
	// coldFactor is what a token of a prefix that no server is known to have cached as a
	// whole costs away from its home, where other boxes look for it.
	coldFactor = 1.0
	// transferFactor is what a token costs that is taken from another server.
	transferFactor = 2.0
	// occupancyCost is what a server costs whose places are all taken; less of it the
	// fewer are, by the square.
	occupancyCost = 8000.0
	// queueCost is what each request costs that waits at a server for a place.
	queueCost = 2000.0
	// memoryShare is the part of an engine's memory that may be taken without a cost. Beyond
	// it, running requests may be preempted and prefilled anew: memoryCost for each token.
	memoryShare = 0.8
	memoryCost  = 3.0
	// byteCost is what one byte sent to another hall costs.
	byteCost = 0.05
	// answerBytes is the size of an answer that is guessed.
	answerBytes = 2000
	// spreadFactor is how many times the load that this box can't know of chance adds to a
	// server's cost at the most.
	spreadFactor = 1.5
	// reportAge is how old loads are when they arrive: about half of a summary's pause, and
	// what is gathered before a report.
	reportAge = 50 * time.Millisecond
	// failureCost is what a share of failures of one costs.
	failureCost = 6000.0
	// failureMost is how far beyond the best server's a share of failures may go for
	// a request that can't be repeated.
	failureMost = 0.1
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
}

// toPrefill is how much of the prompt the server has to prefill.
func (c *choice) toPrefill(q Query) int { return max(0, q.Tokens-c.cached-c.transferred) }

// occupancy is the part of the server's places that are taken, none if it does not say how
// many it has.
func (c *choice) occupancy() float64 {
	if c.Slots == 0 {
		return 0
	}
	return min(1, float64(c.load.Running)/float64(c.Slots))
}

// waiting is how many requests would wait at the server for a place, this one included.
func (c *choice) waiting() int {
	if c.Slots == 0 {
		return 0
	}
	return max(0, c.load.Running+1-c.Slots)
}

// choose picks the candidate with the least cost, by chance among equals. It returns
// false if none is left.
func (b *Balancer) choose(q Query, now time.Time) (choice, placing, bool) {
	shared := prefixOf(q.shared())
	choices := b.usable(q, shared, now)
	if len(choices) == 0 {
		return choice{}, placing{}, false
	}
	p := b.placing(q, shared, choices, now)
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
		c.cost += rand.Float64() * p.spread
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

// usable are the candidates not tried before and not ejected; if all are ejected,
// all of them.
func (b *Balancer) usable(q Query, shared prefix, now time.Time) []choice {
	fit := make([]choice, 0, len(q.Candidates))
	var ejected []choice
	for i := range q.Candidates {
		c := &q.Candidates[i]
		if slices.Contains(q.Avoid, c.ID) {
			continue
		}
		s := b.server(KeyOf(c.ID), now)
		other := b.other(s, now)
		x := choice{Server: c, state: s, failures: s.health.failureShare(now), load: s.load().Plus(other)}
		x.cached, x.prefilled = s.cached.longest(shared, now)
		if now.Before(s.health.ejected) || other.Down >= downLeast && now.Sub(s.health.reached) > ownWord {
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

// placing is what the costs of one request's candidates have in common.
type placing struct {
	query    Query
	prefix   prefix
	missCost float64
	// home is where all boxes send a prefix of which this one has not heard where it is
	// cached; nil if it has, and without a prefix.
	home *server
	// source has prefilled more of the prefix than any other candidate.
	source choice
	lane   lane
	// spread is the most that chance adds to a cost, so that boxes that know the same do
	// not all choose the same server.
	spread float64
}

func (b *Balancer) placing(q Query, shared prefix, choices []choice, now time.Time) placing {
	p := placing{query: q, prefix: shared}
	known := 0
	backlog := 0
	for i := range choices {
		c := &choices[i]
		known = max(known, c.cached)
		backlog += c.load.Backlog
		if p.source.Server == nil || c.prefilled > p.source.prefilled || c.prefilled == p.source.prefilled && c.Hall == q.Hall {
			p.source = *c
		}
	}
	if q.Engine {
		lanes := b.lanesOf(q.Service)
		p.lane = lanes.laneOf(q, choices, now)
		p.spread = spreadFactor * b.unheard(lanes, p.lane, len(choices), now)
	}
	p.missCost = missFactor + float64(backlog)/float64(len(choices))/busyTokens
	if known < p.prefix.tokens {
		p.home = homeOf(q, choices, p.lane)
	}
	return p
}

// price works out the cost of a candidate.
func (p *placing) price(c *choice) {
	c.home = c.state == p.home
	c.cost = float64(c.load.Backlog) + occupancyCost*c.occupancy()*c.occupancy() + queueCost*float64(c.waiting()) + memoryCost*float64(p.memoryOver(c)) + failureCost*c.failures + p.lane.cost(c.state.key)
	if c.Hall != p.query.Hall {
		c.cost += byteCost * float64(p.query.Bytes+answerBytes)
	}
	missing := p.prefix.tokens - c.cached
	if transferred := p.source.prefilled - c.cached; transferred > 0 {
		c.source, c.transferred = p.source.Address, transferred
		c.cost += transferFactor * float64(transferred)
		missing -= transferred
	}
	if p.home == nil {
		c.cost += p.missCost * float64(missing)
		return
	}
	c.cost += float64(missing)
	if !c.home {
		c.cost += coldFactor * float64(p.prefix.tokens)
	}
}

// memoryOver is how many tokens of memory the running requests and this one may take beyond
// what the engine can well hold. Those that wait for a place take none.
func (p *placing) memoryOver(c *choice) int {
	if p.query.Memory == 0 {
		return 0
	}
	taken := c.load.Memory
	if c.Slots > 0 && c.load.Running > c.Slots {
		taken = taken * c.Slots / c.load.Running
	}
	return max(0, taken+p.query.Tokens+p.query.Output-int(memoryShare*float64(p.query.Memory)))
}

// unheard is how many tokens the other boxes may have sent to one server of a lane since
// their loads were heard: between its share, if they spread, and all, if they all chose it,
// the geometric mean.
func (b *Balancer) unheard(l *lanes, in lane, servers int, now time.Time) float64 {
	if b.othersHeard.IsZero() {
		return 0
	}
	age := min(now.Sub(b.othersHeard), othersFor) + reportAge
	return l.others.of(in.interactive) * age.Seconds() / math.Sqrt(float64(in.servers(servers)))
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
		if !l.has(state.key) {
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
