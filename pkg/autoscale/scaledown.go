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
	// that is full is to have servers of the other kind in their place. Room that is made so
	// for servers on demand before a loss served 0.947 in place of 0.936 of a day on which two
	// halls lost their spot servers in a burst (87 boxes, 180 engines, one day each).
	swapShare = 0.03
)

// shrinkRoom is how many servers may be given up now: those that are spare, and those that
// make room for others.
type shrinkRoom struct{ spare, swaps int }

func (p *Planner) shrinkRoom(targets HallCounts) shrinkRoom {
	ready, wanted := 0, 0
	for _, name := range p.names() {
		ready += p.hall(name).ready.Sum()
		wanted += targets[name].Sum()
	}
	r := shrinkRoom{spare: ready - wanted, swaps: int(swapShare*float64(ready)) + 1}
	if p.learned {
		r.spare = min(r.spare, int(shrinkShare*float64(ready))+1)
	}
	return r
}

// shrink gives up servers that are not wanted, once those wanted in their place are there:
// a few at a time, the dearest first.
func (p *Planner) shrink(targets HallCounts, now time.Time) []Order {
	if now.Sub(p.shrunk) < shrinkEvery {
		return nil
	}
	if !p.over(Spot, targets) {
		p.spotOver = now
	}
	room := p.shrinkRoom(targets)
	var orders []Order
	for _, k := range []Kind{OnDemand, Spot} {
		for _, name := range slices.Backward(p.names()) {
			if n := p.giveUp(&room, name, k, targets, now); n > 0 {
				p.shrunk, p.hall(name).shrunk[k] = now, now
				orders = append(orders, p.order(name, k, p.ordered[name][k]-n))
			}
		}
	}
	return orders
}

// giveUp is how many servers of a kind a hall gives up. They are taken off the room.
func (p *Planner) giveUp(room *shrinkRoom, hall string, k Kind, targets HallCounts, now time.Time) int {
	ordered, wanted := p.ordered[hall][k], targets[hall][k]
	over := ordered - wanted
	if over <= 0 || over < least(ordered) && wanted > 0 {
		return 0
	}
	kept := k == Spot && (!p.learned || now.Sub(p.spotOver) < spotKept)
	if room.spare > 0 && !kept {
		n := min(over, room.spare)
		room.spare -= n
		return n
	}
	if !p.full(hall, 1-k, targets) {
		return 0
	}
	n := max(0, min(over, room.swaps))
	room.swaps -= n
	return n
}

// over tells whether more servers of a kind are ordered than wanted.
func (p *Planner) over(k Kind, targets HallCounts) bool {
	ordered, wanted := 0, 0
	for _, name := range p.names() {
		ordered += p.ordered[name][k]
		wanted += targets[name][k]
	}
	return ordered > wanted
}

// full tells whether a hall has no room for more of a kind though more are wanted. Where spot
// servers were taken away, none are given up for others.
func (p *Planner) full(hall string, k Kind, targets HallCounts) bool {
	h := p.hall(hall)
	if k == OnDemand && p.spotRefused() {
		return false
	}
	return !h.refused[k] && targets[hall][k] > p.ordered[hall][k] && h.ready.Sum() >= p.offer.MaxServers
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
