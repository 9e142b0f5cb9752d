package scheduler

import "time"

// dispatch grants as long as a free slot and work that may use it are there.
func (s *Scheduler) dispatch(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	free := s.freeSlots(now)
	for free.total > 0 {
		c := s.nextClass(free)
		if c == nil {
			return
		}
		f, _ := c.serve.min()
		r := f.head()
		sv := s.chooseServer(r, c.allowed&free.set)
		s.credit(c)
		s.grant(now, r, sv)
		free.take(sv, now, s.settling)
	}
}

// freeSlots is a snapshot of what can be granted.
type freeSlots struct {
	set   serverSet
	count [MaxServers]int
	total int
}

func (s *Scheduler) freeSlots(now time.Time) *freeSlots {
	f := &freeSlots{}
	for i, sv := range s.servers {
		n := sv.free(now, s.settling)
		f.count[i] = n
		f.total += n
		if n > 0 {
			f.set |= 1 << i
		}
	}
	return f
}

func (f *freeSlots) take(sv *server, now time.Time, settling bool) {
	n := sv.free(now, settling)
	f.total += n - f.count[sv.index]
	f.count[sv.index] = n
	if n == 0 {
		f.set &^= 1 << sv.index
	}
}

// within counts the free slots on the servers of a set.
func (f *freeSlots) within(set serverSet) int {
	n := 0
	for i := range f.count {
		if set.has(i) {
			n += f.count[i]
		}
	}
	return n
}

// nextClass picks the class of the next start. A class that is owed a start by
// its floor goes first; else the highest tier, and within it the class whose
// oldest request is closest to its target.
func (s *Scheduler) nextClass(free *freeSlots) *class {
	var best, due *class
	for _, c := range s.classes {
		if c.serve.Len() == 0 || c.allowed&free.set == 0 {
			continue
		}
		if s.owed(c) && (due == nil || s.owedStarts(c) > s.owedStarts(due)) {
			due = c
		}
		if best != nil && best.Tier < c.Tier {
			continue
		}
		if !s.mayUseHeadroom(c) && free.within(c.allowed) <= s.cfg.HeadroomSlots {
			continue
		}
		if best == nil || sooner(c, best) {
			best = c
		}
	}
	if due != nil {
		return due
	}
	return best
}

func (s *Scheduler) owed(c *class) bool {
	return !s.cfg.Ablations.NoFloor && c.Floor > 0 && s.owedStarts(c) >= 1
}

// owedStarts is the class's credit in starts of its own usual size.
func (s *Scheduler) owedStarts(c *class) float64 { return c.credit / s.cost(c) }

// cost is the work of a usual request of the class, in output tokens. A class of
// which no answer was seen yet counts as usual for the shard: a guess far above
// the others would keep its first starts from it.
func (s *Scheduler) cost(c *class) float64 {
	if c.seenOutput {
		return max(1, c.meanOutput)
	}
	sum, n := 0.0, 0
	for _, o := range s.classes {
		if o.seenOutput {
			sum += o.meanOutput
			n++
		}
	}
	if n == 0 {
		return initialOutput
	}
	return max(1, sum/float64(n))
}

// mayUseHeadroom holds for the highest tier, or where there is no headroom.
func (s *Scheduler) mayUseHeadroom(c *class) bool {
	return s.cfg.HeadroomSlots == 0 || s.cfg.Ablations.NoHeadroom || c.Tier == s.classes[0].Tier
}

// sooner compares classes of one tier by when their next request misses its
// first-token target.
func sooner(a, b *class) bool {
	ta, tb := a.nextTarget(), b.nextTarget()
	if !ta.Equal(tb) {
		return ta.Before(tb)
	}
	return a.Name < b.Name
}

func (c *class) nextTarget() time.Time {
	f, _ := c.serve.min()
	return f.head().Arrival.Add(c.FirstTokenTarget)
}

// maxCredit bounds what a class can be owed, in starts, so that a class that could
// not run for a while doesn't take the shard over afterwards.
const maxCredit = 2

// credit books one start. Every class with work waiting earns its floor of the
// work that starts; the one that starts pays for it. Counted in starts alone, a
// class of long answers would take a multiple of its floor.
func (s *Scheduler) credit(started *class) {
	work := s.cost(started)
	for _, c := range s.classes {
		if c.waiting == 0 {
			c.credit = 0
			continue
		}
		c.credit = min(maxCredit*s.cost(c), c.credit+c.Floor*work)
	}
	started.credit = max(0, started.credit-work)
}

// grant moves a waiting request to a server.
func (s *Scheduler) grant(now time.Time, r *request, sv *server) {
	c, o := r.flow.class, r.flow.org
	s.drop(r)
	c.starts.count++
	r.server = sv
	r.grantedAt = now
	r.charged = float64(r.PromptTokens) + c.meanOutput
	r.flow.counter += r.charged / o.weight()
	c.serve.fix(r.flow)
	s.hold(now, r)
	s.unstarted = append(s.unstarted, r)
	s.prefixes.sent(r.PrefixHashes, sv.Name)
	s.out.Grants = append(s.out.Grants, Grant{ID: r.ID, Server: sv.Name, Waited: now.Sub(r.Arrival)})
}

// hold counts a granted request on its server and organisation.
func (s *Scheduler) hold(now time.Time, r *request) {
	s.granted[r.ID] = r
	r.server.granted++
	r.server.notePeak(now)
	o := r.flow.org
	o.running++
	if o.blocked() {
		s.block(o)
	}
}

// release gives a granted request's slot back.
func (s *Scheduler) release(now time.Time, r *request) {
	delete(s.granted, r.ID)
	r.server.granted--
	r.flow.org.running--
	r.flow.org.seen = now
	s.unblock(r.flow.org)
}

// block keeps an organisation at its concurrency limit from starting more.
func (s *Scheduler) block(o *organisation) {
	for _, c := range s.classes {
		if f := c.flows[o.name]; f != nil {
			c.serve.remove(f)
		}
	}
}

func (s *Scheduler) unblock(o *organisation) {
	if o.blocked() {
		return
	}
	for _, c := range s.classes {
		if f := c.flows[o.name]; f != nil {
			c.unblock(f)
		}
	}
}

const (
	// localityBound: the server with the longest cached prefix is taken while
	// its load is within this factor of the mean.
	localityBound = 1.25
	// localitySlack lets a nearly idle shard keep its locality.
	localitySlack = 0.1
)

// chooseServer picks among the servers of set, which is not empty: the longest
// cached prefix unless that server is loaded beyond its peers, else the least
// loaded, counted by own grants.
func (s *Scheduler) chooseServer(r *request, set serverSet) *server {
	set = s.without(set, r.AvoidServers)
	var best *server
	var bestLoad, sum float64
	for _, sv := range s.servers {
		if !set.has(sv.index) {
			continue
		}
		load := sv.load()
		sum += load
		if best == nil || load < bestLoad {
			best, bestLoad = sv, load
		}
	}
	if s.cfg.Ablations.NoPrefix {
		return best
	}
	near := s.index[s.prefixes.longest(r.PrefixHashes)]
	if near == nil || !set.has(near.index) {
		return best
	}
	mean := sum / float64(set.len())
	if near.load() <= mean*localityBound+localitySlack {
		return near
	}
	return best
}

// load is the share of a server's limit in use after one more start. A slow
// server's limit is lower (observe), so that speed needs no weight of its own.
func (s *server) load() float64 { return float64(s.used()+1) / max(1, s.limit) }

// without removes the servers to avoid, unless none would be left.
func (s *Scheduler) without(set serverSet, avoid []string) serverSet {
	left := set
	for _, n := range avoid {
		if sv := s.index[n]; sv != nil {
			left &^= 1 << sv.index
		}
	}
	if left == 0 {
		return set
	}
	return left
}
