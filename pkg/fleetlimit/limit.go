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
	// signalledShare is the part of a limit that a server signals which its keepers send together. The rest is
	// for requests that are on their way as the limit comes, and for boxes whose lists differ.
	signalledShare = 0.8
	// signalledKeepers is how many boxes may send to a server that signals a limit, whatever it is: a small
	// fleet sends with all of its boxes. Another keeper for each perKeeper requests a second keeps
	// the part of each worth having, as a keeper may have one request saved up.
	signalledKeepers = 4
	perKeeper        = 2
	// signalledBurst is the time whose requests a keeper may save up beside one, so that those which come
	// close together are not sent elsewhere.
	signalledBurst = 500 * time.Millisecond
)

// Limit is what a server takes from all boxes together, and how they share it. The zero Limit is none.
type Limit struct {
	// PerSecond is how many requests a second all keepers send together.
	PerSecond float64
	// MaxSenders is how many boxes may send.
	MaxSenders int
	// SettleTime is how long a box must have known the other boxes to be a keeper.
	SettleTime time.Duration
	// BurstTime is the time whose requests a keeper may save up beside one.
	BurstTime time.Duration
	// StaggerStart says that the server had requests before it had the limit: keepers begin with less than one
	// saved up, by chance, so that they do not all send at once.
	StaggerStart bool
}

// WarmUpLimit is the limit of a server that warms up.
func WarmUpLimit(w routing.WarmUp) Limit {
	return Limit{PerSecond: w.PerSecond * warmUpShare, MaxSenders: warmUpKeepers, SettleTime: warmUpSettle}
}

// SignalledLimit is the limit of a server that signals one in its answers.
func SignalledLimit(perSecond float64) Limit {
	return Limit{PerSecond: perSecond * signalledShare, MaxSenders: signalledKeepers + int(min(perSecond, keepersMost)/perKeeper), BurstTime: signalledBurst, StaggerStart: true}
}

// keepersMost bounds the limit by which keepers are counted: no fleet has as many boxes.
const keepersMost = 1 << 20

// Stricter is the limit of two that lets less pass; none lets all pass.
func (l Limit) Stricter(other Limit) Limit {
	if l.IsZero() || !other.IsZero() && other.PerSecond < l.PerSecond {
		return other
	}
	return l
}

// IsZero tells whether there is no limit.
func (l Limit) IsZero() bool { return l == Limit{} }

// part is the rate of one keeper, of so many boxes.
func (l Limit) part(boxes int) float64 {
	return l.PerSecond / float64(max(1, min(l.MaxSenders, boxes)))
}

// burst is how many requests one keeper of so many boxes may send at once.
func (l Limit) burst(boxes int) int { return 1 + int(l.part(boxes)*l.BurstTime.Seconds()) }
