package scheduler

import (
	"math"
	"slices"
	"time"
)

// referenceScheduler is a simple model of Scheduler that scans all requests for each
// decision. It shares the server and organisation types with Scheduler, but no queues.
type referenceScheduler struct {
	cfg              Config
	classes          []Class // highest tier first, then by name
	servers          []*server
	organisations    map[string]*organisation
	waiting          []*referenceRequest
	granted          []*referenceRequest
	counters         map[[2]string]float64 // by class and organisation
	idleCounters     map[string]float64
	floorCredits     map[string]float64
	meanOutputTokens map[string]float64
	outputKnown      map[string]bool
	prefixServers    map[uint64]string
	meanSlotTime     time.Duration
	decisions        Decisions
}

type referenceRequest struct {
	Request
	server        *server
	grantedAt     time.Time
	started       bool
	chargedTokens float64
}

func newReferenceScheduler(cfg Config) *referenceScheduler {
	ref := &referenceScheduler{
		cfg:              cfg,
		organisations:    make(map[string]*organisation),
		counters:         make(map[[2]string]float64),
		idleCounters:     make(map[string]float64),
		floorCredits:     make(map[string]float64),
		meanOutputTokens: make(map[string]float64),
		outputKnown:      make(map[string]bool),
		prefixServers:    make(map[uint64]string),
	}
	for i, s := range cfg.Servers {
		ref.servers = append(ref.servers, &server{Server: s, index: i, limit: float64(s.Slots)})
	}
	ref.classes = slices.Clone(cfg.Classes)
	slices.SortFunc(ref.classes, func(a, b Class) int {
		if a.Tier != b.Tier {
			return a.Tier - b.Tier
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, c := range ref.classes {
		ref.meanOutputTokens[c.Name] = initialOutputTokens
	}
	return ref
}

func (ref *referenceScheduler) class(name string) Class {
	for _, c := range ref.classes {
		if c.Name == name {
			return c
		}
	}
	return Class{}
}

func (ref *referenceScheduler) organisation(name string) *organisation {
	o := ref.organisations[name]
	if o == nil {
		o = newOrganisation(name, ref.cfg.Limits(name))
		ref.organisations[name] = o
	}
	return o
}

func (ref *referenceScheduler) allows(c Class, s *server) bool {
	return len(c.Servers) == 0 || slices.Contains(c.Servers, s.Name)
}

// waitingOf returns a class's waiting requests in arrival order. An empty org selects all
// organisations.
func (ref *referenceScheduler) waitingOf(class, org string) []*referenceRequest {
	var list []*referenceRequest
	for _, r := range ref.waiting {
		if r.Class == class && (org == "" || r.Organisation == org) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *referenceRequest) int {
		if c := a.Arrival.Compare(b.Arrival); c != 0 {
			return c
		}
		return int(a.ID.Seq) - int(b.ID.Seq)
	})
	return list
}

// organisationsWaiting returns the sorted names of the organisations with waiting requests
// in a class. Those at their concurrency limit are included only if includeBlocked is set.
func (ref *referenceScheduler) organisationsWaiting(class string, includeBlocked bool) []string {
	var names []string
	for _, r := range ref.waitingOf(class, "") {
		if includeBlocked || !ref.organisation(r.Organisation).atConcurrencyLimit() {
			names = append(names, r.Organisation)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (ref *referenceScheduler) minCounter(class string) float64 {
	lowest := math.Inf(1)
	for _, o := range ref.organisationsWaiting(class, false) {
		lowest = math.Min(lowest, ref.counters[[2]string{class, o}])
	}
	if math.IsInf(lowest, 1) {
		return ref.idleCounters[class]
	}
	return lowest
}

func (ref *referenceScheduler) known(id ID) bool {
	for _, r := range append(slices.Clone(ref.waiting), ref.granted...) {
		if r.ID == id {
			return true
		}
	}
	return false
}

func (ref *referenceScheduler) refuse(r Request, reason Reason) {
	ref.decisions.Refusals = append(ref.decisions.Refusals, Refusal{ID: r.ID, Reason: reason})
}

func (ref *referenceScheduler) reserve(now time.Time, req Request) {
	if ref.known(req.ID) {
		return
	}
	c := ref.class(req.Class)
	if _, ok := ref.organisation(req.Organisation).admit(now, req.PromptTokens); !ok {
		ref.refuse(req, ReasonLimit)
		return
	}
	if ref.wouldMissDeadline(now, req, c) {
		ref.refuse(req, ReasonDeadline)
		return
	}
	key := [2]string{req.Class, req.Organisation}
	if len(ref.waitingOf(req.Class, req.Organisation)) == 0 {
		ref.counters[key] = math.Max(ref.counters[key], ref.minCounter(req.Class))
	}
	ref.waiting = append(ref.waiting, &referenceRequest{Request: req})
	if ref.sharedWaiting(c) > 0 && ref.totalSharedWaiting() > ref.cfg.QueueLimit {
		victim := ref.victim()
		ref.dequeue(victim)
		ref.refuse(victim.Request, ReasonQueueFull)
	}
	ref.dispatch(now)
}

func (ref *referenceScheduler) wouldMissDeadline(now time.Time, req Request, c Class) bool {
	if req.Deadline.IsZero() || len(ref.waitingOf(c.Name, "")) < c.FloorPlaces || ref.meanSlotTime == 0 {
		return false
	}
	ahead, slots := 0, 0
	for _, r := range ref.waiting {
		if ref.class(r.Class).Tier <= c.Tier {
			ahead++
		}
	}
	for _, s := range ref.servers {
		if ref.allows(c, s) && !s.Leaving && !s.reportedLeaving && !s.down {
			slots += int(s.limit)
		}
	}
	wait := time.Duration(ahead) * ref.meanSlotTime / time.Duration(max(1, slots))
	return now.Add(wait).After(req.Deadline)
}

func (ref *referenceScheduler) sharedWaiting(c Class) int {
	return max(0, len(ref.waitingOf(c.Name, ""))-c.FloorPlaces)
}

func (ref *referenceScheduler) totalSharedWaiting() int {
	sum := 0
	for _, c := range ref.classes {
		sum += ref.sharedWaiting(c)
	}
	return sum
}

// victim selects the lowest tier with requests outside floor places, its class that exceeds
// its guaranteed places most, that class's organisation with the longest queue relative to
// its weight, and the newest request of that queue.
func (ref *referenceScheduler) victim() *referenceRequest {
	lowest := 0
	for _, c := range ref.classes {
		if ref.sharedWaiting(c) > 0 {
			lowest = max(lowest, c.Tier)
		}
	}
	var worst *Class
	for i := len(ref.classes) - 1; i >= 0; i-- {
		c := &ref.classes[i]
		if c.Tier != lowest || ref.sharedWaiting(*c) == 0 {
			continue
		}
		if worst == nil || len(ref.waitingOf(c.Name, ""))-c.GuaranteedPlaces > len(ref.waitingOf(worst.Name, ""))-worst.GuaranteedPlaces {
			worst = c
		}
	}
	best, longest := "", -1.0
	for _, o := range ref.organisationsWaiting(worst.Name, true) {
		if weightedLen := float64(len(ref.waitingOf(worst.Name, o))) / ref.organisation(o).weight(); weightedLen > longest {
			best, longest = o, weightedLen
		}
	}
	list := ref.waitingOf(worst.Name, best)
	return list[len(list)-1]
}

func (ref *referenceScheduler) dequeue(r *referenceRequest) {
	ref.waiting = slices.DeleteFunc(ref.waiting, func(x *referenceRequest) bool { return x == r })
	if len(ref.waitingOf(r.Class, r.Organisation)) == 0 {
		key := [2]string{r.Class, r.Organisation}
		ref.idleCounters[r.Class] = math.Max(ref.idleCounters[r.Class], ref.counters[key])
	}
}

func (ref *referenceScheduler) find(list []*referenceRequest, id ID) *referenceRequest {
	for _, r := range list {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (ref *referenceScheduler) cancel(now time.Time, id ID) {
	if r := ref.find(ref.waiting, id); r != nil {
		ref.dequeue(r)
		return
	}
	if r := ref.find(ref.granted, id); r != nil {
		ref.releaseSlot(r)
		ref.dispatch(now)
	}
}

func (ref *referenceScheduler) releaseSlot(r *referenceRequest) {
	ref.granted = slices.DeleteFunc(ref.granted, func(x *referenceRequest) bool { return x == r })
	r.server.granted--
	ref.organisation(r.Organisation).running--
}

func (ref *referenceScheduler) finish(now time.Time, c Completion) {
	r := ref.find(ref.granted, c.ID)
	if r == nil {
		return
	}
	o := ref.organisation(r.Organisation)
	ref.counters[[2]string{r.Class, r.Organisation}] += (float64(c.PromptTokens+c.OutputTokens) - r.chargedTokens) / o.weight()
	o.chargeOutput(now, c.OutputTokens)
	switch c.Result {
	case ResultFailed:
		r.server.recordFailure(now)
	case ResultDone:
		r.server.recordSuccess()
		slotTime := now.Sub(r.grantedAt)
		if ref.meanSlotTime == 0 {
			ref.meanSlotTime = slotTime
		}
		ref.meanSlotTime += time.Duration(slotTimeSmoothing * float64(slotTime-ref.meanSlotTime))
		if !ref.outputKnown[r.Class] {
			ref.meanOutputTokens[r.Class], ref.outputKnown[r.Class] = float64(c.OutputTokens), true
		}
		ref.meanOutputTokens[r.Class] += smoothingFactor * (float64(c.OutputTokens) - ref.meanOutputTokens[r.Class])
		ref.observeLatency(now, r, c)
	}
	ref.releaseSlot(r)
	ref.dispatch(now)
}

func (ref *referenceScheduler) observeLatency(now time.Time, r *referenceRequest, c Completion) {
	var target time.Duration
	for _, class := range ref.classes {
		if class.InterTokenTarget > 0 && ref.allows(class, r.server) && (target == 0 || class.InterTokenTarget < target) {
			target = class.InterTokenTarget
		}
	}
	r.server.observeLatency(now, r.grantedAt, c.InterTokenLatency, target, true)
}

func (ref *referenceScheduler) tick(now time.Time) {
	for {
		var first *referenceRequest
		for _, r := range ref.waiting {
			if r.Deadline.IsZero() || now.Before(r.Deadline) {
				continue
			}
			if first == nil || r.Deadline.Before(first.Deadline) || (r.Deadline.Equal(first.Deadline) && r.ID.Seq < first.ID.Seq) {
				first = r
			}
		}
		if first == nil {
			break
		}
		ref.dequeue(first)
		ref.refuse(first.Request, ReasonDeadline)
	}
	for _, r := range slices.Clone(ref.granted) {
		if !r.started && now.Sub(r.grantedAt) >= StartTimeout {
			ref.releaseSlot(r)
		}
	}
	ref.dispatch(now)
}

func (ref *referenceScheduler) dispatch(now time.Time) {
	for {
		c := ref.nextClass(now)
		if c == nil {
			return
		}
		r := ref.nextRequest(c.Name)
		s := ref.chooseServer(now, r, *c)
		for _, other := range ref.classes {
			if len(ref.waitingOf(other.Name, "")) == 0 {
				ref.floorCredits[other.Name] = 0
				continue
			}
			ref.floorCredits[other.Name] = math.Min(maxCreditStarts*ref.startCost(other.Name), ref.floorCredits[other.Name]+other.Floor*ref.startCost(c.Name))
		}
		ref.floorCredits[c.Name] = math.Max(0, ref.floorCredits[c.Name]-ref.startCost(c.Name))
		ref.dequeue(r)
		r.server, r.grantedAt = s, now
		r.chargedTokens = float64(r.PromptTokens) + ref.meanOutputTokens[r.Class]
		ref.counters[[2]string{r.Class, r.Organisation}] += r.chargedTokens / ref.organisation(r.Organisation).weight()
		s.granted++
		s.recordPeak(now)
		ref.organisation(r.Organisation).running++
		ref.granted = append(ref.granted, r)
		for _, h := range r.PrefixHashes {
			ref.prefixServers[h] = s.Name
		}
		ref.decisions.Grants = append(ref.decisions.Grants, Grant{ID: r.ID, Server: s.Name, Waited: now.Sub(r.Arrival)})
	}
}

func (ref *referenceScheduler) startCost(class string) float64 {
	if ref.outputKnown[class] || len(ref.outputKnown) == 0 {
		return math.Max(1, ref.meanOutputTokens[class])
	}
	sum := 0.0
	for _, c := range ref.classes {
		if ref.outputKnown[c.Name] {
			sum += ref.meanOutputTokens[c.Name]
		}
	}
	return math.Max(1, sum/float64(len(ref.outputKnown)))
}

func (ref *referenceScheduler) owedStarts(class string) float64 {
	return ref.floorCredits[class] / ref.startCost(class)
}

func (ref *referenceScheduler) freeSlots(now time.Time, c Class) int {
	sum := 0
	for _, s := range ref.servers {
		if ref.allows(c, s) {
			sum += s.freeSlots(now, false)
		}
	}
	return sum
}

func (ref *referenceScheduler) nextClass(now time.Time) *Class {
	var owed, best *Class
	for i := range ref.classes {
		c := &ref.classes[i]
		free := ref.freeSlots(now, *c)
		if len(ref.organisationsWaiting(c.Name, false)) == 0 || free == 0 {
			continue
		}
		if ref.owedStarts(c.Name) >= 1 && (owed == nil || ref.owedStarts(c.Name) > ref.owedStarts(owed.Name)) {
			owed = c
		}
		if c.Tier > ref.classes[0].Tier && free <= ref.cfg.HeadroomSlots && ref.cfg.HeadroomSlots > 0 {
			continue
		}
		if best == nil || (c.Tier == best.Tier && ref.nextTargetTime(c).Before(ref.nextTargetTime(best))) {
			best = c
		}
	}
	if owed != nil {
		return owed
	}
	return best
}

func (ref *referenceScheduler) nextTargetTime(c *Class) time.Time {
	return ref.nextRequest(c.Name).Arrival.Add(c.FirstTokenTarget)
}

func (ref *referenceScheduler) nextRequest(class string) *referenceRequest {
	best, lowest := "", math.Inf(1)
	for _, o := range ref.organisationsWaiting(class, false) {
		if counter := ref.counters[[2]string{class, o}]; counter < lowest {
			best, lowest = o, counter
		}
	}
	return ref.waitingOf(class, best)[0]
}

func (ref *referenceScheduler) chooseServer(now time.Time, r *referenceRequest, c Class) *server {
	var free []*server
	for _, s := range ref.servers {
		if ref.allows(c, s) && s.freeSlots(now, false) > 0 {
			free = append(free, s)
		}
	}
	notAvoided := slices.DeleteFunc(slices.Clone(free), func(s *server) bool { return slices.Contains(r.AvoidServers, s.Name) })
	if len(notAvoided) > 0 {
		free = notAvoided
	}
	loadAfterStart := func(s *server) float64 {
		return float64(s.usedSlots()+1) / math.Max(1, s.limit)
	}
	best, sum := free[0], 0.0
	for _, s := range free {
		sum += loadAfterStart(s)
		if loadAfterStart(s) < loadAfterStart(best) {
			best = s
		}
	}
	for i := len(r.PrefixHashes) - 1; i >= 0; i-- {
		name, ok := ref.prefixServers[r.PrefixHashes[i]]
		if !ok {
			continue
		}
		for _, s := range free {
			if s.Name == name && loadAfterStart(s) <= sum/float64(len(free))*localityLoadFactor+localityLoadSlack {
				return s
			}
		}
		return best
	}
	return best
}
