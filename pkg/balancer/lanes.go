package balancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// While an engine prefills a long prompt, the streams that run on it slow down. Requests of
// interactive classes therefore prefer servers of their own, the interactive lane, whose size
// follows their share of all prefills; the rest is the bulk lane. A server of the other lane is
// still used if it costs less.
const (
	// laneHeadroomFactor is the size of the interactive lane as a multiple of its share of the
	// demand.
	laneHeadroomFactor = 2.0
	// maxLaneShare bounds the interactive lane's share of the servers.
	maxLaneShare = 0.6
	// interactiveOffLaneCost is the cost, in tokens to prefill, of an interactive request in the
	// bulk lane; bulkOffLaneCost that of a bulk request in the interactive lane.
	interactiveOffLaneCost = 6000.0
	bulkOffLaneCost        = 20000.0
	// maxOffLaneOccupancy is the share of a server's slots that may be in use for a bulk request to
	// be sent to the interactive lane. Bulk requests of an urgent rank would otherwise fill engines
	// there and preempt streams of less urgent ranks.
	maxOffLaneOccupancy = 0.6
	// demandDecayTime is the time constant of the decay of demand.
	demandDecayTime = 2 * time.Second
)

// Demand is the prefill load of a service. Interactive and Bulk are in tokens per second.
type Demand struct {
	Interactive float64
	Bulk        float64
	// SpeedSum is the observed prefill speed of engines, in tokens per second, multiplied by the
	// number of Samples, so that sums yield a weighted mean.
	SpeedSum float64
	Samples  int
	// PendingPrefill counts the tokens of requests that have had no event yet.
	PendingPrefill PendingPrefill
}

// Plus returns the sum of d and o.
func (d Demand) Plus(o Demand) Demand {
	return Demand{
		Interactive: d.Interactive + o.Interactive, Bulk: d.Bulk + o.Bulk,
		SpeedSum: d.SpeedSum + o.SpeedSum, Samples: d.Samples + o.Samples, PendingPrefill: d.PendingPrefill.plus(o.PendingPrefill),
	}
}

// Minus returns d without o. Nothing goes below zero, as o may be more recent than d.
func (d Demand) Minus(o Demand) Demand {
	return Demand{
		Interactive: max(0, d.Interactive-o.Interactive), Bulk: max(0, d.Bulk-o.Bulk),
		SpeedSum: max(0, d.SpeedSum-o.SpeedSum), Samples: max(0, d.Samples-o.Samples),
		PendingPrefill: d.PendingPrefill.minus(o.PendingPrefill),
	}
}

// minSpeedSamples is the number of observed prefills from which their mean speed is used. Boxes
// that have just started do not know what is cached, so prefills appear too fast.
const minSpeedSamples = 10

// speed returns the mean prefill speed in tokens per second, zero if there are too few samples.
func (d Demand) speed() float64 {
	if d.Samples < minSpeedSamples {
		return 0
	}
	return d.SpeedSum / float64(d.Samples)
}

// inLane returns the demand in one lane.
func (d Demand) inLane(interactive bool) float64 {
	if interactive {
		return d.Interactive
	}
	return d.Bulk
}

// ServiceKey is a hash of a service's name, used in messages between boxes.
type ServiceKey uint32

// ServiceKeyOf returns the key of a service.
func ServiceKeyOf(name string) ServiceKey { return ServiceKey(xxhash.Sum64String(name)) }

// serviceStats holds the demand statistics of one service.
type serviceStats struct {
	classes profiles
	// local is this box's demand, decayed at decayedAt; peers is that of the other boxes, received
	// at peersAt.
	local     Demand
	decayedAt time.Time
	peers     Demand
	peersAt   time.Time
	// arrivals records when requests of each rank arrived at this box.
	arrivals rankArrivals
	// speed is the prefill speed observed by this box.
	speed prefillSpeed
	// brittleAt is when a brittle server of the service was last considered.
	brittleAt time.Time
	// requests is the rate at which this box sends requests to brittle servers of the service.
	requests requestRate
}

// demand returns this box's own demand and observed prefill speed.
func (s *serviceStats) demand(now time.Time) Demand {
	s.decay(now)
	d := s.local
	d.Samples = len(s.speed.samples)
	d.SpeedSum = s.speed.tokensPerSecond() * float64(d.Samples)
	return d
}

// recordPrefill adds tokens that a server is to prefill.
func (s *serviceStats) recordPrefill(interactive bool, tokens int, now time.Time) {
	s.decay(now)
	rate := float64(tokens) / demandDecayTime.Seconds()
	if interactive {
		s.local.Interactive += rate
		return
	}
	s.local.Bulk += rate
}

func (s *serviceStats) decay(now time.Time) {
	if !s.decayedAt.IsZero() {
		f := math.Exp(-now.Sub(s.decayedAt).Seconds() / demandDecayTime.Seconds())
		s.local.Interactive *= f
		s.local.Bulk *= f
	}
	s.decayedAt = now
}

// laneSize returns how many of the servers belong to the interactive lane; zero if that would be
// less than half a server.
func (s *serviceStats) laneSize(servers int, now time.Time) int {
	s.decay(now)
	interactive, bulk := s.local.Interactive+s.peers.Interactive, s.local.Bulk+s.peers.Bulk
	if interactive+bulk == 0 {
		return 0
	}
	share := min(laneHeadroomFactor*interactive/(interactive+bulk), maxLaneShare)
	return int(math.Round(share * float64(servers)))
}

// lane describes the lane of one request.
type lane struct {
	// interactive is set if the request's class is interactive.
	interactive bool
	// size is the number of servers in the interactive lane, maxKey the greatest key among them.
	size   int
	maxKey ServerKey
	// servers is the number of servers in both lanes.
	servers int
}

// laneOf returns the lane of a request among servers with the given sorted keys. The interactive
// lane has those with the lowest keys, so that boxes with the same servers agree on it.
func (s *serviceStats) laneOf(q Query, keys []ServerKey, now time.Time) lane {
	l := lane{interactive: s.classes.interactive(q.Class, now), size: s.laneSize(len(keys), now), servers: len(keys)}
	if l.size > 0 {
		l.maxKey = keys[l.size-1]
	}
	return l
}

// contains reports whether a server belongs to the request's lane.
func (l lane) contains(key ServerKey) bool {
	return l.size == 0 || l.interactive == (key <= l.maxKey)
}

// serverCount returns how many of the servers belong to the request's lane.
func (l lane) serverCount() int {
	switch {
	case l.size == 0:
		return l.servers
	case l.interactive:
		return l.size
	}
	return max(1, l.servers-l.size)
}

// cost returns the cost of a server for not belonging to the request's lane.
func (l lane) cost(key ServerKey) float64 {
	switch {
	case l.contains(key):
		return 0
	case l.interactive:
		return interactiveOffLaneCost
	}
	return bulkOffLaneCost
}

// maxOccupancy returns the share of a server's slots that may be in use for the request to be sent
// there, if arrivals are expected.
func (l lane) maxOccupancy(q Query, key ServerKey) float64 {
	if l.interactive || l.contains(key) {
		return q.MaxOccupancy
	}
	return min(q.MaxOccupancy, maxOffLaneOccupancy)
}
