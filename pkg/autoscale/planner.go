package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// probeInterval is the time between requests for a kind that is unavailable in a hall.
	probeInterval = 1500 * time.Millisecond
	// discoverySettleTime is how long the number of listed servers must not grow before a planner
	// scales down: the list is incomplete for some seconds after the fleet or the box starts.
	discoverySettleTime = 1200 * time.Millisecond
	// minStepShare is the smallest change that is ordered, as a share of the ordered count: each
	// order costs a call, and each server that is added or removed is announced to all boxes.
	minStepShare = 0.05
	// bootMargin is added to the boot time before an ordered server that is not listed counts as
	// lost.
	bootMargin = 3 * time.Second
	// leaveMargin is how long a server that was released may remain listed as ready before it
	// counts as ordered again.
	leaveMargin = 3 * time.Second
	// reclaimPriorSeconds is the assumed time between reclaims before any has been observed. With 60,
	// 20 and 10 s, 0.949, 0.962 and 0.966 of a day's requests were served on which all spot servers of
	// a hall were reclaimed twice.
	reclaimPriorSeconds = 10.0
)

// Planner plans the orders of one service. It tracks the ordered counts and unavailable kinds.
type Planner struct {
	service string
	policy  Policy

	offer         Offer
	ordered       HallCounts
	halls         map[string]*hallState
	forecast      Forecast
	startedAt     time.Time
	reclaims      int
	lastScaleDown time.Time
	// spotExcessSince is when the number of spot servers last rose above the target.
	spotExcessSince time.Time
	// loadKnown is set once a load has been reported. Until then the ordered counts are kept; if
	// the planner started without any, adoptExisting is set and the number of discovered servers is
	// kept.
	loadKnown     bool
	adoptExisting bool
	// discovered is the number of on-demand servers found at startup, discoveredAt is when it last
	// grew, discoveryDone is set once it has settled.
	discovered    int
	discoveredAt  time.Time
	discoveryDone bool
}

// NewPlanner returns a planner that continues from the given ordered counts, or from the listed
// servers if there are none.
func NewPlanner(service string, policy Policy, ordered HallCounts, now time.Time) *Planner {
	return &Planner{service: service, policy: policy, ordered: maps.Clone(ordered), halls: make(map[string]*hallState), startedAt: now, spotExcessSince: now}
}

// Ordered returns a copy of the ordered counts.
func (p *Planner) Ordered() HallCounts { return maps.Clone(p.ordered) }

// Status describes the inputs and the result of a plan, for logs and metrics.
type Status struct {
	Load         Load
	ForecastPeak float64
	Targets      HallCounts
	Ready        HallCounts
	Leaving      HallCounts
}

// Plan updates the planner with the listed servers and the current load, and returns the resulting
// orders. Orders for more servers come before those for fewer.
func (p *Planner) Plan(offer Offer, servers []Server, load Load, now time.Time) ([]Order, Status) {
	p.offer = offer
	p.countServers(servers)
	if len(p.ordered) == 0 {
		p.ordered, p.adoptExisting = make(HallCounts), true
	}
	p.reconcile(now)
	if p.discovering(now) {
		// While the list is incomplete, servers may be added but none are released.
		targets := p.targets(now, false)
		return p.scaleUp(targets, now), p.status(load, targets)
	}
	if load.Known {
		p.loadKnown = true
	}
	if p.loadKnown {
		p.forecast.Add(load.BusyServers, offer.Boot, now)
	}
	targets := p.targets(now, false)
	orders := p.probe(now)
	orders = append(orders, p.scaleUp(targets, now)...)
	orders = append(orders, p.scaleDown(targets, now)...)
	return orders, p.status(load, targets)
}

// discovering reports whether the number of listed servers is still growing after a start.
func (p *Planner) discovering(now time.Time) bool {
	if p.discoveryDone {
		return false
	}
	if ready := p.readyOnDemand(); ready > p.discovered || p.discoveredAt.IsZero() {
		p.discovered, p.discoveredAt = ready, now
	}
	p.discoveryDone = now.Sub(p.discoveredAt) >= discoverySettleTime
	return !p.discoveryDone
}

// readyOnDemand returns the number of on-demand servers that are not leaving.
func (p *Planner) readyOnDemand() int {
	n := 0
	for _, h := range p.halls {
		n += h.ready[OnDemand]
	}
	return n
}

// countServers updates the counts of listed servers of each hall.
func (p *Planner) countServers(servers []Server) {
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

// hallNames returns the halls in which servers can be ordered, cheapest first.
func (p *Planner) hallNames() []string {
	return slices.SortedFunc(maps.Keys(p.offer.Prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(p.offer.Prices[a], p.offer.Prices[b]), cmp.Compare(a, b))
	})
}

// reconcile corrects the ordered counts by the listed servers. Missing servers count as lost once
// their boot time has passed or the hall's spot servers are being reclaimed; surplus servers count
// as ordered once they have had time to leave.
func (p *Planner) reconcile(now time.Time) {
	for _, name := range p.hallNames() {
		h, ordered := p.hall(name), p.ordered[name]
		for k := range numKinds {
			missing := ordered[k] - h.ready[k]
			if missing < 0 && now.Sub(h.lastScaleDown[k]) > leaveMargin {
				ordered[k] = h.ready[k]
				p.ordered[name] = ordered
			}
			overdue := now.Sub(h.lastScaleUp[k]) > p.offer.Boot+bootMargin
			reclaimed := k == Spot && missing > 0 && h.leaving[k] > 0
			if missing <= 0 || !overdue && !reclaimed {
				continue
			}
			if reclaimed && !h.unavailable[k] {
				p.reclaims++
			}
			h.markUnavailable(k, now)
			ordered[k] = h.ready[k]
			p.ordered[name] = ordered
		}
	}
}

// MarkUnavailable records that an order for more servers was refused for lack of capacity.
func (p *Planner) MarkUnavailable(o Order, now time.Time) {
	p.hall(o.Hall).markUnavailable(o.Kind, now)
	p.Undo(o)
}

// Undo reverts an order that was not placed.
func (p *Planner) Undo(o Order) {
	ordered := p.ordered[o.Hall]
	ordered[o.Kind] = o.Previous
	p.ordered[o.Hall] = ordered
}

// targets returns the counts wanted by the policy. Before any load is known, the number of servers
// stays the same, placed as cheaply as possible. Targets include no additional servers of
// unavailable kinds, unless probing is set and a probe is due.
func (p *Planner) targets(now time.Time, probing bool) HallCounts {
	in := Inputs{Offer: p.offer, BusyServers: p.forecast.Peak(), ReclaimRate: p.reclaimRate(now)}
	names := p.hallNames()
	for _, name := range names {
		h := p.hall(name)
		hall := Hall{Name: name, Price: p.offer.Prices[name], Ready: h.ready}
		for k := range numKinds {
			hall.Unavailable[k] = h.unavailable[k] && !(probing && h.probeDue(k, now))
		}
		in.Halls = append(in.Halls, hall)
	}
	var wanted Targets
	switch {
	case p.loadKnown:
		wanted = p.policy.Targets(in)
	case p.adoptExisting:
		wanted = in.cheapestTargets(p.discovered)
	default:
		return p.Ordered()
	}
	targets := make(HallCounts, len(names))
	for i, t := range wanted {
		targets[names[i]] = t
	}
	return targets
}

// reclaimRate estimates how many halls per second have their spot servers reclaimed.
func (p *Planner) reclaimRate(now time.Time) float64 {
	return (1 + float64(p.reclaims)) / (reclaimPriorSeconds + now.Sub(p.startedAt).Seconds())
}

// probe requests unavailable kinds again whose probe interval has passed.
func (p *Planner) probe(now time.Time) []Order {
	var orders []Order
	var targets HallCounts
	for _, name := range p.hallNames() {
		h := p.hall(name)
		for k := range numKinds {
			if !h.probeDue(k, now) {
				continue
			}
			if targets == nil {
				targets = p.targets(now, true)
			}
			h.lastProbe[k] = now
			if wanted := p.wantedWithinLimit(name, k, targets); wanted > p.ordered[name][k] {
				// The kind counts as available again unless this order is refused too.
				h.unavailable[k], h.lastScaleUp[k] = false, now
				orders = append(orders, p.recordOrder(name, k, wanted))
			}
		}
	}
	return orders
}

// wantedWithinLimit returns the target of a kind in a hall, capped by the capacity that the other
// kind leaves.
func (p *Planner) wantedWithinLimit(hall string, k Kind, targets HallCounts) int {
	return min(targets[hall][k], p.offer.MaxServers-p.ordered[hall][1-k])
}

// minStep returns the smallest change to an ordered count that is worth an order.
func minStep(ordered int) int { return int(minStepShare*float64(ordered)) + 1 }

// scaleUp orders more servers where the targets exceed the ordered counts.
func (p *Planner) scaleUp(targets HallCounts, now time.Time) []Order {
	var orders []Order
	for _, name := range p.hallNames() {
		h := p.hall(name)
		for k := range numKinds {
			wanted, ordered := p.wantedWithinLimit(name, k, targets), p.ordered[name][k]
			if !h.unavailable[k] && wanted-ordered >= minStep(ordered) {
				h.lastScaleUp[k] = now
				orders = append(orders, p.recordOrder(name, k, wanted))
			}
		}
	}
	return orders
}

// recordOrder updates the ordered count and returns the order.
func (p *Planner) recordOrder(hall string, k Kind, count int) Order {
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
