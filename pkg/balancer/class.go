package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	// interactiveRatio is how many times more a class must lose by the prefills of the
	// others than the others lose by its own to count as interactive. Classes that differ
	// only by chance stay well below it (TestClassesThatDifferByChanceAreNotInteractive).
	interactiveRatio = 4.0
	// profileTime is the time over which the profile of a class is averaged.
	profileTime = 10 * time.Second
	// streamingPrior is the length of a stream that is assumed until one has ended.
	streamingPrior = time.Second
	// pausePrior is the pause that streams may have where none is set.
	pausePrior = time.Second
	// streamingWeight is the weight of a new stream in the mean length of its class.
	streamingWeight = 0.1
	// classesMost bounds the classes that are remembered of one service.
	classesMost = 64
)

// profile is what the requests of one class do to an engine, and what they suffer there,
// summed over recent requests.
type profile struct {
	// prefill is the tokens to prefill: each delays the tokens of the streams that run
	// beside it.
	prefill float64
	// exposure is the time spent streaming, counted in pauses that the class may have:
	// the longer a stream and the tighter its target, the more a prefill beside it costs.
	exposure float64
	// streaming is the mean length of a stream.
	streaming time.Duration
	// updated is when the sums were last decayed, seen when a request last came.
	updated time.Time
	seen    time.Time
}

// decay lets old requests count less.
func (p *profile) decay(now time.Time) {
	if !p.updated.IsZero() {
		f := math.Exp(-now.Sub(p.updated).Seconds() / profileTime.Seconds())
		p.prefill *= f
		p.exposure *= f
	}
	p.updated = now
}

// profiles are those of the classes of one service.
type profiles map[string]*profile

// of returns the profile of a class. A new one takes the place of the class that was
// not seen for longest if there are too many.
func (s profiles) of(class string, now time.Time) *profile {
	p, ok := s[class]
	if !ok {
		if len(s) >= classesMost {
			s.evict()
		}
		p = &profile{streaming: streamingPrior, seen: now}
		s[class] = p
	}
	p.decay(now)
	return p
}

// evict forgets the class that was not seen for longest.
func (s profiles) evict() {
	var oldest string
	for name, p := range s {
		if oldest == "" || p.seen.Before(s[oldest].seen) {
			oldest = name
		}
	}
	delete(s, oldest)
}

// add takes in a request that starts: the tokens to prefill for it, and the pause that
// its stream may have, zero if none is set.
func (s profiles) add(class string, prefill int, pause time.Duration, now time.Time) {
	p := s.of(class, now)
	p.seen = now
	p.prefill += float64(prefill)
	p.exposure += p.streaming.Seconds() / cmp.Or(pause, pausePrior).Seconds()
}

// ended takes in the length of a stream.
func (s profiles) ended(class string, length time.Duration, now time.Time) {
	p := s.of(class, now)
	p.streaming += time.Duration(streamingWeight * float64(length-p.streaming))
}

// interactive tells whether a class loses far more by the prefills of the other classes than
// they lose by its own. A service with one class has none.
func (s profiles) interactive(class string, now time.Time) bool {
	p := s.of(class, now)
	var others profile
	for name, o := range s {
		if name == class {
			continue
		}
		o.decay(now)
		others.prefill += o.prefill
		others.exposure += o.exposure
	}
	return p.exposure*others.prefill > interactiveRatio*others.exposure*p.prefill
}
