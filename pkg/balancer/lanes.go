package balancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// While an engine prefills a long prompt, the tokens of all that runs beside it come slowly.
// So requests of interactive classes get servers of their own, a lane, as many as their share
// of all prefills asks for; the rest is the bulk lane. Lanes are preferences: a server of the
// other lane is taken when it costs less all the same.
const (
	// laneHeadroom is how many servers the interactive lane gets beyond its share.
	laneHeadroom = 2.0
	// laneMost bounds the interactive lane's part of the servers.
	laneMost = 0.6
	// interactiveAwayCost is what an interactive request costs in the bulk lane,
	// bulkAwayCost what another costs in the interactive lane, in tokens to prefill; both were
	// chosen by measured rounds (docs/measurements/platform.md).
	interactiveAwayCost = 6000.0
	bulkAwayCost        = 20000.0
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * time.Second
)

// Demand is what the requests of a service have its servers prefill, in tokens a second.
type Demand struct {
	Interactive float64
	Bulk        float64
	// SpeedSum adds up the speeds, in tokens a second, at which engines were seen to prefill,
	// one for each of so many Samples.
	SpeedSum float64
	Samples  int
	// PendingPrefill is what the requests that have had no event yet wait for.
	PendingPrefill PendingPrefill
}

// Plus is the demand of both.
func (d Demand) Plus(o Demand) Demand {
	return Demand{
		Interactive: d.Interactive + o.Interactive, Bulk: d.Bulk + o.Bulk,
		SpeedSum: d.SpeedSum + o.SpeedSum, Samples: d.Samples + o.Samples, PendingPrefill: d.PendingPrefill.plus(o.PendingPrefill),
	}
}

// Minus is the demand without a part of it, which may be newer than the whole.
func (d Demand) Minus(o Demand) Demand {
	return Demand{
		Interactive: max(0, d.Interactive-o.Interactive), Bulk: max(0, d.Bulk-o.Bulk),
		SpeedSum: max(0, d.SpeedSum-o.SpeedSum), Samples: max(0, d.Samples-o.Samples),
		PendingPrefill: d.PendingPrefill.minus(o.PendingPrefill),
	}
}

// samplesLeast is how many prefills must have been seen for their mean speed to be believed.
// Boxes that have just started do not know what is cached, so that prefills seem fast.
const samplesLeast = 10

// speed is the mean speed, zero where too little was seen.
func (d Demand) speed() float64 {
	if d.Samples < samplesLeast {
		return 0
	}
	return d.SpeedSum / float64(d.Samples)
}

// of is the demand in one lane.
func (d Demand) of(interactive bool) float64 {
	if interactive {
		return d.Interactive
	}
	return d.Bulk
}

// ServiceKey is a service's name as boxes name it to each other, in short.
type ServiceKey uint32

// ServiceKeyOf is the key of a service.
func ServiceKeyOf(name string) ServiceKey { return ServiceKey(xxhash.Sum64String(name)) }

// lanes is what is known of the demand for one service.
type lanes struct {
	classes profiles
	// own is this box's demand up to a time, others that of the other boxes.
	own    Demand
	since  time.Time
	others Demand
	// seen is when requests of each rank last came to this box.
	seen ranksSeen
	// speed is how fast this box saw the engines prefill.
	speed prefillSpeed
}

// report is this box's own demand, and what it has learned of the engines.
func (l *lanes) report(now time.Time) Demand {
	l.decay(now)
	d := l.own
	d.Samples = len(l.speed.samples)
	d.SpeedSum = l.speed.tokensPerSecond() * float64(d.Samples)
	return d
}

// note counts tokens that a server is to prefill.
func (l *lanes) note(interactive bool, tokens int, now time.Time) {
	l.decay(now)
	rate := float64(tokens) / demandTime.Seconds()
	if interactive {
		l.own.Interactive += rate
		return
	}
	l.own.Bulk += rate
}

func (l *lanes) decay(now time.Time) {
	if !l.since.IsZero() {
		f := math.Exp(-now.Sub(l.since).Seconds() / demandTime.Seconds())
		l.own.Interactive *= f
		l.own.Bulk *= f
	}
	l.since = now
}

// size is how many of some servers belong to the interactive lane; none if it would be less
// than half a server.
func (l *lanes) size(servers int, now time.Time) int {
	l.decay(now)
	interactive, bulk := l.own.Interactive+l.others.Interactive, l.own.Bulk+l.others.Bulk
	if interactive+bulk == 0 {
		return 0
	}
	share := min(laneHeadroom*interactive/(interactive+bulk), laneMost)
	return int(math.Round(share * float64(servers)))
}

// lane is the lane of one request.
type lane struct {
	// interactive tells that the request is of an interactive class.
	interactive bool
	// size is how many servers the interactive lane has, most the greatest key among them.
	size int
	most ServerKey
}

// laneOf works out the lane of a request among servers whose keys are given in order. The
// interactive lane has those with the least keys, so boxes that know the same servers agree on it.
func (l *lanes) laneOf(q Query, keys []ServerKey, now time.Time) lane {
	r := lane{interactive: l.classes.interactive(q.Class, now), size: l.size(len(keys), now)}
	if r.size > 0 {
		r.most = keys[r.size-1]
	}
	return r
}

// has tells whether a server belongs to the request's lane.
func (l lane) has(key ServerKey) bool {
	return l.size == 0 || l.interactive == (key <= l.most)
}

// servers is how many of some servers belong to the request's lane.
func (l lane) servers(all int) int {
	switch {
	case l.size == 0:
		return all
	case l.interactive:
		return l.size
	}
	return max(1, all-l.size)
}

// cost is what a server costs for its lane.
func (l lane) cost(key ServerKey) float64 {
	switch {
	case l.has(key):
		return 0
	case l.interactive:
		return interactiveAwayCost
	}
	return bulkAwayCost
}
