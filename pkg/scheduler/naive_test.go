package scheduler

import (
	"math"
	"slices"
	"time"
)

// naive decides as the Scheduler should, by scanning everything at each step. It
// shares the accounts of servers and organisations, and nothing of the queues.
type naive struct {
	cfg      Config
	classes  []Class // highest tier first, then by name
	servers  []*server
	orgs     map[string]*organisation
	waiting  []*naiveRequest
	granted  []*naiveRequest
	counters map[[2]string]float64 // class, organisation
	idle     map[string]float64
	credit   map[string]float64
	output   map[string]float64
	seen     map[string]bool
	prefix   map[uint64]string
	meanHeld time.Duration
	out      Decisions
}

type naiveRequest struct {
	Request
	server    *server
	grantedAt time.Time
	started   bool
	charged   float64
}

func newNaive(cfg Config) *naive {
	n := &naive{
		cfg:      cfg,
		orgs:     make(map[string]*organisation),
		counters: make(map[[2]string]float64),
		idle:     make(map[string]float64),
		credit:   make(map[string]float64),
		output:   make(map[string]float64),
		seen:     make(map[string]bool),
		prefix:   make(map[uint64]string),
	}
	for i, s := range cfg.Servers {
		n.servers = append(n.servers, &server{Server: s, index: i, limit: float64(s.Slots)})
	}
	n.classes = slices.Clone(cfg.Classes)
	slices.SortFunc(n.classes, func(a, b Class) int {
		if a.Tier != b.Tier {
			return a.Tier - b.Tier
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, c := range n.classes {
		n.output[c.Name] = initialOutput
	}
	return n
}

func (n *naive) class(name string) Class {
	for _, c := range n.classes {
		if c.Name == name {
			return c
		}
	}
	return Class{}
}

func (n *naive) org(name string) *organisation {
	o := n.orgs[name]
	if o == nil {
		o = newOrganisation(name, n.cfg.Limits(name))
		n.orgs[name] = o
	}
	return o
}

func (n *naive) allows(c Class, s *server) bool {
	return len(c.Servers) == 0 || slices.Contains(c.Servers, s.Name)
}

// of returns a class's waiting requests in arrival order; org "" means all.
func (n *naive) of(class, org string) []*naiveRequest {
	var list []*naiveRequest
	for _, r := range n.waiting {
		if r.Class == class && (org == "" || r.Organisation == org) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *naiveRequest) int {
		if c := a.Arrival.Compare(b.Arrival); c != 0 {
			return c
		}
		return int(a.ID.Seq) - int(b.ID.Seq)
	})
	return list
}

// active lists a class's organisations with waiting work that may start, by name.
func (n *naive) active(class string, blocked bool) []string {
	var names []string
	for _, r := range n.of(class, "") {
		if blocked || !n.org(r.Organisation).blocked() {
			names = append(names, r.Organisation)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (n *naive) minCounter(class string) float64 {
	least := math.Inf(1)
	for _, o := range n.active(class, false) {
		least = math.Min(least, n.counters[[2]string{class, o}])
	}
	if math.IsInf(least, 1) {
		return n.idle[class]
	}
	return least
}

func (n *naive) known(id ID) bool {
	for _, r := range append(slices.Clone(n.waiting), n.granted...) {
		if r.ID == id {
			return true
		}
	}
	return false
}

func (n *naive) refuse(r Request, reason Reason) {
	n.out.Refusals = append(n.out.Refusals, Refusal{ID: r.ID, Reason: reason})
}

func (n *naive) reserve(now time.Time, q Request) {
	if n.known(q.ID) {
		return
	}
	c := n.class(q.Class)
	if _, ok := n.org(q.Organisation).admit(now, q.PromptTokens); !ok {
		n.refuse(q, ReasonLimit)
		return
	}
	if n.hopeless(now, q, c) {
		n.refuse(q, ReasonDeadline)
		return
	}
	key := [2]string{q.Class, q.Organisation}
	if len(n.of(q.Class, q.Organisation)) == 0 {
		n.counters[key] = math.Max(n.counters[key], n.minCounter(q.Class))
	}
	n.waiting = append(n.waiting, &naiveRequest{Request: q})
	if n.beyond(c) > 0 && n.allBeyond() > n.cfg.QueueLimit {
		v := n.victim()
		n.drop(v)
		n.refuse(v.Request, ReasonQueueFull)
	}
	n.dispatch(now)
}

func (n *naive) hopeless(now time.Time, q Request, c Class) bool {
	if q.Deadline.IsZero() || len(n.of(c.Name, "")) < c.FloorPlaces || n.meanHeld == 0 {
		return false
	}
	ahead, slots := 0, 0
	for _, r := range n.waiting {
		if n.class(r.Class).Tier <= c.Tier {
			ahead++
		}
	}
	for _, s := range n.servers {
		if n.allows(c, s) && !s.Leaving && !s.leaving && !s.down {
			slots += int(s.limit)
		}
	}
	wait := time.Duration(ahead) * n.meanHeld / time.Duration(max(1, slots))
	return now.Add(wait).After(q.Deadline)
}

func (n *naive) beyond(c Class) int { return max(0, len(n.of(c.Name, ""))-c.FloorPlaces) }

func (n *naive) allBeyond() int {
	sum := 0
	for _, c := range n.classes {
		sum += n.beyond(c)
	}
	return sum
}

// victim scans for the lowest tier beyond its floor places, its class furthest
// over its guarantee, that class's organisation with most waiting for its weight,
// and its newest request.
func (n *naive) victim() *naiveRequest {
	lowest := 0
	for _, c := range n.classes {
		if n.beyond(c) > 0 {
			lowest = max(lowest, c.Tier)
		}
	}
	var worst *Class
	for i := len(n.classes) - 1; i >= 0; i-- {
		c := &n.classes[i]
		if c.Tier != lowest || n.beyond(*c) == 0 {
			continue
		}
		if worst == nil || len(n.of(c.Name, ""))-c.GuaranteedPlaces > len(n.of(worst.Name, ""))-worst.GuaranteedPlaces {
			worst = c
		}
	}
	best, load := "", -1.0
	for _, o := range n.active(worst.Name, true) {
		if l := float64(len(n.of(worst.Name, o))) / n.org(o).weight(); l > load {
			best, load = o, l
		}
	}
	list := n.of(worst.Name, best)
	return list[len(list)-1]
}

func (n *naive) drop(r *naiveRequest) {
	n.waiting = slices.DeleteFunc(n.waiting, func(x *naiveRequest) bool { return x == r })
	if len(n.of(r.Class, r.Organisation)) == 0 {
		key := [2]string{r.Class, r.Organisation}
		n.idle[r.Class] = math.Max(n.idle[r.Class], n.counters[key])
	}
}

func (n *naive) find(list []*naiveRequest, id ID) *naiveRequest {
	for _, r := range list {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (n *naive) cancel(now time.Time, id ID) {
	if r := n.find(n.waiting, id); r != nil {
		n.drop(r)
		return
	}
	if r := n.find(n.granted, id); r != nil {
		n.release(r)
		n.dispatch(now)
	}
}

func (n *naive) release(r *naiveRequest) {
	n.granted = slices.DeleteFunc(n.granted, func(x *naiveRequest) bool { return x == r })
	r.server.granted--
	n.org(r.Organisation).running--
}

func (n *naive) finish(now time.Time, c Completion) {
	r := n.find(n.granted, c.ID)
	if r == nil {
		return
	}
	o := n.org(r.Organisation)
	n.counters[[2]string{r.Class, r.Organisation}] += (float64(c.PromptTokens+c.OutputTokens) - r.charged) / o.weight()
	o.charge(now, c.OutputTokens)
	switch c.Result {
	case ResultFailed:
		r.server.fail(now)
	case ResultDone:
		r.server.succeed()
		held := now.Sub(r.grantedAt)
		if n.meanHeld == 0 {
			n.meanHeld = held
		}
		n.meanHeld += time.Duration(heldSmoothing * float64(held-n.meanHeld))
		if !n.seen[r.Class] {
			n.output[r.Class], n.seen[r.Class] = float64(c.OutputTokens), true
		}
		n.output[r.Class] += smoothing * (float64(c.OutputTokens) - n.output[r.Class])
		n.observe(now, r, c)
	}
	n.release(r)
	n.dispatch(now)
}

func (n *naive) observe(now time.Time, r *naiveRequest, c Completion) {
	var target time.Duration
	for _, k := range n.classes {
		if k.InterTokenTarget > 0 && n.allows(k, r.server) && (target == 0 || k.InterTokenTarget < target) {
			target = k.InterTokenTarget
		}
	}
	r.server.observe(now, r.grantedAt, c.InterTokenLatency, target, true)
}

func (n *naive) tick(now time.Time) {
	for {
		var first *naiveRequest
		for _, r := range n.waiting {
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
		n.drop(first)
		n.refuse(first.Request, ReasonDeadline)
	}
	for _, r := range slices.Clone(n.granted) {
		if !r.started && now.Sub(r.grantedAt) >= StartTimeout {
			n.release(r)
		}
	}
	n.dispatch(now)
}

func (n *naive) dispatch(now time.Time) {
	for {
		c := n.nextClass(now)
		if c == nil {
			return
		}
		r := n.nextRequest(c.Name)
		s := n.chooseServer(now, r, *c)
		for _, k := range n.classes {
			if len(n.of(k.Name, "")) == 0 {
				n.credit[k.Name] = 0
				continue
			}
			n.credit[k.Name] = math.Min(maxCredit*n.cost(k.Name), n.credit[k.Name]+k.Floor*n.cost(c.Name))
		}
		n.credit[c.Name] = math.Max(0, n.credit[c.Name]-n.cost(c.Name))
		n.drop(r)
		r.server, r.grantedAt = s, now
		r.charged = float64(r.PromptTokens) + n.output[r.Class]
		n.counters[[2]string{r.Class, r.Organisation}] += r.charged / n.org(r.Organisation).weight()
		s.granted++
		s.notePeak(now)
		n.org(r.Organisation).running++
		n.granted = append(n.granted, r)
		for _, h := range r.PrefixHashes {
			n.prefix[h] = s.Name
		}
		n.out.Grants = append(n.out.Grants, Grant{ID: r.ID, Server: s.Name, Waited: now.Sub(r.Arrival)})
	}
}

func (n *naive) cost(class string) float64 {
	if n.seen[class] || len(n.seen) == 0 {
		return math.Max(1, n.output[class])
	}
	sum := 0.0
	for _, c := range n.classes {
		if n.seen[c.Name] {
			sum += n.output[c.Name]
		}
	}
	return math.Max(1, sum/float64(len(n.seen)))
}

func (n *naive) owed(class string) float64 { return n.credit[class] / n.cost(class) }

func (n *naive) free(now time.Time, c Class) int {
	sum := 0
	for _, s := range n.servers {
		if n.allows(c, s) {
			sum += s.free(now, false)
		}
	}
	return sum
}

func (n *naive) nextClass(now time.Time) *Class {
	var due, best *Class
	for i := range n.classes {
		c := &n.classes[i]
		free := n.free(now, *c)
		if len(n.active(c.Name, false)) == 0 || free == 0 {
			continue
		}
		if n.owed(c.Name) >= 1 && (due == nil || n.owed(c.Name) > n.owed(due.Name)) {
			due = c
		}
		if c.Tier > n.classes[0].Tier && free <= n.cfg.HeadroomSlots && n.cfg.HeadroomSlots > 0 {
			continue
		}
		if best == nil || (c.Tier == best.Tier && n.target(c).Before(n.target(best))) {
			best = c
		}
	}
	if due != nil {
		return due
	}
	return best
}

func (n *naive) target(c *Class) time.Time {
	return n.nextRequest(c.Name).Arrival.Add(c.FirstTokenTarget)
}

func (n *naive) nextRequest(class string) *naiveRequest {
	best, least := "", math.Inf(1)
	for _, o := range n.active(class, false) {
		if k := n.counters[[2]string{class, o}]; k < least {
			best, least = o, k
		}
	}
	return n.of(class, best)[0]
}

func (n *naive) chooseServer(now time.Time, r *naiveRequest, c Class) *server {
	var free []*server
	for _, s := range n.servers {
		if n.allows(c, s) && s.free(now, false) > 0 {
			free = append(free, s)
		}
	}
	kept := slices.DeleteFunc(slices.Clone(free), func(s *server) bool { return slices.Contains(r.AvoidServers, s.Name) })
	if len(kept) > 0 {
		free = kept
	}
	load := func(s *server) float64 {
		return float64(s.used()+1) / math.Max(1, s.limit)
	}
	best, sum := free[0], 0.0
	for _, s := range free {
		sum += load(s)
		if load(s) < load(best) {
			best = s
		}
	}
	for i := len(r.PrefixHashes) - 1; i >= 0; i-- {
		name, ok := n.prefix[r.PrefixHashes[i]]
		if !ok {
			continue
		}
		for _, s := range free {
			if s.Name == name && load(s) <= sum/float64(len(free))*localityBound+localitySlack {
				return s
			}
		}
		return best
	}
	return best
}
