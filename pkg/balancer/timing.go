package balancer

import (
	"math"
	"time"
)

const (
	// timingDecayTime is the time constant of the decay of server timings. It is long against the
	// momentary slowdowns of servers, which are over before other boxes could act on them.
	timingDecayTime = 10 * time.Second
	// timingDecayStep is the resolution of the decay in choices. It keeps the exponential function
	// out of most choices, and changes the sums by at most 1%.
	timingDecayStep = 100 * time.Millisecond
	// firstEventOverhead is the part of the time to the first event that does not depend on the
	// length of the prompt: the network and the first step of the engine.
	firstEventOverhead = 20 * time.Millisecond
	// maxObservation bounds a single observed or expected time. No caller waits longer for a first
	// event, and the sums of a server with an implausible speed stay finite.
	maxObservation = time.Minute
	// timingPrior is the expected time, in milliseconds, by which a server with few observations is
	// taken for an average one.
	timingPrior = 200.0
	// minSlowness and maxSlowness bound the estimated slowness of a server.
	minSlowness = 0.5
	maxSlowness = 4.0
	// timingTTL is how long the timings of the other boxes are valid after they were set.
	timingTTL = 5 * time.Second
	// minTimingMS is the expected time from which a timing is reported.
	minTimingMS = 10.0
	// maxReportGap is the time between two reports, which are made each second, from which the box
	// counts as having been suspended. What it measured across the gap says nothing about servers.
	maxReportGap = 2 * time.Second
)

// Timing compares the observed times to the first event at a server with those that an average
// engine of the service would need. Both are decayed sums in milliseconds.
type Timing struct {
	ElapsedMS  float64
	ExpectedMS float64
}

// Plus returns the sum of t and o.
func (t Timing) Plus(o Timing) Timing {
	return Timing{ElapsedMS: t.ElapsedMS + o.ElapsedMS, ExpectedMS: t.ExpectedMS + o.ExpectedMS}
}

// Minus returns t without o. Nothing goes below zero, as o may be more recent than t.
func (t Timing) Minus(o Timing) Timing {
	return Timing{ElapsedMS: max(0, t.ElapsedMS-o.ElapsedMS), ExpectedMS: max(0, t.ExpectedMS-o.ExpectedMS)}
}

// After returns what is left of t once it has aged by d.
func (t Timing) After(d time.Duration) Timing {
	f := math.Exp(-max(0, d.Seconds()) / timingDecayTime.Seconds())
	return Timing{ElapsedMS: t.ElapsedMS * f, ExpectedMS: t.ExpectedMS * f}
}

// slowness returns how much slower than the average the server is, given the ratio of elapsed to
// expected time of all servers.
func (t Timing) slowness(mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	s := (t.ElapsedMS + timingPrior*mean) / (t.ExpectedMS + timingPrior) / mean
	return min(max(s, minSlowness), maxSlowness)
}

// decayingTiming is a timing with the time of its last decay.
type decayingTiming struct {
	Timing
	decayedAt time.Time
}

func (t *decayingTiming) decay(now time.Time) {
	if !t.decayedAt.IsZero() {
		t.Timing = t.After(now.Sub(t.decayedAt))
	}
	t.decayedAt = now
}

// at returns the timing with the decay up to now, to within timingDecayStep.
func (t *decayingTiming) at(now time.Time) Timing {
	if now.Sub(t.decayedAt) >= timingDecayStep {
		t.decay(now)
	}
	return t.Timing
}

func (t *decayingTiming) add(elapsed, expected time.Duration, now time.Time) {
	t.decay(now)
	t.ElapsedMS += min(max(0, elapsed), maxObservation).Seconds() * 1000
	t.ExpectedMS += min(expected, maxObservation).Seconds() * 1000
}

// setSlowness sets the slowness of the choices relative to their mean.
func (b *Balancer) setSlowness(choices []choice, now time.Time) {
	peersValid := b.peerTimingsValid(now)
	timingOf := func(s *server) Timing {
		t := s.timing.at(now)
		if peersValid {
			t = t.Plus(s.peerTiming)
		}
		return t
	}
	var total Timing
	for i := range choices {
		total = total.Plus(timingOf(choices[i].state))
	}
	if total.ExpectedMS < timingPrior {
		return
	}
	mean := total.ElapsedMS / total.ExpectedMS
	for i := range choices {
		s := choices[i].state
		choices[i].slowness = timingOf(s).slowness(mean)
		s.slowness, s.slownessAt = choices[i].slowness, now
	}
}

// recordTiming records the time that a request took to its first event, or that it has waited for
// it. It ignores requests during which this box was suspended.
func (l *Lease) recordTiming(now time.Time) {
	b := l.balancer
	suspended := !b.timingsReportedAt.IsZero() && now.Sub(b.timingsReportedAt) > maxReportGap
	if l.relayed || b.isolated || l.expected <= 0 || suspended || l.pickedAt.Before(b.resumedAt) {
		return
	}
	l.state.timing.add(now.Sub(l.pickedAt), l.expected, now)
}

// recordMissingEvent records the wait of a request that was abandoned before its first event, once
// it exceeds what an average engine needs. Without it, a server too slow for any caller to wait for
// would stay without observations, and count as average.
func (l *Lease) recordMissingEvent(now time.Time) {
	if l.prefilledAt.IsZero() && now.Sub(l.pickedAt) > l.expected {
		l.recordTiming(now)
	}
}

// UsesTimings reports whether choices use timings.
func (b *Balancer) UsesTimings() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.ServerTimings
}

// TimingReport returns the timings of this box's own requests. It has to be called once a second.
func (b *Balancer) TimingReport(now time.Time) map[ServerKey]Timing {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.timingsReportedAt.IsZero() && now.Sub(b.timingsReportedAt) > maxReportGap {
		b.resumedAt = now
	}
	b.timingsReportedAt = now
	report := make(map[ServerKey]Timing)
	for key, s := range b.servers {
		if t := s.timing.at(now); t.ExpectedMS >= minTimingMS {
			report[key] = t
		}
	}
	return report
}

// SetPeerTimings replaces the timings of the other boxes. The map must not be changed afterwards.
func (b *Balancer) SetPeerTimings(timings map[ServerKey]Timing, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unchanged := len(timings) == 0 && len(b.peerTimings) == 0
	b.peerTimings, b.peerTimingsAt = timings, now
	if unchanged {
		return
	}
	for key, s := range b.servers {
		s.peerTiming = timings[key]
	}
}

func (b *Balancer) peerTimingsValid(now time.Time) bool {
	return now.Sub(b.peerTimingsAt) <= timingTTL
}

// Bands of SlownessCounts. A server in the average band takes 0.8 to 1.25 times the average time.
const (
	bandFast    = "fast"
	bandAverage = "average"
	bandSlow    = "slow"

	minAverageSlowness = 0.8
	maxAverageSlowness = 1.25
)

func slownessBand(slowness float64) string {
	switch {
	case slowness < minAverageSlowness:
		return bandFast
	case slowness > maxAverageSlowness:
		return bandSlow
	}
	return bandAverage
}

// SlownessCounts returns the number of servers in each band of slowness, of those that a choice
// considered within the last timingDecayTime.
func (b *Balancer) SlownessCounts(now time.Time) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int64{bandFast: 0, bandAverage: 0, bandSlow: 0}
	for _, s := range b.servers {
		if s.slowness > 0 && now.Sub(s.slownessAt) <= timingDecayTime {
			counts[slownessBand(s.slowness)]++
		}
	}
	return counts
}

// expectedFirstEvent returns the time to the first event that an average engine needs for tokens,
// zero if the speed is not positive.
func expectedFirstEvent(tokens int, tokensPerSecond float64) time.Duration {
	if !(tokensPerSecond > 0) {
		return 0
	}
	prefill := min(float64(tokens)/tokensPerSecond, maxObservation.Seconds())
	return firstEventOverhead + time.Duration(prefill*float64(time.Second))
}

// expectedAt returns the time to the first event that an average engine would need in place of the
// chosen one, zero if timings are not used or the prefill speed is unknown.
func (b *Balancer) expectedAt(q Query, c *choice, now time.Time) time.Duration {
	if !b.policy.ServerTimings {
		return 0
	}
	return expectedFirstEvent(c.load.Backlog+c.prefillTokens(q), b.meanSpeed(q.Service, now))
}

// meanSpeed returns the mean prefill speed that all boxes observe at a service's engines, in tokens
// per second, zero if it is unknown.
func (b *Balancer) meanSpeed(service string, now time.Time) float64 {
	stats := b.statsOf(service)
	samples := len(stats.speed.samples)
	observed := Demand{SpeedSum: stats.speed.tokensPerSecond() * float64(samples), Samples: samples}
	if b.peerLoadsFresh(now) {
		observed.SpeedSum += stats.peers.SpeedSum
		observed.Samples += stats.peers.Samples
	}
	return observed.speed()
}
