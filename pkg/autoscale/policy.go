package autoscale

import (
	"math"
	"slices"
)

// Hall describes a hall in which servers may be ordered.
type Hall struct {
	Name  string
	Price float64
	// Unavailable marks kinds that cannot be ordered at present, Ready counts the servers that are
	// not leaving.
	Unavailable [numKinds]bool
	Ready       PerKind
}

// Inputs are the inputs of a policy.
type Inputs struct {
	// Halls are sorted by price.
	Halls []Hall
	Offer Offer
	// BusyServers is the load to provision for, in fully busy servers.
	BusyServers float64
	// ReclaimRate is how many halls per second have their spot servers reclaimed.
	ReclaimRate float64
}

// Targets holds the wanted counts of each hall, in the order of Inputs.Halls.
type Targets []PerKind

// Sum returns the number of servers of both kinds in all halls.
func (t Targets) Sum() int {
	n := 0
	for _, p := range t {
		n += p.Sum()
	}
	return n
}

// Policy decides how many servers of which kind are wanted in each hall.
type Policy interface{ Targets(Inputs) Targets }

// maxServers returns the highest possible count of a kind in a hall. Where the kind is unavailable,
// that is the number of ready servers.
func (in *Inputs) maxServers(hall int, k Kind) int {
	h := &in.Halls[hall]
	if h.Unavailable[k] || k == Spot && in.Offer.SpotPrice == 0 {
		return min(h.Ready[k], in.Offer.MaxServers)
	}
	return in.Offer.MaxServers
}

// capacity returns how many servers may be placed in a hall. Where spot servers are unavailable,
// one place is kept free to request them again.
func (in *Inputs) capacity(hall int) int {
	if in.Halls[hall].Unavailable[Spot] {
		return in.Offer.MaxServers - 1
	}
	return in.Offer.MaxServers
}

// serverPrice returns the price of a server.
func (in *Inputs) serverPrice(hall int, k Kind) float64 {
	if k == Spot {
		return in.Halls[hall].Price * in.Offer.SpotPrice
	}
	return in.Halls[hall].Price
}

// serversAfterReclaim returns how many servers remain if the two halls with the most spot servers
// lose them at once, or one hall if spot servers are already unavailable in another.
func (in *Inputs) serversAfterReclaim(t Targets) int {
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
	if in.spotUnavailable() {
		return n - first
	}
	return n - first - second
}

// spotUnavailable reports whether spot servers are unavailable in any hall.
func (in *Inputs) spotUnavailable() bool {
	return slices.ContainsFunc(in.Halls, func(h Hall) bool { return h.Unavailable[Spot] })
}

// ExpectedLoss is a policy that adds servers as long as the expected loss they avoid exceeds their
// price.
type ExpectedLoss struct {
	// WorkValue is the value of the work of one fully busy server, as a multiple of the price of an
	// on-demand server.
	WorkValue float64
}

const (
	// lateCoefficient * u^5 are the odds that a request is served late at a utilization of u. With
	// engines of 64 slots and prompts of 1,500 to 17,000 tokens, 0.6 in 100 were late at u = 0.42 and
	// 18 in 100 at 0.85.
	lateCoefficient = 0.4
	// replacementMarginSeconds is the time beyond the boot time until servers ordered in place of
	// lost ones serve.
	replacementMarginSeconds = 0.5
)

// lateFraction returns the share of requests that are expected to be served late.
func lateFraction(busyServers float64, servers int) float64 {
	utilization := busyServers / float64(max(1, servers))
	odds := lateCoefficient * utilization * utilization * utilization * utilization * utilization
	return odds / (1 + odds)
}

// expectedLoss returns the value that is expected to be lost, in prices of an on-demand server.
func (e ExpectedLoss) expectedLoss(in *Inputs, t Targets) float64 {
	lateNow, lateAfterReclaim := lateFraction(in.BusyServers, t.Sum()), lateFraction(in.BusyServers, in.serversAfterReclaim(t))
	reducedShare := min(1, in.ReclaimRate*(in.Offer.Boot.Seconds()+replacementMarginSeconds))
	return e.WorkValue * in.BusyServers * (lateNow + reducedShare*(lateAfterReclaim-lateNow))
}

// Targets implements Policy. As any hall may be reclaimed, all halls get the same number of spot
// servers. It tries these numbers with every possible number of on-demand servers, and returns the
// combination with the lowest sum of price and expected loss.
func (e ExpectedLoss) Targets(in Inputs) Targets {
	var best Targets
	lowestCost := math.Inf(1)
	for _, spot := range in.spotLevels() {
		t := in.spotTargets(spot)
		for more := true; more; more = in.addOnDemand(t) {
			if cost := e.expectedLoss(&in, t) + in.totalPrice(t); cost < lowestCost {
				best, lowestCost = slices.Clone(t), cost
			}
		}
	}
	return best
}

// maxSpotLevels bounds the number of spot levels that are compared.
const maxSpotLevels = 20

// spotLevels returns the numbers of spot servers per hall to compare.
func (in *Inputs) spotLevels() []int {
	if in.Offer.SpotPrice == 0 {
		return []int{0}
	}
	var levels []int
	for n := 0; n < in.Offer.MaxServers; n += in.Offer.MaxServers/maxSpotLevels + 1 {
		levels = append(levels, n)
	}
	return append(levels, in.Offer.MaxServers)
}

// addOnDemand adds an on-demand server. It returns false if no hall has capacity left.
func (in *Inputs) addOnDemand(t Targets) bool {
	i := in.nextOnDemandHall(t)
	if i >= 0 {
		t[i][OnDemand]++
	}
	return i >= 0
}

// spotTargets returns targets with the given number of spot servers in each hall that offers them,
// and on-demand servers up to the minimum of the hall.
func (in *Inputs) spotTargets(spot int) Targets {
	t := make(Targets, len(in.Halls))
	for i := range t {
		t[i][Spot] = min(spot, in.maxServers(i, Spot))
		t[i][OnDemand] = max(0, in.Offer.MinServers-t[i][Spot])
	}
	return t
}

// nextOnDemandHall returns the index of the hall for the next on-demand server, or -1 if all are
// full. Weighting the price with the count spreads the servers over the halls.
func (in *Inputs) nextOnDemandHall(t Targets) int {
	best := -1
	for i := range t {
		if t[i].Sum() >= in.capacity(i) || t[i][OnDemand] >= in.maxServers(i, OnDemand) {
			continue
		}
		if best < 0 || in.Halls[i].Price*float64(t[i][OnDemand]+1) < in.Halls[best].Price*float64(t[best][OnDemand]+1) {
			best = i
		}
	}
	return best
}

// totalPrice returns the price of all targets.
func (in *Inputs) totalPrice(t Targets) float64 {
	sum := 0.0
	for i, p := range t {
		for k := range numKinds {
			sum += float64(p[k]) * in.serverPrice(i, k)
		}
	}
	return sum
}

// cheapestTargets returns targets for the given number of servers at the lowest price, or for as
// many as are available.
func (in *Inputs) cheapestTargets(count int) Targets {
	var best Targets
	for _, spot := range in.spotLevels() {
		t := in.spotTargets(spot)
		for more := true; more && t.Sum() < count; {
			more = in.addOnDemand(t)
		}
		fuller := best == nil || min(t.Sum(), count) > best.Sum()
		if fuller || t.Sum() >= count && in.totalPrice(t) < in.totalPrice(best) {
			best = t
		}
	}
	return best
}
