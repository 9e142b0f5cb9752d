package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	// minInteractiveRatio is the factor by which a class must suffer more from the prefills of
	// other classes than they suffer from its own to count as interactive. Classes that differ
	// only by chance stay well below it (TestClassesThatDifferByChanceAreNotInteractive).
	minInteractiveRatio = 4.0
	// profileDecayTime is the time constant of the decay of class profiles.
	profileDecayTime = 10 * time.Second
	// initialStreamDuration is the assumed stream duration until a stream has ended.
	initialStreamDuration = time.Second
	// defaultEventInterval is the interval between events that streams may have if none is set.
	defaultEventInterval = time.Second
	// streamDurationWeight is the weight of a new stream in the mean duration of its class.
	streamDurationWeight = 0.1
	// maxClasses bounds the profiles kept for one service.
	maxClasses = 64
	// assumedPrefill is the mean prefill in a lane of which no recent request is known, in tokens.
	assumedPrefill = 1000.0
	// minKnownRequests is the decayed number of requests from which their mean prefill is used: one
	// request counts for 46 s.
	minKnownRequests = 0.01
	// minMeanPrefill is the lowest mean prefill in a lane, in tokens: a request whose prompt is cached
	// still takes an engine a step.
	minMeanPrefill = 100.0
)

// profile describes the load that recent requests of a class put on engines, and how sensitive
// they are to the load of others.
type profile struct {
	// prefillTokens is the decayed sum of tokens to prefill: each delays the tokens of concurrent
	// streams.
	prefillTokens float64
	// requests is the decayed number of requests.
	requests float64
	// exposure is the decayed sum of stream durations, in units of the interval that the class
	// permits between events: the longer a stream and the tighter its target, the more a
	// concurrent prefill hurts.
	exposure float64
	// streamDuration is the mean duration of a stream.
	streamDuration time.Duration
	// decayedAt is when the sums were last decayed.
	decayedAt   time.Time
	lastRequest time.Time
}

// decay reduces the weight of old requests.
func (p *profile) decay(now time.Time) {
	if !p.decayedAt.IsZero() {
		f := math.Exp(-now.Sub(p.decayedAt).Seconds() / profileDecayTime.Seconds())
		p.prefillTokens *= f
		p.requests *= f
		p.exposure *= f
	}
	p.decayedAt = now
}

// profiles holds the class profiles of one service.
type profiles map[string]*profile

// of returns the profile of a class, creating it if needed. A new one may evict the least recently
// used one.
func (s profiles) of(class string, now time.Time) *profile {
	p, ok := s[class]
	if !ok {
		if len(s) >= maxClasses {
			s.evictOldest()
		}
		p = &profile{streamDuration: initialStreamDuration, lastRequest: now}
		s[class] = p
	}
	p.decay(now)
	return p
}

// evictOldest removes the class whose last request is the oldest.
func (s profiles) evictOldest() {
	var oldest string
	for name, p := range s {
		if oldest == "" || p.lastRequest.Before(s[oldest].lastRequest) {
			oldest = name
		}
	}
	delete(s, oldest)
}

// recordStart records a request with the tokens to prefill and the interval permitted between the
// events of its stream, zero if none is set.
func (s profiles) recordStart(class string, prefillTokens int, maxEventInterval time.Duration, now time.Time) {
	p := s.of(class, now)
	p.lastRequest = now
	p.prefillTokens += float64(prefillTokens)
	p.requests++
	p.exposure += p.streamDuration.Seconds() / cmp.Or(maxEventInterval, defaultEventInterval).Seconds()
}

// recordStreamEnd records the duration of a stream.
func (s profiles) recordStreamEnd(class string, duration time.Duration, now time.Time) {
	p := s.of(class, now)
	p.streamDuration += time.Duration(streamDurationWeight * float64(duration-p.streamDuration))
}

// interactive reports whether a class suffers far more from the prefills of the other classes than
// they suffer from its own. It is false if the service has only one class.
func (s profiles) interactive(class string, now time.Time) bool {
	p := s.of(class, now)
	var others profile
	for name, other := range s {
		if name == class {
			continue
		}
		other.decay(now)
		others.prefillTokens += other.prefillTokens
		others.exposure += other.exposure
	}
	return p.interactiveAmong(others)
}

// interactiveAmong reports whether a class is interactive, given the sums of the other classes.
func (p *profile) interactiveAmong(others profile) bool {
	return p.exposure*others.prefillTokens > minInteractiveRatio*others.exposure*p.prefillTokens
}

// meanPrefill returns the mean number of tokens that a request has to prefill in one lane, at least
// minMeanPrefill. It is that of all classes of the lane: a mean of each class would turn the same
// demand into more requests for a class of short prompts than for one of long prompts, and refuse it
// earlier.
func (s profiles) meanPrefill(interactive bool, now time.Time) float64 {
	var all, inLane profile
	for _, p := range s {
		p.decay(now)
		all.prefillTokens += p.prefillTokens
		all.exposure += p.exposure
	}
	for _, p := range s {
		others := profile{prefillTokens: all.prefillTokens - p.prefillTokens, exposure: all.exposure - p.exposure}
		if p.interactiveAmong(others) == interactive {
			inLane.prefillTokens += p.prefillTokens
			inLane.requests += p.requests
		}
	}
	if inLane.requests < minKnownRequests {
		return assumedPrefill
	}
	return max(minMeanPrefill, inLane.prefillTokens/inLane.requests)
}
