package fleetlimit

import (
	"time"

	"headhill.example/headhill/pkg/routing"
)

const (
	// warmUpKeepers is how many boxes may send to a server that warms up. With two it still gets
	// something where one of them is down.
	warmUpKeepers = 2
	// warmUpShare is the part of what a server that warms up bears that its keepers send together. The
	// rest is for boxes that do not know yet that it warms up, and for keepers by an older list of boxes.
	warmUpShare = 0.5
	// warmUpSettle is how long a box must have known the other boxes to be a keeper of servers that warm
	// up: those that it takes the place of hear of it meanwhile.
	warmUpSettle = 5 * time.Second
)

// Limit is what a server takes from all boxes together, and how they share it. The zero Limit is none.
type Limit struct {
	// PerSecond is how many requests a second all keepers send together.
	PerSecond float64
	// Keepers is how many boxes may send.
	Keepers int
	// Settle is how long a box must have known the other boxes to be a keeper.
	Settle time.Duration
}

// WarmUp is the limit of a server that warms up.
func WarmUp(w routing.WarmUp) Limit {
	return Limit{PerSecond: w.PerSecond * warmUpShare, Keepers: warmUpKeepers, Settle: warmUpSettle}
}

// None tells whether there is no limit.
func (l Limit) None() bool { return l == Limit{} }

// part is the rate of one keeper, of so many boxes.
func (l Limit) part(boxes int) float64 {
	return l.PerSecond / float64(max(1, min(l.Keepers, boxes)))
}
