package scheduler

import "time"

// dispatch grants free slots to waiting requests until no request can use a free slot.
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
		f, _ := c.eligible.min()
		r := f.head()
		sv := s.chooseServer(r, c.allowedServers&free.servers)
		s.updateFloorCredits(c)
		s.grant(now, r, sv)
		free.update(sv, now, s.recovering)
	}
}

// freeSlots counts the free slots, in total and by server index. servers is the set of
// servers with a free slot.
type freeSlots struct {
	servers   serverSet
	perServer [MaxServers]int
	total     int
}

func (s *Scheduler) freeSlots(now time.Time) *freeSlots {
	f := &freeSlots{}
	for i, sv := range s.servers {
		n := sv.freeSlots(now, s.recovering)
		f.perServer[i] = n
		f.total += n
		if n > 0 {
			f.servers |= 1 << i
		}
	}
	return f
}

func (f *freeSlots) update(sv *server, now time.Time, recovering bool) {
	n := sv.freeSlots(now, recovering)
	f.total += n - f.perServer[sv.index]
	f.perServer[sv.index] = n
	if n == 0 {
		f.servers &^= 1 << sv.index
	}
}

// countIn returns the number of free slots on the servers in set.
func (f *freeSlots) countIn(set serverSet) int {
	n := 0
	for i := range f.perServer {
		if set.has(i) {
			n += f.perServer[i]
		}
	}
	return n
}

// nextClass returns the class that starts the next request. A class that is owed a start
// by its floor goes first. Otherwise the highest tier goes first, and within a tier the
// class whose next request reaches its first-token target earliest.
func (s *Scheduler) nextClass(free *freeSlots) *class {
	var best, owed *class
	for _, c := range s.classes {
		if c.eligible.Len() == 0 || c.allowedServers&free.servers == 0 {
			continue
		}
		if s.isOwedStart(c) && (owed == nil || s.owedStarts(c) > s.owedStarts(owed)) {
			owed = c
		}
		if best != nil && best.Tier < c.Tier {
			continue
		}
		if !s.mayUseHeadroom(c) && free.countIn(c.allowedServers) <= s.cfg.HeadroomSlots {
			continue
		}
		if best == nil || hasEarlierTarget(c, best) {
			best = c
		}
	}
	if owed != nil {
		return owed
	}
	return best
}

func (s *Scheduler) isOwedStart(c *class) bool {
	return !s.cfg.Ablations.NoFloor && c.Floor > 0 && s.owedStarts(c) >= 1
}

// owedStarts is the class's floor credit as a number of its mean requests.
func (s *Scheduler) owedStarts(c *class) float64 { return c.floorCredit / s.startCost(c) }

// startCost is the mean cost of a request of the class in output tokens. Until a request
// of the class has completed, the mean of the other classes is used, because a much
// higher estimate would delay its first owed starts.
func (s *Scheduler) startCost(c *class) float64 {
	if c.outputKnown {
		return max(1, c.meanOutputTokens)
	}
	sum, n := 0.0, 0
	for _, other := range s.classes {
		if other.outputKnown {
			sum += other.meanOutputTokens
			n++
		}
	}
	if n == 0 {
		return initialOutputTokens
	}
	return max(1, sum/float64(n))
}

// mayUseHeadroom reports whether a class may use the last HeadroomSlots free slots.
func (s *Scheduler) mayUseHeadroom(c *class) bool {
	return s.cfg.HeadroomSlots == 0 || s.cfg.Ablations.NoHeadroom || c.Tier == s.classes[0].Tier
}

// hasEarlierTarget orders classes of one tier by the first-token target of their next
// request.
func hasEarlierTarget(a, b *class) bool {
	targetA, targetB := a.nextTargetTime(), b.nextTargetTime()
	if !targetA.Equal(targetB) {
		return targetA.Before(targetB)
	}
	return a.Name < b.Name
}

func (c *class) nextTargetTime() time.Time {
	f, _ := c.eligible.min()
	return f.head().Arrival.Add(c.FirstTokenTarget)
}

// maxCreditStarts bounds the starts that a class can be owed, so that a class that was
// blocked for a while doesn't monopolise the shard afterwards.
const maxCreditStarts = 2

// updateFloorCredits accounts for a start. Every class with waiting requests is credited
// with its floor's share of the cost, and the started class is debited with the cost. The
// cost is measured in tokens because a class with long responses would otherwise get a
// multiple of its floor.
func (s *Scheduler) updateFloorCredits(started *class) {
	cost := s.startCost(started)
	for _, c := range s.classes {
		if c.numWaiting == 0 {
			c.floorCredit = 0
			continue
		}
		c.floorCredit = min(maxCreditStarts*s.startCost(c), c.floorCredit+c.Floor*cost)
	}
	started.floorCredit = max(0, started.floorCredit-cost)
}

// grant assigns a slot on a server to a waiting request.
func (s *Scheduler) grant(now time.Time, r *request, sv *server) {
	c, o := r.flow.class, r.flow.organisation
	s.dequeue(r)
	c.startRate.count++
	r.server = sv
	r.grantedAt = now
	r.chargedTokens = float64(r.PromptTokens) + c.meanOutputTokens
	r.flow.counter += r.chargedTokens / o.weight()
	c.eligible.fix(r.flow)
	s.occupySlot(now, r)
	s.unstartedGrants = append(s.unstartedGrants, r)
	s.prefixes.record(r.PrefixHashes, sv.Name)
	s.decisions.Grants = append(s.decisions.Grants, Grant{ID: r.ID, Server: sv.Name, Waited: now.Sub(r.Arrival)})
}

// occupySlot counts a request against its server and organisation.
func (s *Scheduler) occupySlot(now time.Time, r *request) {
	s.granted[r.ID] = r
	r.server.granted++
	r.server.recordPeak(now)
	o := r.flow.organisation
	o.running++
	if o.atConcurrencyLimit() {
		s.block(o)
	}
}

// releaseSlot reverts occupySlot.
func (s *Scheduler) releaseSlot(now time.Time, r *request) {
	delete(s.granted, r.ID)
	r.server.granted--
	r.flow.organisation.running--
	r.flow.organisation.lastActive = now
	s.unblock(r.flow.organisation)
}

// block makes the flows of an organisation that reached its concurrency limit ineligible.
func (s *Scheduler) block(o *organisation) {
	for _, c := range s.classes {
		if f := c.flows[o.name]; f != nil {
			c.eligible.remove(f)
		}
	}
}

func (s *Scheduler) unblock(o *organisation) {
	if o.atConcurrencyLimit() {
		return
	}
	for _, c := range s.classes {
		if f := c.flows[o.name]; f != nil {
			c.unblock(f)
		}
	}
}

const (
	// localityLoadFactor bounds the load of a server that is chosen for its cached prefix,
	// relative to the mean load.
	localityLoadFactor = 1.25
	// localityLoadSlack is added to the bound, so that it isn't too tight at low load.
	localityLoadSlack = 0.1
)

// chooseServer returns a server from set, which must not be empty. It prefers the server
// with the longest cached prefix unless that is overloaded relative to the others, and
// falls back to the least loaded server.
func (s *Scheduler) chooseServer(r *request, set serverSet) *server {
	set = s.excludeServers(set, r.AvoidServers)
	var best *server
	var bestLoad, sum float64
	for _, sv := range s.servers {
		if !set.has(sv.index) {
			continue
		}
		load := sv.loadAfterStart()
		sum += load
		if best == nil || load < bestLoad {
			best, bestLoad = sv, load
		}
	}
	if s.cfg.Ablations.NoPrefix {
		return best
	}
	cached := s.serverByName[s.prefixes.serverForLongest(r.PrefixHashes)]
	if cached == nil || !set.has(cached.index) {
		return best
	}
	mean := sum / float64(set.len())
	if cached.loadAfterStart() <= mean*localityLoadFactor+localityLoadSlack {
		return cached
	}
	return best
}

// loadAfterStart is the fraction of the server's limit in use after one more start. The
// adaptive limit already accounts for the server's speed.
func (s *server) loadAfterStart() float64 { return float64(s.usedSlots()+1) / max(1, s.limit) }

// excludeServers removes the servers to avoid from set, unless none would remain.
func (s *Scheduler) excludeServers(set serverSet, avoid []string) serverSet {
	remaining := set
	for _, name := range avoid {
		if sv := s.serverByName[name]; sv != nil {
			remaining &^= 1 << sv.index
		}
	}
	if remaining == 0 {
		return set
	}
	return remaining
}
