package scheduler

import "time"

// reserve queues a request, or refuses it. If the queue overflows, a request is shed,
// which may be another one. Unless isNew is set, the request was admitted by an earlier
// owner and is not checked against rate limits and its deadline again.
//
// Config.QueueLimit doesn't count requests in floor places. A class with a free floor
// place is therefore always admitted, and lower-tier requests in floor places don't
// cause requests of other classes to be shed.
func (s *Scheduler) reserve(now time.Time, req Request, isNew bool) {
	if s.waiting[req.ID] != nil || s.granted[req.ID] != nil {
		return
	}
	r := &request{Request: req}
	c := s.classByName[req.Class]
	if c == nil {
		s.refuse(now, r, ReasonUnknownClass)
		return
	}
	if c.allowedServers == 0 {
		s.refuse(now, r, ReasonNoServer)
		return
	}
	o := s.organisation(now, req.Organisation)
	r.flow = &flow{class: c, organisation: o}
	if isNew {
		if wait, ok := o.admit(now, req.PromptTokens); !ok {
			s.refuseWithRetryAfter(r, ReasonLimit, wait)
			return
		}
	}
	if isNew && s.wouldMissDeadline(now, r) {
		s.refuse(now, r, ReasonDeadline)
		return
	}
	s.enqueue(c, o, r)
	if victim := s.overflowVictim(c); victim != nil {
		s.dequeue(victim)
		s.refuse(now, victim, ReasonQueueFull)
	}
}

func (s *Scheduler) enqueue(c *class, o *organisation, r *request) {
	c.add(o, r)
	s.waiting[r.ID] = r
	if !r.Deadline.IsZero() {
		s.deadlines.add(r)
	}
}

// overflowVictim returns the request to shed after a request of class added was queued,
// or nil if the queue is within its limit. A class within its floor places never causes
// an overflow.
func (s *Scheduler) overflowVictim(added *class) *request {
	if added.sharedWaiting() == 0 || s.sharedWaiting() <= s.cfg.QueueLimit {
		return nil
	}
	return s.shedVictim()
}

// sharedWaiting is the number of waiting requests outside floor places.
func (s *Scheduler) sharedWaiting() int {
	n := 0
	for _, c := range s.classes {
		n += c.sharedWaiting()
	}
	return n
}

// shedVictim returns the request to shed: in the lowest tier with requests outside floor
// places, it selects the class that exceeds its guaranteed places most, then the
// organisation with the longest queue relative to its weight, then the newest request.
func (s *Scheduler) shedVictim() *request {
	var worst *class
	for i := len(s.classes) - 1; i >= 0; i-- {
		c := s.classes[i]
		if c.sharedWaiting() == 0 {
			continue
		}
		if worst != nil && c.Tier < worst.Tier {
			break
		}
		if worst == nil || c.numWaiting-c.GuaranteedPlaces > worst.numWaiting-worst.GuaranteedPlaces {
			worst = c
		}
	}
	if worst == nil {
		return nil
	}
	f, _ := worst.shedOrder.min()
	return f.tail()
}

// wouldMissDeadline reports whether a new request is expected to still be waiting at its
// deadline. A request that gets a floor place is always admitted.
func (s *Scheduler) wouldMissDeadline(now time.Time, r *request) bool {
	c := r.flow.class
	if s.cfg.Ablations.NoEarlyRefusal || r.Deadline.IsZero() || c.numWaiting < c.FloorPlaces {
		return false
	}
	wait, known := s.expectedWait(c)
	return known && now.Add(wait).After(r.Deadline)
}

// expectedWait estimates the queueing time of a new request of class c from the requests
// ahead of it and the throughput of its servers. The throughput is derived from the
// number of slots and the mean slot time (Little's law), because the observed start rate
// only reflects demand while the shard is underloaded.
func (s *Scheduler) expectedWait(c *class) (wait time.Duration, known bool) {
	if s.meanSlotTime == 0 {
		return 0, false
	}
	ahead := 0
	for _, other := range s.classes {
		if other.Tier <= c.Tier {
			ahead += other.numWaiting
		}
	}
	slots := 0
	for _, sv := range s.servers {
		if c.allowedServers.has(sv.index) && !sv.Leaving && !sv.reportedLeaving && !sv.down {
			slots += int(sv.limit)
		}
	}
	return time.Duration(ahead) * s.meanSlotTime / time.Duration(max(1, slots)), true
}

// recordSlotTime adds the time that a request occupied its slot to the running mean.
func (s *Scheduler) recordSlotTime(slotTime time.Duration) {
	if s.meanSlotTime == 0 {
		s.meanSlotTime = slotTime
	}
	s.meanSlotTime += time.Duration(slotTimeSmoothing * float64(slotTime-s.meanSlotTime))
}

// slotTimeSmoothing is the weight of a new sample in the mean slot time.
const slotTimeSmoothing = 0.02

// dequeue removes a waiting request from all queues.
func (s *Scheduler) dequeue(r *request) {
	delete(s.waiting, r.ID)
	s.deadlines.remove(r)
	r.flow.class.remove(r)
}

func (s *Scheduler) refuseAll(now time.Time, c *class, reason Reason) {
	for c.numWaiting > 0 {
		f, _ := c.shedOrder.min()
		r := f.head()
		s.dequeue(r)
		s.refuse(now, r, reason)
	}
}

// refuse refuses a request with an estimated Retry-After.
func (s *Scheduler) refuse(now time.Time, r *request, reason Reason) {
	retryAfter := time.Duration(0)
	if r.flow != nil {
		retryAfter = s.nextRetryAfter(now, r.flow.class)
	}
	s.refuseWithRetryAfter(r, reason, retryAfter)
}

// nextRetryAfter returns the time after which a refused caller should retry. Retry times
// of a class are spaced by its start rate, so that callers that were refused together
// don't retry together and overload the queue again.
func (s *Scheduler) nextRetryAfter(now time.Time, c *class) time.Duration {
	retryAt := now.Add(s.estimateDrainTime(c))
	if perSecond, known := c.startRate.perSecond(); known {
		spaced := c.lastRetryAt.Add(time.Duration(float64(time.Second) / max(perSecond, minStartsPerSecond)))
		if spaced.After(retryAt) {
			retryAt = spaced
		}
	}
	if latest := now.Add(maxRetryAfter); retryAt.After(latest) {
		retryAt = latest
	}
	c.lastRetryAt = retryAt
	return retryAt.Sub(now)
}

// estimateDrainTime estimates the time until the queue of a class has drained. It uses
// the class's own start rate if that is known and yields a longer time, since requests
// of higher tiers that arrive meanwhile are started first.
func (s *Scheduler) estimateDrainTime(c *class) time.Duration {
	wait, _ := s.expectedWait(c)
	if perSecond, known := c.startRate.perSecond(); known {
		ownRateWait := time.Duration(float64(c.numWaiting) / max(perSecond, minStartsPerSecond) * float64(time.Second))
		wait = max(wait, ownRateWait)
	}
	return wait
}

// minStartsPerSecond bounds the estimates for a class that starts no requests.
const minStartsPerSecond = 0.1

// startRate measures the rate at which a class starts requests. The rate is unknown after
// a window in which the queue was empty, which measures demand rather than capacity.
type startRate struct {
	windowStart time.Time
	count       int
	sawIdle     bool
	mean        float64
	known       bool
}

const startRateWindow = time.Second

// tick closes the current window if it has ended.
func (r *startRate) tick(now time.Time, waiting int) {
	if waiting == 0 {
		r.sawIdle = true
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < startRateWindow {
		return
	}
	sample := float64(r.count) / elapsed.Seconds()
	switch {
	case r.sawIdle || r.windowStart.IsZero():
		r.known = false
	case !r.known:
		r.mean, r.known = sample, true
	default:
		r.mean += smoothingFactor * (sample - r.mean)
	}
	*r = startRate{windowStart: now, mean: r.mean, known: r.known, sawIdle: waiting == 0}
}

func (r *startRate) perSecond() (rate float64, known bool) { return r.mean, r.known }

const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// retryJitter is the maximum random extension of Retry-After, as a fraction.
	retryJitter = 0.5
)

func (s *Scheduler) refuseWithRetryAfter(r *request, reason Reason, retryAfter time.Duration) {
	retryAfter = time.Duration(float64(retryAfter) * (1 + retryJitter*s.rng.Float64()))
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	s.decisions.Refusals = append(s.decisions.Refusals, Refusal{ID: r.ID, Reason: reason, RetryAfter: retryAfter})
}
