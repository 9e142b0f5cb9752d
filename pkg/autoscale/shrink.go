package autoscale

import (
	"slices"
	"time"
)

const (
	// shrinkEvery and shrinkShare bound how fast servers are given up that have work.
	shrinkEvery = time.Second
	shrinkShare = 0.1
	// spotKept is for how long more spot servers than wanted are kept: they cost little, and
	// each one that goes takes its cached prefixes along.
	spotKept = 15 * time.Second
	// swapShare is the part of the servers that is given up though none is spare, where a hall
	// that is full is to have servers of the other kind in their place.
	swapShare = 0.03
)

// shrink gives up servers that are not wanted, once those wanted in their place are there:
// a few at a time, the dearest first.
func (p *Planner) shrink(targets Book, now time.Time) []Order {
	ready, wanted := 0, 0
	for _, name := range p.names() {
		ready += p.hall(name).ready.Sum()
		wanted += targets[name].Sum()
	}
	spare := ready - wanted
	if p.learned {
		spare = min(spare, int(shrinkShare*float64(ready))+1)
	}
	swaps := int(swapShare*float64(ready)) + 1
	if now.Sub(p.shrunk) < shrinkEvery {
		return nil
	}
	if !p.over(Spot, targets) {
		p.spotOver = now
	}
	var orders []Order
	for _, k := range []Kind{OnDemand, Spot} {
		for _, name := range slices.Backward(p.names()) {
			ordered := p.ordered[name][k]
			over := ordered - targets[name][k]
			if over <= 0 || over < least(ordered) && targets[name][k] > 0 {
				continue
			}
			may := spare
			if k == Spot && (!p.learned || now.Sub(p.spotOver) < spotKept) {
				may = 0
			}
			swapping := may <= 0 && p.full(name, 1-k, targets)
			if swapping {
				may = swaps
			}
			if over = min(over, may); over <= 0 {
				continue
			}
			if swapping {
				swaps -= over
			} else {
				spare -= over
			}
			p.shrunk, p.hall(name).shrunk[k] = now, now
			orders = append(orders, p.order(name, k, p.ordered[name][k]-over))
		}
	}
	return orders
}

// over tells whether more servers of a kind are ordered than wanted.
func (p *Planner) over(k Kind, targets Book) bool {
	ordered, wanted := 0, 0
	for _, name := range p.names() {
		ordered += p.ordered[name][k]
		wanted += targets[name][k]
	}
	return ordered > wanted
}

// full tells whether a hall has no room for more of a kind though more are wanted. Where spot
// servers were taken away, none are given up for others.
func (p *Planner) full(hall string, k Kind, targets Book) bool {
	h := p.hall(hall)
	if k == OnDemand && p.spotRefused() {
		return false
	}
	return !h.refused[k] && targets[hall][k] > p.ordered[hall][k] && h.ready.Sum() >= p.offer.Most
}

// spotRefused tells whether any hall has no spot servers to be had at present.
func (p *Planner) spotRefused() bool {
	for _, h := range p.halls {
		if h.refused[Spot] {
			return true
		}
	}
	return false
}
