package autoscale

import (
	"slices"
	"time"
)

const (
	// scaleDownInterval and maxScaleDownShare bound the rate at which servers are released once the
	// load is known.
	scaleDownInterval = time.Second
	maxScaleDownShare = 0.1
	// spotRetention is how long surplus spot servers are kept: they are cheap, and their cached
	// prefixes are lost with them.
	spotRetention = 15 * time.Second
	// maxSwapShare is the share of servers that may be released without a surplus, to make room in
	// full halls for servers of the other kind. On-demand servers that got room in this way before a
	// loss served 0.947 instead of 0.936 of a day's requests on which two halls lost their spot
	// servers in a burst.
	maxSwapShare = 0.03
)

// scaleDownBudget is the number of servers that may be released now: surplus ones, and ones that
// make room for the other kind.
type scaleDownBudget struct{ surplus, swaps int }

func (p *Planner) scaleDownBudget(targets HallCounts) scaleDownBudget {
	ready, wanted := 0, 0
	for _, name := range p.hallNames() {
		ready += p.hall(name).ready.Sum()
		wanted += targets[name].Sum()
	}
	budget := scaleDownBudget{surplus: ready - wanted, swaps: int(maxSwapShare*float64(ready)) + 1}
	if p.loadKnown {
		budget.surplus = min(budget.surplus, int(maxScaleDownShare*float64(ready))+1)
	}
	return budget
}

// scaleDown releases servers that are no longer wanted, the most expensive first, once their
// replacements are ready.
func (p *Planner) scaleDown(targets HallCounts, now time.Time) []Order {
	if now.Sub(p.lastScaleDown) < scaleDownInterval {
		return nil
	}
	if !p.overProvisioned(Spot, targets) {
		p.spotExcessSince = now
	}
	budget := p.scaleDownBudget(targets)
	var orders []Order
	for _, k := range []Kind{OnDemand, Spot} {
		for _, name := range slices.Backward(p.hallNames()) {
			if n := p.takeFromBudget(&budget, name, k, targets, now); n > 0 {
				p.lastScaleDown, p.hall(name).lastScaleDown[k] = now, now
				orders = append(orders, p.recordOrder(name, k, p.ordered[name][k]-n))
			}
		}
	}
	return orders
}

// takeFromBudget returns how many servers of a kind to release in a hall, and deducts them from the
// budget.
func (p *Planner) takeFromBudget(budget *scaleDownBudget, hall string, k Kind, targets HallCounts, now time.Time) int {
	ordered, wanted := p.ordered[hall][k], targets[hall][k]
	excess := ordered - wanted
	if excess <= 0 || excess < minStep(ordered) && wanted > 0 {
		return 0
	}
	retained := k == Spot && (!p.loadKnown || now.Sub(p.spotExcessSince) < spotRetention)
	if budget.surplus > 0 && !retained {
		n := min(excess, budget.surplus)
		budget.surplus -= n
		return n
	}
	if !p.blockedByOtherKind(hall, 1-k, targets) {
		return 0
	}
	n := max(0, min(excess, budget.swaps))
	budget.swaps -= n
	return n
}

// overProvisioned reports whether more servers of a kind are ordered than wanted.
func (p *Planner) overProvisioned(k Kind, targets HallCounts) bool {
	ordered, wanted := 0, 0
	for _, name := range p.hallNames() {
		ordered += p.ordered[name][k]
		wanted += targets[name][k]
	}
	return ordered > wanted
}

// blockedByOtherKind reports whether more servers of kind k are wanted in a hall that has no
// capacity left. On-demand servers never displace others while spot servers are unavailable.
func (p *Planner) blockedByOtherKind(hall string, k Kind, targets HallCounts) bool {
	h := p.hall(hall)
	if k == OnDemand && p.spotUnavailable() {
		return false
	}
	return !h.unavailable[k] && targets[hall][k] > p.ordered[hall][k] && h.ready.Sum() >= p.offer.MaxServers
}

// spotUnavailable reports whether spot servers are unavailable in any hall.
func (p *Planner) spotUnavailable() bool {
	for _, h := range p.halls {
		if h.unavailable[Spot] {
			return true
		}
	}
	return false
}
