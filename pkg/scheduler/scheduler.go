package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// StartTimeout is how long a grant may stay unused before its slot is taken
	// back.
	StartTimeout = 2 * time.Second
	// RecoveryTimeout bounds how long a new owner waits for entry boxes to register.
	RecoveryTimeout = time.Second
	// housekeeping is how often idle accounts are dropped.
	housekeeping = 10 * time.Second
	// idleOrganisation is how long an account without work is kept.
	idleOrganisation = time.Minute
)

// Scheduler decides for one shard. It is not safe for concurrent use.
type Scheduler struct {
	cfg     Config
	classes []*class // highest tier first, then by name
	byName  map[string]*class
	servers []*server
	index   map[string]*server
	orgs    map[string]*organisation
	waiting map[ID]*request
	granted map[ID]*request
	// unstarted holds grants in the order given until they start or expire.
	unstarted []*request
	deadlines *prioHeap[*request]
	prefixes  *prefixIndex
	// meanHeld is the running mean of the time that a request holds its slot.
	meanHeld  time.Duration
	rng       *rand.Rand
	settleEnd time.Time
	settling  bool
	cleanedAt time.Time
	out       Decisions
}

// New returns a scheduler for cfg. The seed feeds the jitter of Retry-After.
func New(cfg Config, seed uint64) *Scheduler {
	s := &Scheduler{
		byName:    make(map[string]*class),
		index:     make(map[string]*server),
		orgs:      make(map[string]*organisation),
		waiting:   make(map[ID]*request),
		granted:   make(map[ID]*request),
		deadlines: newHeap(heapDeadline, deadlineLess),
		prefixes:  newPrefixIndex(),
		rng:       rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
	// No class is there yet, so nothing can be refused.
	s.configure(time.Time{}, cfg)
	return s
}

// Configure puts a new configuration in force. Waiting work of a class that is
// gone is refused; what runs goes on.
func (s *Scheduler) Configure(now time.Time, cfg Config) {
	s.configure(now, cfg)
	s.dispatch(now)
}

func (s *Scheduler) configure(now time.Time, cfg Config) {
	s.cfg = cfg
	s.configureServers(cfg.Servers)
	s.configureClasses(now, cfg.Classes)
	for _, o := range s.orgs {
		o.setLimits(s.limits(o.name))
		s.unblock(o)
	}
}

func (s *Scheduler) configureServers(servers []Server) {
	if len(servers) > MaxServers {
		servers = servers[:MaxServers]
	}
	index := make(map[string]*server, len(servers))
	list := make([]*server, 0, len(servers))
	for i, c := range servers {
		sv := s.index[c.Name]
		if sv == nil {
			sv = &server{limit: float64(c.Slots)}
		}
		if sv.Slots != c.Slots {
			sv.limit = float64(c.Slots)
		}
		sv.Server = c
		sv.index = i
		index[c.Name] = sv
		list = append(list, sv)
	}
	s.index, s.servers = index, list
}

func (s *Scheduler) configureClasses(now time.Time, classes []Class) {
	byName := make(map[string]*class, len(classes))
	list := make([]*class, 0, len(classes))
	for _, cc := range classes {
		c := s.byName[cc.Name]
		if c == nil {
			c = newClass(cc, !s.cfg.Ablations.NoFairness)
		}
		c.Class = cc
		c.allowed = s.allowedServers(cc.Servers)
		byName[cc.Name] = c
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Name, b.Name))
	})
	old := s.classes
	s.classes, s.byName = list, byName
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
	for _, n := range names {
		if sv := s.index[n]; sv != nil {
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
	s.settling = true
	s.settleEnd = now.Add(RecoveryTimeout)
}

// EndRecovery ends the recovery early, once every live entry box has registered.
func (s *Scheduler) EndRecovery(now time.Time) {
	s.endSettling(now)
	s.dispatch(now)
}

// owedAfter is how long work has waited when a new owner counts its class as owed
// a start. What the class had earned with owners before is not known; without
// this, owners that change faster than a floor adds up would starve it.
const owedAfter = 2 * time.Second

func (s *Scheduler) endSettling(now time.Time) {
	s.settling = false
	for _, c := range s.classes {
		for _, f := range c.flows {
			if f.queue.Len() > 0 && now.Sub(f.head().Arrival) > owedAfter {
				c.credit = max(c.credit, s.cost(c))
			}
		}
	}
}

// Recovering reports whether the recovery is still in progress.
func (s *Scheduler) Recovering() bool { return s.settling }

// Reserve asks for a slot. Exactly one grant or refusal answers it, unless it is
// cancelled first. Reserving a known ID again has no effect.
func (s *Scheduler) Reserve(now time.Time, r Request) {
	s.reserve(now, r, true)
	s.dispatch(now)
}

// Register takes in a waiting request that another owner had admitted. It does
// not count against the organisation's rates again.
func (s *Scheduler) Register(now time.Time, r Request) {
	s.reserve(now, r, false)
}

// RegisterRunning takes in a request that runs on a server by another owner's
// grant.
func (s *Scheduler) RegisterRunning(now time.Time, r Request, serverName string) {
	if s.granted[r.ID] != nil {
		return
	}
	c := s.byName[r.Class]
	sv := s.index[serverName]
	if c == nil || sv == nil {
		return
	}
	o := s.organisation(now, r.Organisation)
	rq := &request{Request: r, server: sv, grantedAt: now, started: true}
	rq.flow = &flow{class: c, org: o}
	s.hold(now, rq)
}

func (s *Scheduler) organisation(now time.Time, name string) *organisation {
	o := s.orgs[name]
	if o == nil {
		o = newOrganisation(name, s.limits(name))
		s.orgs[name] = o
	}
	o.seen = now
	return o
}

// Cancel withdraws a waiting request, or gives an unused grant back.
func (s *Scheduler) Cancel(now time.Time, id ID) {
	if r := s.waiting[id]; r != nil {
		s.drop(r)
		return
	}
	if r := s.granted[id]; r != nil {
		s.release(now, r)
		s.dispatch(now)
	}
}

// Start says that a granted request went out to its server.
func (s *Scheduler) Start(id ID) {
	if r := s.granted[id]; r != nil {
		r.started = true
	}
}

// Finish ends a granted request and gives its slot back.
func (s *Scheduler) Finish(now time.Time, c Completion) {
	r := s.granted[c.ID]
	if r == nil {
		return
	}
	s.account(now, r, c)
	s.release(now, r)
	s.dispatch(now)
}

// account corrects the organisation's charge and teaches the server's account.
func (s *Scheduler) account(now time.Time, r *request, c Completion) {
	tokens := float64(c.PromptTokens + c.OutputTokens)
	r.flow.counter += (tokens - r.charged) / r.flow.org.weight()
	r.flow.class.serve.fix(r.flow)
	r.flow.org.charge(now, c.OutputTokens)
	switch c.Result {
	case ResultFailed:
		r.server.fail(now)
	case ResultDone:
		r.server.succeed()
		s.noteHeld(now.Sub(r.grantedAt))
		r.flow.class.learn(c.OutputTokens)
		s.observe(now, r, c)
	}
}

func (s *Scheduler) observe(now time.Time, r *request, c Completion) {
	target := s.strictestBetween(r.server)
	adapt := !s.cfg.Ablations.NoAdaptiveLimit
	r.server.observe(now, r.grantedAt, c.InterTokenLatency, target, adapt)
}

// strictestBetween is the tightest target among the classes that may use sv.
func (s *Scheduler) strictestBetween(sv *server) time.Duration {
	var least time.Duration
	for _, c := range s.classes {
		if c.InterTokenTarget <= 0 || !c.allowed.has(sv.index) {
			continue
		}
		if least == 0 || c.InterTokenTarget < least {
			least = c.InterTokenTarget
		}
	}
	return least
}

// Report takes a server's load report in.
func (s *Scheduler) Report(now time.Time, r LoadReport) {
	sv := s.index[r.Server]
	if sv == nil {
		return
	}
	sv.report(now, r, s.settling)
	s.dispatch(now)
}

// Tick lets time pass: it expires deadlines and unused grants and ends settling.
// Call it several times a second.
func (s *Scheduler) Tick(now time.Time) {
	if s.settling && !now.Before(s.settleEnd) {
		s.endSettling(now)
	}
	for _, c := range s.classes {
		c.starts.tick(now, c.waiting)
	}
	s.expireDeadlines(now)
	s.expireGrants(now)
	s.clean(now)
	s.dispatch(now)
}

func (s *Scheduler) expireDeadlines(now time.Time) {
	for {
		r, ok := s.deadlines.min()
		if !ok || now.Before(r.Deadline) {
			return
		}
		s.drop(r)
		s.refuse(now, r, ReasonDeadline)
	}
}

func (s *Scheduler) expireGrants(now time.Time) {
	for len(s.unstarted) > 0 {
		r := s.unstarted[0]
		live := s.granted[r.ID] == r
		if live && !r.started && now.Sub(r.grantedAt) < StartTimeout {
			return
		}
		s.unstarted[0] = nil
		s.unstarted = s.unstarted[1:]
		if live && !r.started {
			s.release(now, r)
		}
	}
}

// clean drops accounts that nothing refers to any more.
func (s *Scheduler) clean(now time.Time) {
	if now.Sub(s.cleanedAt) < housekeeping {
		return
	}
	s.cleanedAt = now
	for _, c := range s.classes {
		c.forget()
	}
	for name, o := range s.orgs {
		if o.running == 0 && now.Sub(o.seen) > idleOrganisation && !s.hasFlow(name) {
			delete(s.orgs, name)
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

// TakeDecisions returns the decisions since the last TakeDecisions.
func (s *Scheduler) TakeDecisions() Decisions {
	d := s.out
	s.out = Decisions{}
	return d
}

// Stats describes the shard now.
func (s *Scheduler) Stats(now time.Time) Stats {
	st := Stats{Waiting: make(map[string]int), Running: len(s.granted)}
	for _, c := range s.classes {
		st.Waiting[c.Name] = c.waiting
	}
	for _, sv := range s.servers {
		st.FreeSlots += sv.free(now, s.settling)
		st.Servers = append(st.Servers, ServerStats{
			Name:              sv.Name,
			Limit:             int(sv.limit),
			Granted:           sv.granted,
			ExternalRunning:   sv.foreign,
			Leaving:           sv.Leaving || sv.leaving,
			Down:              sv.down || now.Before(sv.trippedUntil),
			InterTokenLatency: sv.between,
		})
	}
	return st
}

// DropBox forgets everything that an entry box holds: it is gone.
func (s *Scheduler) DropBox(now time.Time, box string) {
	for id, r := range s.waiting {
		if id.Box == box {
			s.drop(r)
		}
	}
	for id, r := range s.granted {
		if id.Box == box {
			s.release(now, r)
		}
	}
	s.dispatch(now)
}
