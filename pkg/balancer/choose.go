package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/routing"
)

// Costs are counted in tokens of a prompt that an engine has to read.
const (
	// missFactor is what a shared part that has to be read again costs beside the
	// time of reading it: the reading also delays what runs there.
	missFactor = 3.0
	// busyTokens is the mean of unread tokens a server at which reading again costs
	// once more: the busier all are, the more requests it delays.
	busyTokens = 3000.0
	// coldFactor is what a token of a prefix that nobody is known to keep costs away
	// from its home, where other boxes look for it.
	coldFactor = 0.5
	// moveFactor is what a token costs that is taken from another server.
	moveFactor = 3.0
	// runningCost is what one running request costs those beside it.
	runningCost = 300.0
	// byteCost is what one byte sent to another hall costs.
	byteCost = 0.05
	// answerBytes is the size of an answer that is guessed.
	answerBytes = 2000
	// failureCost is what a share of failures of one costs.
	failureCost = 6000.0
	// failureMost is how far beyond the best server's a share of failures may go for
	// a request that can't be repeated.
	failureMost = 0.1
)

// choice is a candidate, what it is believed to keep of the prompt, and what it
// costs to choose it.
type choice struct {
	routing.Server
	state *server
	home  bool
	short bool
	lane  int
	// kept is what the server keeps or is about to read, read what it has read.
	kept int
	read int
	cost float64
	// failures is the share of recent calls that failed.
	failures float64
	// source is the address of a server that has read more of the prompt, moved how
	// much more that is.
	source string
	moved  int
}

// unread is how much of the prompt the server has to read.
func (c *choice) unread(q Query) int { return max(0, q.Tokens-c.kept-c.moved) }

// choose picks the candidate with the least cost. It returns false if none is left.
func (b *Balancer) choose(q Query, now time.Time) (choice, bool) {
	choices := b.usable(q, now)
	if len(choices) == 0 {
		return choice{}, false
	}
	p := b.placing(q, choices, now)
	for i := range choices {
		p.price(&choices[i])
		p.priceLane(&choices[i], i)
	}
	if !q.Repeatable {
		choices = sound(choices)
	}
	return cheapest(choices), true
}

// usable are the candidates not tried before and not put aside; if all are put aside,
// all of them.
func (b *Balancer) usable(q Query, now time.Time) []choice {
	var fit, aside []choice
	shared := q.shared()
	keys := keysOf(shared)
	for _, c := range q.Candidates {
		if slices.Contains(q.Avoid, c.ID) {
			continue
		}
		s := b.server(KeyOf(c.ID), now)
		x := choice{Server: c, state: s, failures: s.health.failureShare(now)}
		x.kept, x.read = s.kept.longest(shared, keys, now)
		if now.Before(s.health.aside) || b.down(s, now) {
			aside = append(aside, x)
			continue
		}
		fit = append(fit, x)
	}
	if len(fit) == 0 {
		return aside
	}
	return fit
}

// placing is what the costs of one request's candidates have in common.
type placing struct {
	balancer *Balancer
	query    Query
	now      time.Time
	// shared is the length of the prefix, in tokens.
	shared   int
	missCost float64
	// home is where all boxes send a prefix of which this one has not heard where it is
	// kept.
	home string
	// source has read more of the prefix than any other candidate.
	source choice
	// short tells that the request's prompts are short. Its lane is from begin to end,
	// lane is the number of servers for short ones.
	short            bool
	lane, begin, end int
}

func (b *Balancer) placing(q Query, choices []choice, now time.Time) placing {
	p := placing{balancer: b, query: q, now: now, shared: tokens(q.shared()), end: len(choices)}
	if q.Engine {
		l := b.lane(q.Service)
		p.short = l.short(q.Class, q.Tokens)
		p.lane = l.size(len(choices), now)
		p.begin, p.end = laneOf(choices, p.lane, p.short)
	}
	known := 0
	unread := 0
	for _, c := range choices {
		known = max(known, c.kept)
		unread += c.state.unread + b.other(c.state, now).Unread
		if c.read > p.source.read || c.read == p.source.read && c.Hall == q.Hall {
			p.source = c
		}
	}
	p.missCost = missFactor + float64(unread)/float64(len(choices))/busyTokens
	if known == 0 {
		p.home = homeOf(q, choices[p.begin:p.end])
	}
	return p
}

// price works out the cost of a candidate.
func (p *placing) price(c *choice) {
	c.home = c.ID == p.home
	c.cost = float64(c.state.unread+p.balancer.other(c.state, p.now).Unread) + runningCost*float64(c.state.running)
	c.cost += failureCost * c.failures
	if c.Hall != p.query.Hall {
		c.cost += byteCost * float64(p.query.Bytes+answerBytes)
	}
	missing := p.shared - c.kept
	if c.home {
		missing = 0
	}
	if moved := p.source.read - c.kept; moved > 0 {
		c.source, c.moved = p.source.Address, moved
		c.cost += moveFactor * float64(moved)
		missing -= moved
	}
	if p.home != "" {
		c.cost += coldFactor * float64(missing)
		return
	}
	c.cost += p.missCost * float64(missing)
}

// priceLane adds what a server of the other lane costs.
func (p *placing) priceLane(c *choice, place int) {
	c.short, c.lane = p.short, p.lane
	switch {
	case place >= p.begin && place < p.end:
	case p.short:
		c.cost += shortAwayCost
	default:
		c.cost += longAwayCost
	}
}

// sound leaves out the servers that fail clearly more often than the best one. A
// server that fails at once looks idle, so that its cost alone would draw requests.
func sound(list []choice) []choice {
	best := slices.MinFunc(list, func(a, b choice) int { return cmp.Compare(a.failures, b.failures) })
	return slices.DeleteFunc(list, func(c choice) bool { return c.failures > best.failures+failureMost })
}

// cheapest picks the least cost, by chance among equals.
func cheapest(list []choice) choice {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return slices.MinFunc(list, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
}

// homeOf is the first candidate in the rendezvous order of the prompt's prefix, ""
// if it has none. Every box that finds the same servers usable finds the same one.
func homeOf(q Query, choices []choice) string {
	prefix := q.prefix()
	if prefix == "" {
		return ""
	}
	home, best := "", uint64(0)
	for _, c := range choices {
		if score := rendezvous(prefix, c.ID); home == "" || score > best {
			home, best = c.ID, score
		}
	}
	return home
}

func rendezvous(prefix, id string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(len(prefix)) + prefix + id)
}
