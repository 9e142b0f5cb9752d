package balancer

import (
	"slices"
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Workload is what all boxes have the servers of a service do.
type Workload struct {
	// PrefillDemand is the tokens a second that they are asked to prefill.
	PrefillDemand float64
	// EngineSpeed is how many tokens a second an engine prefills that does nothing else, zero if
	// that is not known yet.
	EngineSpeed float64
	// Running is how many requests the servers have, Slots how many they have places for.
	Running int
	Slots   int
}

// Workload adds up what the servers of a service are asked to do.
func (b *Balancer) Workload(service string, servers []routing.Server, now time.Time) Workload {
	b.mu.Lock()
	defer b.mu.Unlock()
	var w Workload
	if l, ok := b.lanes[ServiceKeyOf(service)]; ok {
		d := l.report(now)
		if b.othersKnown(now) {
			d = d.Plus(l.others)
		}
		w.PrefillDemand, w.EngineSpeed = d.Interactive+d.Bulk, d.speed()
	}
	for i := range servers {
		key := KeyOf(servers[i].Incarnation())
		if s := b.servers[key]; s != nil {
			w.Running += s.running
		}
		w.Running += b.other(key, now).Running
		w.Slots += servers[i].Slots
	}
	return w
}

const (
	// speedTokens is the least prefill that tells an engine's speed: of shorter ones the time
	// to the first event is mostly the engine's first steps.
	speedTokens = 2000
	// speedSamples is how many prefills are remembered, speedQuantile the place among them, in
	// order, that tells the speed. Most prefills are slowed by streams that run beside them, and
	// a few seem too fast as their prompt was cached after all.
	speedSamples  = 31
	speedQuantile = 0.8
)

// prefillSpeed learns how fast engines prefill from prefills that had an engine to themselves.
type prefillSpeed struct{ samples []float64 }

// add takes in a prefill and the time to its first event.
func (p *prefillSpeed) add(tokens int, took time.Duration) {
	if tokens < speedTokens || took <= 0 {
		return
	}
	p.samples = append(p.samples, float64(tokens)/took.Seconds())
	p.samples = p.samples[max(0, len(p.samples)-speedSamples):]
}

// tokensPerSecond is the speed, zero before the first prefill.
func (p *prefillSpeed) tokensPerSecond() float64 {
	if len(p.samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p.samples))
	return sorted[int(speedQuantile*float64(len(sorted)-1))]
}
