package autoscale

import (
	"math"
	"slices"
)

// Hall is where servers may be ordered.
type Hall struct {
	Name  string
	Price float64
	// Unavailable tells which kinds can't be had there at present, Ready how many servers there
	// are that stay.
	Unavailable [kinds]bool
	Ready       PerKind
}

// Inputs are what a policy decides on.
type Inputs struct {
	// Halls are in the order of their prices.
	Halls []Hall
	Offer Offer
	// BusyServers is the load to be prepared for.
	BusyServers float64
	// ReclaimRate is how often spot servers are taken away, in halls a second.
	ReclaimRate float64
}

// Targets are the servers wanted, by the places of the halls in the inputs.
type Targets []PerKind

// Sum is the number of all.
func (t Targets) Sum() int {
	n := 0
	for _, p := range t {
		n += p.Sum()
	}
	return n
}

// Policy decides how many servers are wanted where.
type Policy interface{ Targets(Inputs) Targets }

// most is how many servers of a kind may stand in a hall: those that are there where no more
// can be had.
func (in *Inputs) most(hall int, k Kind) int {
	h := &in.Halls[hall]
	if h.Unavailable[k] || k == Spot && in.Offer.SpotPrice == 0 {
		return min(h.Ready[k], in.Offer.MaxServers)
	}
	return in.Offer.MaxServers
}

// room is how many servers may stand in a hall. Where spot servers can't be had at present, the
// room of one is left to ask for them again.
func (in *Inputs) room(hall int) int {
	if in.Halls[hall].Unavailable[Spot] {
		return in.Offer.MaxServers - 1
	}
	return in.Offer.MaxServers
}

// price is that of a server of a kind in a hall.
func (in *Inputs) price(hall int, k Kind) float64 {
	if k == Spot {
		return in.Halls[hall].Price * in.Offer.SpotPrice
	}
	return in.Halls[hall].Price
}

// left is how many servers are left when those halls lose their spot servers that have the most:
// two halls at once, or one more where one has none to be had already.
func (in *Inputs) left(t Targets) int {
	n := t.Sum()
	first, second := 0, 0
	for _, p := range t {
		switch {
		case p[Spot] > first:
			first, second = p[Spot], first
		case p[Spot] > second:
			second = p[Spot]
		}
	}
	if in.spotRefused() {
		return n - first
	}
	return n - first - second
}

// spotRefused tells whether any hall has no spot servers to be had at present.
func (in *Inputs) spotRefused() bool {
	return slices.ContainsFunc(in.Halls, func(h Hall) bool { return h.Unavailable[Spot] })
}

// ExpectedLoss orders a server as long as what it is expected to save is worth more than its
// price.
type ExpectedLoss struct {
	// WorkValue is what the work of a server that is busy all the time is worth, as a multiple of
	// the price of one on demand.
	WorkValue float64
}

const (
	// lateShare and the fifth power give the odds of a request to come late where servers are
	// busy for a share u of their time: lateShare * u^5. Measured with engines of 64 places and
	// prompts of 1,500 to 17,000 tokens: 0.6 in 100 late at u = 0.42, 18 in 100 at 0.85.
	lateShare = 0.4
	// gapMargin is what passes after a loss, beside the time to boot, until servers ordered
	// in place of the lost ones serve, in seconds.
	gapMargin = 0.5
)

// late is the share of requests that are expected to come late.
func late(busy float64, servers int) float64 {
	u := busy / float64(max(1, servers))
	odds := lateShare * u * u * u * u * u
	return odds / (1 + odds)
}

// cost is what is expected to be lost, in prices of a server on demand.
func (e ExpectedLoss) cost(in *Inputs, t Targets) float64 {
	now, then := late(in.BusyServers, t.Sum()), late(in.BusyServers, in.left(t))
	gap := min(1, in.ReclaimRate*(in.Offer.Boot.Seconds()+gapMargin))
	return e.WorkValue * in.BusyServers * (now + gap*(then-now))
}

// Targets implements Policy. Halls have as many spot servers each, as those that lose them are
// not known. Of all such numbers, and all numbers on demand beside them, it keeps what costs
// least: the price and what is expected to be lost.
func (e ExpectedLoss) Targets(in Inputs) Targets {
	var best Targets
	lowest := math.Inf(1)
	for _, spot := range in.spotLevels() {
		t := in.spotTargets(spot)
		for more := true; more; more = in.addOnDemand(t) {
			if cost := e.cost(&in, t) + in.total(t); cost < lowest {
				best, lowest = slices.Clone(t), cost
			}
		}
	}
	return best
}

// levelsMost bounds the numbers of spot servers that are compared.
const levelsMost = 20

// spotLevels are the numbers of spot servers in each hall that are compared.
func (in *Inputs) spotLevels() []int {
	if in.Offer.SpotPrice == 0 {
		return []int{0}
	}
	var levels []int
	for n := 0; n < in.Offer.MaxServers; n += in.Offer.MaxServers/levelsMost + 1 {
		levels = append(levels, n)
	}
	return append(levels, in.Offer.MaxServers)
}

// addOnDemand adds a server on demand. It returns false if no hall has room.
func (in *Inputs) addOnDemand(t Targets) bool {
	i := in.roomiest(t)
	if i >= 0 {
		t[i][OnDemand]++
	}
	return i >= 0
}

// spotTargets are so many spot servers in each hall that has them, and on demand what a hall
// must have at the least.
func (in *Inputs) spotTargets(spot int) Targets {
	t := make(Targets, len(in.Halls))
	for i := range t {
		t[i][Spot] = min(spot, in.most(i, Spot))
		t[i][OnDemand] = max(0, in.Offer.MinServers-t[i][Spot])
	}
	return t
}

// roomiest is the hall in which the next server on demand is ordered: the cheapest one with
// room, but not twice as many as in another; -1 if there is none.
func (in *Inputs) roomiest(t Targets) int {
	best := -1
	for i := range t {
		if t[i].Sum() >= in.room(i) || t[i][OnDemand] >= in.most(i, OnDemand) {
			continue
		}
		if best < 0 || in.Halls[i].Price*float64(t[i][OnDemand]+1) < in.Halls[best].Price*float64(t[best][OnDemand]+1) {
			best = i
		}
	}
	return best
}

// total is the price of all targets.
func (in *Inputs) total(t Targets) float64 {
	sum := 0.0
	for i, p := range t {
		for k := range kinds {
			sum += float64(p[k]) * in.price(i, k)
		}
	}
	return sum
}

// cheapest is a number of servers at the lowest price. If so many can't be had, it is as many
// as can.
func (in *Inputs) cheapest(count int) Targets {
	var best Targets
	for _, spot := range in.spotLevels() {
		t := in.spotTargets(spot)
		for more := true; more && t.Sum() < count; {
			more = in.addOnDemand(t)
		}
		fuller := best == nil || min(t.Sum(), count) > best.Sum()
		if fuller || t.Sum() >= count && in.total(t) < in.total(best) {
			best = t
		}
	}
	return best
}
