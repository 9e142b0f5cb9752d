package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// Costs are counted in tokens of a prompt that an engine has to prefill. The weights were
// chosen by rounds on the users' bench: docs/measurements/platform.md and inspection.md.
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

// placing is what the costs of one request's candidates have in common.
type placing struct {
	query    Query
	prefix   prefix
	missCost float64
	// home is where all boxes send a prefix that no server is known to have cached as a
	// whole; nil if one has, and without a prefix.
	home *server
	// source has prefilled more of the prefix than any other candidate.
	source choice
	lane   lane
	// spread is the most that chance adds to a cost, so that boxes that know the same do
	// not all choose the same server.
	spread float64
}

// placing works out what the candidates' costs have in common.
func (b *Balancer) placing(q Query, shared prefix, x *candidateIndex, choices []choice, now time.Time) placing {
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
	p.source = b.idleSource(q, shared, p.source, now)
	if q.Engine {
		lanes, keys := b.lanesOf(q.Service), keysOf(x, choices)
		p.lane = lanes.laneOf(q, keys, now)
		p.spread = spreadFactor * b.unheard(lanes, p.lane, len(keys), now)
	}
	p.missCost = missFactor + float64(backlog)/float64(len(choices))/busyTokens
	if known < p.prefix.tokens {
		p.home = homeOf(q, choices, p.lane)
	}
	return p
}

// idleSource is a server that is leaving, if it has prefilled more of the prefix than any
// that stays: what is not taken from it before it is gone has to be prefilled again. Where a
// third of 180 engines went in a burst, 0.961 in place of 0.947 of a day's requests were served
// (one day each).
func (b *Balancer) idleSource(q Query, shared prefix, best choice, now time.Time) choice {
	if best.prefilled >= shared.tokens {
		return best
	}
	for i := range q.Draining {
		s, known := b.servers[KeyOf(q.Draining[i].Incarnation())]
		if !known {
			continue
		}
		if _, prefilled := s.cached.longest(shared, now); prefilled > best.prefilled {
			best = choice{Server: &q.Draining[i], state: s, prefilled: prefilled}
		}
	}
	return best
}

// price works out the cost of a candidate.
func (p *placing) price(c *choice) {
	c.home = c.state == p.home
	c.cost = float64(c.load.Backlog) + p.roomCost(c) + p.lane.cost(c.state.key)
	c.cost += failureCost * c.failures
	c.cost += p.prefixCost(c)
	if c.Hall != p.query.Hall {
		c.cost += byteCost * float64(p.query.BodyBytes+answerBytes)
	}
	c.cost += rand.Float64() * p.spread
}

// roomCost is what the places and the memory cost that are taken.
func (p *placing) roomCost(c *choice) float64 {
	taken := c.occupancy()
	return occupancyCost*taken*taken + queueCost*float64(c.waiting()) + memoryCost*float64(p.memoryOver(c))
}

// prefixCost is what the prompt's prefix costs that the server has not cached. It works out
// what can be transferred.
func (p *placing) prefixCost(c *choice) float64 {
	missing := p.prefix.tokens - c.cached
	cost := 0.0
	if transferred := p.source.prefilled - c.cached; transferred > 0 {
		c.source, c.transferred = p.source.Address, transferred
		cost = transferFactor * float64(transferred)
		missing -= transferred
	}
	if p.home == nil {
		return cost + p.missCost*float64(missing)
	}
	if !c.home {
		cost += coldFactor * float64(p.prefix.tokens)
	}
	return cost + float64(missing)
}

// memoryOver is how many tokens of memory the running requests and this one may take beyond
// what the engine can well hold. Those that wait for a place take none.
func (p *placing) memoryOver(c *choice) int {
	if p.query.EngineMemoryTokens == 0 {
		return 0
	}
	taken := c.load.MemoryTokens
	if c.Slots > 0 && c.load.Running > c.Slots {
		taken = taken * c.Slots / c.load.Running
	}
	return max(0, taken+p.query.PromptTokens+p.query.MaxOutputTokens-int(memoryShare*float64(p.query.EngineMemoryTokens)))
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
