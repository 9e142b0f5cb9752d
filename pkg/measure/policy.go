package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"headhill.example/headhill/pkg/scheduler"
)

// decision is a policy's verdict on a call: run it on a server, or refuse it.
type decision struct {
	call       *call
	server     int
	refused    bool
	reason     scheduler.Reason
	retryAfter time.Duration
}

// policy assigns calls to servers. Its methods mirror those of
// scheduler.Scheduler; servers are identified by index.
type policy interface {
	reserve(now time.Duration, c *call)
	finish(now time.Duration, c *call, r scheduler.Completion)
	reportLoad(now time.Duration, server, running int, down bool)
	tick(now time.Duration)
	takeDecisions() []decision
}

// runStart is the virtual time at which runs begin.
var runStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// schedulerPolicy adapts scheduler.Scheduler to the policy interface.
type schedulerPolicy struct {
	sched       *scheduler.Scheduler
	cfg         scheduler.Config
	calls       map[uint64]*call
	serverIndex map[string]int
}

func serverName(i int) string { return fmt.Sprintf("s%02d", i) }

func newSchedulerPolicy(sc *Scenario, ablations scheduler.Ablations, seed uint64) *schedulerPolicy {
	p := &schedulerPolicy{calls: make(map[uint64]*call), serverIndex: make(map[string]int)}
	p.cfg = scheduler.Config{QueueLimit: sc.QueueLimit, HeadroomSlots: sc.HeadroomSlots, Ablations: ablations}
	for _, c := range sc.Classes {
		p.cfg.Classes = append(p.cfg.Classes, c.Class)
	}
	for i := range sc.Servers {
		p.cfg.Servers = append(p.cfg.Servers, scheduler.Server{Name: serverName(i), Slots: sc.slots()})
		p.serverIndex[serverName(i)] = i
	}
	p.sched = scheduler.New(p.cfg, seed)
	return p
}

func (c *call) id() scheduler.ID { return scheduler.ID{Box: "b", Seq: c.seq} }

func (c *call) request() scheduler.Request {
	r := scheduler.Request{
		ID:           c.id(),
		Class:        c.class.Name,
		Organisation: c.organisation,
		PromptTokens: c.promptTokens,
		Arrival:      runStart.Add(c.attemptedAt),
		Deadline:     runStart.Add(c.attemptedAt + c.class.Deadline),
		PrefixHashes: []uint64{uint64(c.prefix)},
	}
	if c.avoidServer >= 0 {
		r.AvoidServers = []string{serverName(c.avoidServer)}
	}
	return r
}

func (p *schedulerPolicy) reserve(now time.Duration, c *call) {
	p.calls[c.seq] = c
	p.sched.Reserve(runStart.Add(now), c.request())
}

func (p *schedulerPolicy) finish(now time.Duration, c *call, r scheduler.Completion) {
	r.ID = c.id()
	r.PromptTokens = c.promptTokens
	delete(p.calls, c.seq)
	p.sched.Finish(runStart.Add(now), r)
}

func (p *schedulerPolicy) reportLoad(now time.Duration, server, running int, down bool) {
	p.sched.Report(runStart.Add(now), scheduler.LoadReport{Server: serverName(server), Running: running, Down: down})
}

func (p *schedulerPolicy) tick(now time.Duration) { p.sched.Tick(runStart.Add(now)) }

func (p *schedulerPolicy) takeDecisions() []decision {
	d := p.sched.TakeDecisions()
	var list []decision
	for _, g := range d.Grants {
		p.sched.Start(g.ID)
		list = append(list, decision{call: p.calls[g.ID.Seq], server: p.serverIndex[g.Server]})
	}
	for _, f := range d.Refusals {
		c := p.calls[f.ID.Seq]
		delete(p.calls, f.ID.Seq)
		list = append(list, decision{call: c, refused: true, reason: f.Reason, retryAfter: f.RetryAfter})
	}
	return list
}

// failOver replaces the scheduler with a new one that recovers its state from the
// calls that the entry boxes hold.
func (p *schedulerPolicy) failOver(now time.Duration, seed uint64) {
	p.sched = scheduler.New(p.cfg, seed)
	t := runStart.Add(now)
	p.sched.BeginRecovery(t)
	var waiting []scheduler.Request
	var running []scheduler.RunningRequest
	for _, c := range sortedCalls(p.calls) {
		if c.server >= 0 {
			running = append(running, scheduler.RunningRequest{Request: c.request(), Server: serverName(c.server)})
			continue
		}
		waiting = append(waiting, c.request())
	}
	p.sched.Sync(t, "b", waiting, running)
	p.sched.EndRecovery(t)
}

// baselinePolicy sends each call at once to the server with the lowest reported
// load, which serves calls in order of arrival. A call is refused only if it has
// not started by its deadline.
type baselinePolicy struct {
	loads     []int
	down      []bool
	rng       *rand.Rand
	decisions []decision
}

func newBaselinePolicy(sc *Scenario, seed uint64) *baselinePolicy {
	return &baselinePolicy{
		loads: make([]int, sc.Servers),
		down:  make([]bool, sc.Servers),
		rng:   rand.New(rand.NewPCG(seed, 99)),
	}
}

func (b *baselinePolicy) reserve(_ time.Duration, c *call) {
	best, ties := -1, 0
	for i := range b.loads {
		switch {
		case b.down[i] || i == c.avoidServer:
			continue
		case best < 0 || b.loads[i] < b.loads[best]:
			best, ties = i, 1
		case b.loads[i] == b.loads[best]:
			ties++
			if b.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		best = b.rng.IntN(len(b.loads))
	}
	b.decisions = append(b.decisions, decision{call: c, server: best})
}

func (b *baselinePolicy) finish(time.Duration, *call, scheduler.Completion) {}

func (b *baselinePolicy) reportLoad(_ time.Duration, server, running int, down bool) {
	b.loads[server] = running
	b.down[server] = down
}

func (b *baselinePolicy) tick(time.Duration) {}

func (b *baselinePolicy) takeDecisions() []decision {
	d := b.decisions
	b.decisions = nil
	return d
}
