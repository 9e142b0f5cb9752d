package scheduler

import "time"

// reserve admits, refuses, or sheds another request to make room.
//
// The bound counts only what stands beyond the classes' floor places. A class
// with a free floor place is therefore always admitted, and nobody is refused
// on account of lower-tier work that stands in its floor places.
func (s *Scheduler) reserve(now time.Time, q Request, fresh bool) {
	if s.waiting[q.ID] != nil || s.granted[q.ID] != nil {
		return
	}
	r := &request{Request: q}
	c := s.byName[q.Class]
	if c == nil {
		s.refuse(now, r, ReasonUnknownClass)
		return
	}
	if c.allowed == 0 {
		s.refuse(now, r, ReasonNoServer)
		return
	}
	o := s.organisation(now, q.Organisation)
	r.flow = &flow{class: c, org: o}
	if fresh {
		if wait, ok := o.admit(now, q.PromptTokens); !ok {
			s.refuseFor(r, ReasonLimit, wait)
			return
		}
	}
	if fresh && s.hopeless(now, r) {
		s.refuse(now, r, ReasonDeadline)
		return
	}
	s.enqueue(c, o, r)
	if victim := s.overflow(c); victim != nil {
		s.drop(victim)
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

// overflow returns the request to shed after one of class newcomer was added,
// or nil while the queue is within its bound. A class that was within its floor
// places is never the reason that the queue overflows.
func (s *Scheduler) overflow(newcomer *class) *request {
	if newcomer.beyond() == 0 || s.beyond() <= s.cfg.QueueLimit {
		return nil
	}
	return s.victim()
}

// beyond counts the waiting requests that stand in the shared part of the queue.
func (s *Scheduler) beyond() int {
	n := 0
	for _, c := range s.classes {
		n += c.beyond()
	}
	return n
}

// victim picks what gives way: in the lowest tier with work beyond its floor
// places, the class furthest over its guarantee; there the organisation with
// the longest queue for its weight; there the newest request.
func (s *Scheduler) victim() *request {
	var worst *class
	for i := len(s.classes) - 1; i >= 0; i-- {
		c := s.classes[i]
		if c.beyond() == 0 {
			continue
		}
		if worst != nil && c.Tier < worst.Tier {
			break
		}
		if worst == nil || c.waiting-c.GuaranteedPlaces > worst.waiting-worst.GuaranteedPlaces {
			worst = c
		}
	}
	if worst == nil {
		return nil
	}
	f, _ := worst.shed.min()
	return f.tail()
}

// hopeless tells whether a newcomer can't be served before its deadline, judged
// by the rate of starts and what stands before it. A class within its floor
// places gets the benefit of the doubt.
func (s *Scheduler) hopeless(now time.Time, r *request) bool {
	c := r.flow.class
	if s.cfg.Ablations.NoEarlyRefusal || r.Deadline.IsZero() || c.waiting < c.FloorPlaces {
		return false
	}
	wait, known := s.expectedWait(c)
	return known && now.Add(wait).After(r.Deadline)
}

// expectedWait estimates how long a newcomer of class c waits: what stands before
// it, over the starts a second that its servers make when they are full. The
// starts that were made say nothing: when there is little to do they measure the
// demand. So the rate comes from slots and the mean time in one (Little's law).
func (s *Scheduler) expectedWait(c *class) (wait time.Duration, known bool) {
	if s.meanHeld == 0 {
		return 0, false
	}
	ahead := 0
	for _, o := range s.classes {
		if o.Tier <= c.Tier {
			ahead += o.waiting
		}
	}
	slots := 0
	for _, sv := range s.servers {
		if c.allowed.has(sv.index) && !sv.Leaving && !sv.leaving && !sv.down {
			slots += int(sv.limit)
		}
	}
	return time.Duration(ahead) * s.meanHeld / time.Duration(max(1, slots)), true
}

// noteHeld takes the time that a request held its slot into the running mean.
func (s *Scheduler) noteHeld(held time.Duration) {
	if s.meanHeld == 0 {
		s.meanHeld = held
	}
	s.meanHeld += time.Duration(heldSmoothing * float64(held-s.meanHeld))
}

// heldSmoothing is the weight of one more request in the mean time in a slot.
const heldSmoothing = 0.02

// drop takes a waiting request out of every queue.
func (s *Scheduler) drop(r *request) {
	delete(s.waiting, r.ID)
	s.deadlines.remove(r)
	r.flow.class.remove(r)
}

func (s *Scheduler) refuseAll(now time.Time, c *class, reason Reason) {
	for c.waiting > 0 {
		f, _ := c.shed.min()
		r := f.head()
		s.drop(r)
		s.refuse(now, r, reason)
	}
}

// refuse answers at once, with an estimate of when asking again has a chance.
func (s *Scheduler) refuse(now time.Time, r *request, reason Reason) {
	wait := time.Duration(0)
	if r.flow != nil {
		wait = s.nextReturn(now, r.flow.class)
	}
	s.refuseFor(r, reason, wait)
}

// nextReturn gives a refused caller its turn to come back. Callers who were all
// told the same time would come back all at once and be refused again; turns are
// spaced by the class's own rate, so that there is room for each.
func (s *Scheduler) nextReturn(now time.Time, c *class) time.Duration {
	turn := now.Add(s.untilRoom(c))
	if perSecond, known := c.starts.perSecond(); known {
		spaced := c.lastReturn.Add(time.Duration(float64(time.Second) / max(perSecond, leastRate)))
		if spaced.After(turn) {
			turn = spaced
		}
	}
	if latest := now.Add(maxRetryAfter); turn.After(latest) {
		turn = latest
	}
	c.lastReturn = turn
	return turn.Sub(now)
}

// untilRoom estimates when a class's queue will have drained: at the rate of its
// own starts, if it had work waiting lately, since what comes in higher tiers
// meanwhile goes first; else at the servers' whole rate.
func (s *Scheduler) untilRoom(c *class) time.Duration {
	wait, _ := s.expectedWait(c)
	if perSecond, known := c.starts.perSecond(); known {
		own := time.Duration(float64(c.waiting) / max(perSecond, leastRate) * float64(time.Second))
		wait = max(wait, own)
	}
	return wait
}

// leastRate keeps estimates finite when a class starts nothing at all.
const leastRate = 0.1

// startRate is the rate of a class's starts over windows in which it had work
// waiting all the time: only those tell what it can get.
type startRate struct {
	from  time.Time
	count int
	idle  bool
	mean  float64
	known bool
}

const rateWindow = time.Second

// tick closes a window.
func (r *startRate) tick(now time.Time, waiting int) {
	if waiting == 0 {
		r.idle = true
	}
	passed := now.Sub(r.from)
	if passed < rateWindow {
		return
	}
	sample := float64(r.count) / passed.Seconds()
	switch {
	case r.idle || r.from.IsZero():
		r.known = false
	case !r.known:
		r.mean, r.known = sample, true
	default:
		r.mean += smoothing * (sample - r.mean)
	}
	*r = startRate{from: now, mean: r.mean, known: r.known, idle: waiting == 0}
}

func (r *startRate) perSecond() (rate float64, known bool) { return r.mean, r.known }

const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// retryJitter spreads callers who were refused together.
	retryJitter = 0.5
)

func (s *Scheduler) refuseFor(r *request, reason Reason, wait time.Duration) {
	wait = time.Duration(float64(wait) * (1 + retryJitter*s.rng.Float64()))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	s.out.Refusals = append(s.out.Refusals, Refusal{ID: r.ID, Reason: reason, RetryAfter: wait})
}
