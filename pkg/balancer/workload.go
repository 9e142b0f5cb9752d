package balancer

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Workload is the load of a service's servers from all boxes.
type Workload struct {
	// PrefillDemand is the requested prefill rate in tokens per second.
	PrefillDemand float64
	// EngineSpeed is the speed in tokens per second at which an otherwise idle engine prefills,
	// zero if unknown.
	EngineSpeed float64
	// Running is the number of requests in flight, Slots the number of slots of the servers.
	Running int
	Slots   int
}

// Workload returns the total load of the servers of a service.
func (b *Balancer) Workload(service string, servers []routing.Server, now time.Time) Workload {
	b.mu.Lock()
	defer b.mu.Unlock()
	var w Workload
	if stats, ok := b.services[ServiceKeyOf(service)]; ok {
		demand := stats.demand(now)
		if b.peerLoadsFresh(now) {
			demand = demand.Plus(stats.peers)
		}
		w.PrefillDemand, w.EngineSpeed = demand.Interactive+demand.Bulk, demand.speed()
	}
	for i := range servers {
		key := KeyOf(servers[i].Incarnation())
		if s := b.servers[key]; s != nil {
			w.Running += s.running
		}
		w.Running += b.peerLoad(key, now).Running
		w.Slots += servers[i].Slots
	}
	return w
}

const (
	// minSpeedSampleTokens is the length from which a prefill is a speed sample: in shorter ones
	// the time to the first event is dominated by the engine's first steps.
	minSpeedSampleTokens = 2000
	// maxSpeedSamples is the number of samples kept; speedQuantile is the quantile taken as the
	// speed. Most prefills are slowed by concurrent streams, and a few appear too fast because
	// their prompt was cached.
	maxSpeedSamples = 31
	speedQuantile   = 0.8
)

// prefillSpeed estimates the prefill speed of engines from prefills that had an engine to
// themselves.
type prefillSpeed struct {
	samples []float64
	// speed is speedQuantile of the samples.
	speed float64
}

// add adds a prefill and the time to its first event.
func (p *prefillSpeed) add(tokens int, elapsed time.Duration) {
	if tokens < minSpeedSampleTokens || elapsed <= 0 {
		return
	}
	p.samples = append(p.samples, float64(tokens)/elapsed.Seconds())
	p.samples = p.samples[max(0, len(p.samples)-maxSpeedSamples):]
	sorted := slices.Sorted(slices.Values(p.samples))
	p.speed = sorted[int(speedQuantile*float64(len(sorted)-1))]
}

// tokensPerSecond returns the estimated speed, zero without samples.
func (p *prefillSpeed) tokensPerSecond() float64 { return p.speed }
