package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// StartTimeout is how long a granted request may take to start before its slot is
	// released.
	StartTimeout = 2 * time.Second
	// RecoveryTimeout bounds how long a new owner waits for entry boxes to register.
	RecoveryTimeout = time.Second
	// cleanupInterval is how often idle flows and organisations are evicted.
	cleanupInterval = 10 * time.Second
	// idleOrganisationTTL is how long the state of an idle organisation is kept.
	idleOrganisationTTL = time.Minute
)

// Scheduler schedules the requests of one shard. It is not safe for concurrent use.
type Scheduler struct {
	cfg           Config
	classes       []*class // highest tier first, then by name
	classByName   map[string]*class
	servers       []*server
	serverByName  map[string]*server
	organisations map[string]*organisation
	waiting       map[ID]*request
	granted       map[ID]*request
	// unstartedGrants holds grants in order until they start, end or expire.
	unstartedGrants []*request
	deadlines       *indexedHeap[*request]
	prefixes        *prefixIndex
	// meanSlotTime is the running mean of the time that a request occupies its slot.
	meanSlotTime time.Duration
	rng          *rand.Rand
	recoveryEnd  time.Time
	recovering   bool
	lastCleanup  time.Time
	decisions    Decisions
}

// New returns a scheduler for cfg. The seed determines the jitter of Retry-After.
func New(cfg Config, seed uint64) *Scheduler {
	s := &Scheduler{
		classByName:   make(map[string]*class),
		serverByName:  make(map[string]*server),
		organisations: make(map[string]*organisation),
		waiting:       make(map[ID]*request),
		granted:       make(map[ID]*request),
		deadlines:     newHeap(heapDeadline, deadlineLess),
		prefixes:      newPrefixIndex(),
		rng:           rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
	// The time is used only for refusals, and no requests are waiting yet.
	s.configure(time.Time{}, cfg)
	return s
}

// Configure applies a new configuration. Waiting requests of removed classes are refused;
// running requests are not affected.
func (s *Scheduler) Configure(now time.Time, cfg Config) {
	s.configure(now, cfg)
	s.dispatch(now)
}

func (s *Scheduler) configure(now time.Time, cfg Config) {
	s.cfg = cfg
	s.configureServers(cfg.Servers)
	s.configureClasses(now, cfg.Classes)
	for _, o := range s.organisations {
		o.setLimits(s.limits(o.name))
		s.unblock(o)
	}
}

func (s *Scheduler) configureServers(servers []Server) {
	if len(servers) > MaxServers {
		servers = servers[:MaxServers]
	}
	byName := make(map[string]*server, len(servers))
	list := make([]*server, 0, len(servers))
	for i, cfg := range servers {
		sv := s.serverByName[cfg.Name]
		if sv == nil {
			sv = &server{limit: float64(cfg.Slots)}
		}
		if sv.Slots != cfg.Slots {
			sv.limit = float64(cfg.Slots)
		}
		sv.Server = cfg
		sv.index = i
		byName[cfg.Name] = sv
		list = append(list, sv)
	}
	s.serverByName, s.servers = byName, list
}

func (s *Scheduler) configureClasses(now time.Time, classes []Class) {
	byName := make(map[string]*class, len(classes))
	list := make([]*class, 0, len(classes))
	for _, cfg := range classes {
		c := s.classByName[cfg.Name]
		if c == nil {
			c = newClass(cfg, !s.cfg.Ablations.NoFairness)
		}
		c.Class = cfg
		c.allowedServers = s.allowedServers(cfg.Servers)
		byName[cfg.Name] = c
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Name, b.Name))
	})
	old := s.classes
	s.classes, s.classByName = list, byName
	for _, c := range old {
		if byName[c.Name] == nil {
			s.refuseAll(now, c, ReasonUnknownClass)
		}
	}
}

func (s *Scheduler) allowedServers(names []string) serverSet {
	var set serverSet
	if len(names) == 0 {
		return serverSet(1)<<len(s.servers) - 1
	}
	for _, name := range names {
		if sv := s.serverByName[name]; sv != nil {
			set |= 1 << sv.index
		}
	}
	return set
}

func (s *Scheduler) limits(organisation string) Limits {
	if s.cfg.Limits == nil {
		return Limits{}
	}
	return s.cfg.Limits(organisation)
}

// BeginRecovery starts the recovery of a new shard owner. Until EndRecovery is called
// or RecoveryTimeout has passed, requests are granted only to servers that have reported
// their load, and only up to the capacity that the reports and registrations leave free.
func (s *Scheduler) BeginRecovery(now time.Time) {
	s.recovering = true
	s.recoveryEnd = now.Add(RecoveryTimeout)
}

// EndRecovery ends the recovery early, once every live entry box has registered.
func (s *Scheduler) EndRecovery(now time.Time) {
	s.endRecovery(now)
	s.dispatch(now)
}

// floorOwedAfter is the waiting time after which a class is owed a start at the end of a
// recovery. The floor credits of the previous owner are lost, so a class would starve if
// owners changed faster than its credit accumulates.
const floorOwedAfter = 2 * time.Second

func (s *Scheduler) endRecovery(now time.Time) {
	s.recovering = false
	for _, c := range s.classes {
		for _, f := range c.flows {
			if f.queue.Len() > 0 && now.Sub(f.head().Arrival) > floorOwedAfter {
				c.floorCredit = max(c.floorCredit, s.startCost(c))
			}
		}
	}
}

// Recovering reports whether the recovery is still in progress.
func (s *Scheduler) Recovering() bool { return s.recovering }

// Reserve requests a slot. The request gets exactly one grant or refusal unless it is
// cancelled first. Reserving a known ID has no effect.
func (s *Scheduler) Reserve(now time.Time, r Request) {
	s.reserve(now, r, true)
	s.dispatch(now)
}

// Register adds a waiting request that a previous owner admitted. It is not charged to the
// organisation's rate limits again.
func (s *Scheduler) Register(now time.Time, r Request) {
	s.reserve(now, r, false)
}

// RegisterRunning adds a running request that a previous owner granted.
func (s *Scheduler) RegisterRunning(now time.Time, r Request, serverName string) {
	if s.granted[r.ID] != nil {
		return
	}
	c := s.classByName[r.Class]
	sv := s.serverByName[serverName]
	if c == nil || sv == nil {
		return
	}
	o := s.organisation(now, r.Organisation)
	req := &request{Request: r, server: sv, grantedAt: now, started: true}
	req.flow = &flow{class: c, organisation: o}
	s.occupySlot(now, req)
}

func (s *Scheduler) organisation(now time.Time, name string) *organisation {
	o := s.organisations[name]
	if o == nil {
		o = newOrganisation(name, s.limits(name))
		s.organisations[name] = o
	}
	o.lastActive = now
	return o
}

// Cancel removes a waiting request, or releases the slot of a granted one.
func (s *Scheduler) Cancel(now time.Time, id ID) {
	if r := s.waiting[id]; r != nil {
		s.dequeue(r)
		return
	}
	if r := s.granted[id]; r != nil {
		s.releaseSlot(now, r)
		s.dispatch(now)
	}
}

// Start records that a granted request was sent to its server.
func (s *Scheduler) Start(id ID) {
	if r := s.granted[id]; r != nil {
		r.started = true
	}
}

// Finish records the end of a granted request and releases its slot.
func (s *Scheduler) Finish(now time.Time, c Completion) {
	r := s.granted[c.ID]
	if r == nil {
		return
	}
	s.recordCompletion(now, r, c)
	s.releaseSlot(now, r)
	s.dispatch(now)
}

// recordCompletion replaces the estimated charge of a request by the actual one and
// updates the statistics that depend on its result.
func (s *Scheduler) recordCompletion(now time.Time, r *request, c Completion) {
	tokens := float64(c.PromptTokens + c.OutputTokens)
	r.flow.counter += (tokens - r.chargedTokens) / r.flow.organisation.weight()
	r.flow.class.eligible.fix(r.flow)
	r.flow.organisation.chargeOutput(now, c.OutputTokens)
	switch c.Result {
	case ResultFailed:
		r.server.recordFailure(now)
	case ResultDone:
		r.server.recordSuccess()
		s.recordSlotTime(now.Sub(r.grantedAt))
		r.flow.class.recordOutput(c.OutputTokens)
		s.observeLatency(now, r, c)
	}
}

func (s *Scheduler) observeLatency(now time.Time, r *request, c Completion) {
	target := s.strictestInterTokenTarget(r.server)
	adaptLimit := !s.cfg.Ablations.NoAdaptiveLimit
	r.server.observeLatency(now, r.grantedAt, c.InterTokenLatency, target, adaptLimit)
}

// strictestInterTokenTarget returns the lowest target of the classes that may use sv, or
// zero if there is none.
func (s *Scheduler) strictestInterTokenTarget(sv *server) time.Duration {
	var strictest time.Duration
	for _, c := range s.classes {
		if c.InterTokenTarget <= 0 || !c.allowedServers.has(sv.index) {
			continue
		}
		if strictest == 0 || c.InterTokenTarget < strictest {
			strictest = c.InterTokenTarget
		}
	}
	return strictest
}

// Report applies a server's load report.
func (s *Scheduler) Report(now time.Time, r LoadReport) {
	sv := s.serverByName[r.Server]
	if sv == nil {
		return
	}
	sv.applyReport(now, r, s.recovering)
	s.dispatch(now)
}

// Tick expires deadlines and unused grants and ends the recovery when it times out. It
// must be called several times a second.
func (s *Scheduler) Tick(now time.Time) {
	if s.recovering && !now.Before(s.recoveryEnd) {
		s.endRecovery(now)
	}
	for _, c := range s.classes {
		c.startRate.tick(now, c.numWaiting)
	}
	s.expireDeadlines(now)
	s.expireGrants(now)
	s.evictIdle(now)
	s.dispatch(now)
}

func (s *Scheduler) expireDeadlines(now time.Time) {
	for {
		r, ok := s.deadlines.min()
		if !ok || now.Before(r.Deadline) {
			return
		}
		s.dequeue(r)
		s.refuse(now, r, ReasonDeadline)
	}
}

func (s *Scheduler) expireGrants(now time.Time) {
	for len(s.unstartedGrants) > 0 {
		r := s.unstartedGrants[0]
		isGranted := s.granted[r.ID] == r
		if isGranted && !r.started && now.Sub(r.grantedAt) < StartTimeout {
			return
		}
		s.unstartedGrants[0] = nil
		s.unstartedGrants = s.unstartedGrants[1:]
		if isGranted && !r.started {
			s.releaseSlot(now, r)
		}
	}
}

// evictIdle evicts idle flows and organisations.
func (s *Scheduler) evictIdle(now time.Time) {
	if now.Sub(s.lastCleanup) < cleanupInterval {
		return
	}
	s.lastCleanup = now
	for _, c := range s.classes {
		c.evictIdleFlows()
	}
	for name, o := range s.organisations {
		if o.running == 0 && now.Sub(o.lastActive) > idleOrganisationTTL && !s.hasFlow(name) {
			delete(s.organisations, name)
		}
	}
}

func (s *Scheduler) hasFlow(organisation string) bool {
	for _, c := range s.classes {
		if c.flows[organisation] != nil {
			return true
		}
	}
	return false
}

// TakeDecisions returns the decisions since the last call and clears them.
func (s *Scheduler) TakeDecisions() Decisions {
	d := s.decisions
	s.decisions = Decisions{}
	return d
}

// Stats returns a snapshot of the shard.
func (s *Scheduler) Stats(now time.Time) Stats {
	st := Stats{Waiting: make(map[string]int), Running: len(s.granted)}
	for _, c := range s.classes {
		st.Waiting[c.Name] = c.numWaiting
	}
	for _, sv := range s.servers {
		st.FreeSlots += sv.freeSlots(now, s.recovering)
		st.Servers = append(st.Servers, ServerStats{
			Name:              sv.Name,
			Limit:             int(sv.limit),
			Granted:           sv.granted,
			ExternalRunning:   sv.external,
			Leaving:           sv.Leaving || sv.reportedLeaving,
			Down:              sv.down || now.Before(sv.trippedUntil),
			InterTokenLatency: sv.interTokenLatency,
		})
	}
	return st
}

// DropBox removes the requests of an entry box that is gone and releases their slots.
func (s *Scheduler) DropBox(now time.Time, box string) {
	for id, r := range s.waiting {
		if id.Box == box {
			s.dequeue(r)
		}
	}
	for id, r := range s.granted {
		if id.Box == box {
			s.releaseSlot(now, r)
		}
	}
	s.dispatch(now)
}
