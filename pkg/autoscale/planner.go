package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// probeEvery is how often a kind of server is asked for again in a hall after it could not
	// be had, or was taken away there.
	probeEvery = 1500 * time.Millisecond
	// findTime is for how long no server must have come before a planner gives any up: at the
	// start of a fleet, and of a box, the list grows for seconds.
	findTime = 1200 * time.Millisecond
	// stepShare is the least change that is ordered, as a part of what is ordered: each order
	// is a call, and each server that comes or goes is told to all boxes.
	stepShare = 0.05
	// bootMargin is what a server may take longer than it should until it is listed. One that
	// is not there after that counts as lost.
	bootMargin = 3 * time.Second
	// leaveMargin is what a server that was given up may take until it says that it leaves.
	// One that is there after that counts as ordered.
	leaveMargin = 3 * time.Second
	// reclaimPrior is the time in seconds in which one reclaim is expected before any was seen.
	// Of 60, 20 and 10 the last served 0.949, 0.962 and 0.966 of a day on which all spot servers
	// of a hall went twice (87 boxes, 180 engines, one day each).
	reclaimPrior = 10.0
)

// Planner plans the orders of one service. It keeps what was ordered and what was refused.
type Planner struct {
	service string
	policy  Policy

	offer    Offer
	ordered  HallCounts
	halls    map[string]*hallState
	forecast Forecast
	begun    time.Time
	reclaims int
	shrunk   time.Time
	// spotOver is since when there are more spot servers than wanted.
	spotOver time.Time
	// learned tells that a load was known once. Until then the servers found at the begin are
	// kept, or what the book says where there was one.
	learned bool
	adopted bool
	// found is how many servers there were, at the time foundAt at the latest; foundAll tells
	// that no more came for a while.
	found    int
	foundAt  time.Time
	foundAll bool
}

// NewPlanner returns a planner that goes on from a book; with an empty one it goes on from
// what is there.
func NewPlanner(service string, policy Policy, book HallCounts, now time.Time) *Planner {
	return &Planner{service: service, policy: policy, ordered: maps.Clone(book), halls: make(map[string]*hallState), begun: now, spotOver: now}
}

// Ordered is what is ordered.
func (p *Planner) Ordered() HallCounts { return maps.Clone(p.ordered) }

// Status is what a plan rested on, for logs and metrics.
type Status struct {
	Load         Load
	ForecastPeak float64
	Targets      HallCounts
	Ready        HallCounts
	Leaving      HallCounts
}

// Plan takes in what is there and what is asked, and returns the orders that follow, those of
// more servers first.
func (p *Planner) Plan(offer Offer, servers []Server, load Load, now time.Time) ([]Order, Status) {
	p.offer = offer
	p.count(servers)
	if len(p.ordered) == 0 {
		p.ordered, p.adopted = make(HallCounts), true
	}
	p.noteLosses(now)
	if p.finding(now) {
		// Cheaper servers may be ordered already; nothing is given up.
		targets := p.targets(now, false)
		return p.grow(targets, now), p.status(load, targets)
	}
	if load.Known {
		p.learned = true
	}
	if p.learned {
		p.forecast.Add(load.BusyServers, offer.Boot, now)
	}
	targets := p.targets(now, false)
	orders := p.probe(now)
	orders = append(orders, p.grow(targets, now)...)
	orders = append(orders, p.shrink(targets, now)...)
	return orders, p.status(load, targets)
}

// finding tells whether the list of what is there still grows, as at a start.
func (p *Planner) finding(now time.Time) bool {
	if p.foundAll {
		return false
	}
	if ready := p.readyOnDemand(); ready > p.found || p.foundAt.IsZero() {
		p.found, p.foundAt = ready, now
	}
	p.foundAll = now.Sub(p.foundAt) >= findTime
	return !p.foundAll
}

// readyOnDemand is the number of servers on demand that stay.
func (p *Planner) readyOnDemand() int {
	n := 0
	for _, h := range p.halls {
		n += h.ready[OnDemand]
	}
	return n
}

// count counts the servers listed.
func (p *Planner) count(servers []Server) {
	for name := range p.offer.Prices {
		h := p.hall(name)
		h.ready, h.leaving = PerKind{}, PerKind{}
	}
	for _, s := range servers {
		h := p.hall(s.Hall)
		if s.Leaving {
			h.leaving[s.Kind]++
			continue
		}
		h.ready[s.Kind]++
	}
}

func (p *Planner) hall(name string) *hallState {
	h := p.halls[name]
	if h == nil {
		h = &hallState{}
		p.halls[name] = h
	}
	return h
}

// names are the halls in which servers can be ordered, the cheapest first.
func (p *Planner) names() []string {
	return slices.SortedFunc(maps.Keys(p.offer.Prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(p.offer.Prices[a], p.offer.Prices[b]), cmp.Compare(a, b))
	})
}

// noteLosses notes servers that were ordered and are not there, though they had time to
// boot or were there before; and servers that came back or were never given up.
func (p *Planner) noteLosses(now time.Time) {
	for _, name := range p.names() {
		h, ordered := p.hall(name), p.ordered[name]
		for k := range kinds {
			missing := ordered[k] - h.ready[k]
			if missing < 0 && now.Sub(h.shrunk[k]) > leaveMargin {
				ordered[k] = h.ready[k]
				p.ordered[name] = ordered
			}
			overdue := now.Sub(h.grown[k]) > p.offer.Boot+bootMargin
			taken := k == Spot && missing > 0 && h.leaving[k] > 0
			if missing <= 0 || !overdue && !taken {
				continue
			}
			if taken && !h.refused[k] {
				p.reclaims++
			}
			h.refuse(k, now)
			ordered[k] = h.ready[k]
			p.ordered[name] = ordered
		}
	}
}

// MarkUnavailable notes that an order for more servers was not taken: there are none at present.
func (p *Planner) MarkUnavailable(o Order, now time.Time) {
	p.hall(o.Hall).refuse(o.Kind, now)
	p.Undo(o)
}

// Undo takes an order back that was not made.
func (p *Planner) Undo(o Order) {
	ordered := p.ordered[o.Hall]
	ordered[o.Kind] = o.Previous
	p.ordered[o.Hall] = ordered
}

// targets asks the policy, by hall. Before any load is known the number of servers stays as
// it is, and they are had as cheaply as can be.
// Where a kind could not be had, the targets are without more of it, unless they are to tell
// what to ask for again.
func (p *Planner) targets(now time.Time, probing bool) HallCounts {
	in := Inputs{Offer: p.offer, BusyServers: p.forecast.Peak(), ReclaimRate: p.reclaimRate(now)}
	names := p.names()
	for _, name := range names {
		h := p.hall(name)
		hall := Hall{Name: name, Price: p.offer.Prices[name], Ready: h.ready}
		for k := range kinds {
			hall.Unavailable[k] = h.refused[k] && !(probing && h.probeDue(k, now))
		}
		in.Halls = append(in.Halls, hall)
	}
	var wanted Targets
	switch {
	case p.learned:
		wanted = p.policy.Targets(in)
	case p.adopted:
		wanted = in.cheapest(p.found)
	default:
		return p.Ordered()
	}
	targets := make(HallCounts, len(names))
	for i, t := range wanted {
		targets[names[i]] = t
	}
	return targets
}

// reclaimRate is how many halls a second have their spot servers taken away.
func (p *Planner) reclaimRate(now time.Time) float64 {
	return (1 + float64(p.reclaims)) / (reclaimPrior + now.Sub(p.begun).Seconds())
}

// probe asks for kinds again that could not be had a while ago.
func (p *Planner) probe(now time.Time) []Order {
	var orders []Order
	var targets HallCounts
	for _, name := range p.names() {
		h := p.hall(name)
		for k := range kinds {
			if !h.probeDue(k, now) {
				continue
			}
			if targets == nil {
				targets = p.targets(now, true)
			}
			h.probed[k] = now
			if wanted := p.within(name, k, targets); wanted > p.ordered[name][k] {
				// An order that is taken ends the refusal; one that is not begins it anew.
				h.refused[k], h.grown[k] = false, now
				orders = append(orders, p.order(name, k, wanted))
			}
		}
	}
	return orders
}

// within is how many servers of a kind are wanted in a hall, as far as there is room beside
// those of the other kind.
func (p *Planner) within(hall string, k Kind, targets HallCounts) int {
	return min(targets[hall][k], p.offer.MaxServers-p.ordered[hall][1-k])
}

// least is the least change of a number that is ordered.
func least(ordered int) int { return int(stepShare*float64(ordered)) + 1 }

// grow orders more where more are wanted.
func (p *Planner) grow(targets HallCounts, now time.Time) []Order {
	var orders []Order
	for _, name := range p.names() {
		h := p.hall(name)
		for k := range kinds {
			wanted, ordered := p.within(name, k, targets), p.ordered[name][k]
			if !h.refused[k] && wanted-ordered >= least(ordered) {
				h.grown[k] = now
				orders = append(orders, p.order(name, k, wanted))
			}
		}
	}
	return orders
}

// order notes a number as ordered.
func (p *Planner) order(hall string, k Kind, count int) Order {
	ordered := p.ordered[hall]
	o := Order{Service: p.service, Hall: hall, Kind: k, Count: count, Previous: ordered[k]}
	ordered[k] = count
	p.ordered[hall] = ordered
	return o
}

func (p *Planner) status(load Load, targets HallCounts) Status {
	s := Status{Load: load, ForecastPeak: p.forecast.Peak(), Targets: targets, Ready: make(HallCounts), Leaving: make(HallCounts)}
	for name, h := range p.halls {
		s.Ready[name], s.Leaving[name] = h.ready, h.leaving
	}
	return s
}
