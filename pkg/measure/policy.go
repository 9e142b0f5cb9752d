package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"headhill.example/headhill/pkg/scheduler"
)

// decision is what a policy says of a call: run it on a server, or refuse it.
type decision struct {
	call       *call
	server     int
	refused    bool
	reason     scheduler.Reason
	retryAfter time.Duration
}

// policy decides. Calls are those of Scheduler, by number.
type policy interface {
	reserve(now time.Duration, c *call)
	finish(now time.Duration, c *call, r scheduler.Completion)
	report(now time.Duration, server, running int, down bool)
	tick(now time.Duration)
	take() []decision
}

// start is the virtual time that runs begin at.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// headhill is the scheduler as a policy.
type headhill struct {
	sched *scheduler.Scheduler
	cfg   scheduler.Config
	calls map[uint64]*call
	index map[string]int
}

func serverName(i int) string { return fmt.Sprintf("s%02d", i) }

func newHeadhill(o *Scenario, p scheduler.Ablations, seed uint64) *headhill {
	h := &headhill{calls: make(map[uint64]*call), index: make(map[string]int)}
	h.cfg = scheduler.Config{QueueLimit: o.Queue, HeadroomSlots: o.Headroom, Ablations: p}
	for _, c := range o.Classes {
		h.cfg.Classes = append(h.cfg.Classes, c.Class)
	}
	for i := range o.Servers {
		h.cfg.Servers = append(h.cfg.Servers, scheduler.Server{Name: serverName(i), Slots: o.slots()})
		h.index[serverName(i)] = i
	}
	h.sched = scheduler.New(h.cfg, seed)
	return h
}

func (c *call) id() scheduler.ID { return scheduler.ID{Box: "b", Seq: c.seq} }

func (c *call) request() scheduler.Request {
	r := scheduler.Request{
		ID:           c.id(),
		Class:        c.class.Name,
		Organisation: c.organisation,
		PromptTokens: c.promptTokens,
		Arrival:      start.Add(c.arrivedAt),
		Deadline:     start.Add(c.arrivedAt + c.class.Deadline),
		PrefixHashes: []uint64{uint64(c.prefix)},
	}
	if c.avoid >= 0 {
		r.AvoidServers = []string{serverName(c.avoid)}
	}
	return r
}

func (h *headhill) reserve(now time.Duration, c *call) {
	h.calls[c.seq] = c
	h.sched.Reserve(start.Add(now), c.request())
}

func (h *headhill) finish(now time.Duration, c *call, r scheduler.Completion) {
	r.ID = c.id()
	r.PromptTokens = c.promptTokens
	delete(h.calls, c.seq)
	h.sched.Finish(start.Add(now), r)
}

func (h *headhill) report(now time.Duration, server, running int, down bool) {
	h.sched.Report(start.Add(now), scheduler.LoadReport{Server: serverName(server), Running: running, Down: down})
}

func (h *headhill) tick(now time.Duration) { h.sched.Tick(start.Add(now)) }

func (h *headhill) take() []decision {
	d := h.sched.TakeDecisions()
	var list []decision
	for _, g := range d.Grants {
		h.sched.Start(g.ID)
		list = append(list, decision{call: h.calls[g.ID.Seq], server: h.index[g.Server]})
	}
	for _, f := range d.Refusals {
		c := h.calls[f.ID.Seq]
		delete(h.calls, f.ID.Seq)
		list = append(list, decision{call: c, refused: true, reason: f.Reason, retryAfter: f.RetryAfter})
	}
	return list
}

// handOver replaces the scheduler by a new one that knows only what entry boxes
// register.
func (h *headhill) handOver(now time.Duration, seed uint64) {
	h.sched = scheduler.New(h.cfg, seed)
	t := start.Add(now)
	h.sched.BeginRecovery(t)
	var waiting []scheduler.Request
	var running []scheduler.RunningRequest
	for _, c := range sortedCalls(h.calls) {
		if c.server >= 0 {
			running = append(running, scheduler.RunningRequest{Request: c.request(), Server: serverName(c.server)})
			continue
		}
		waiting = append(waiting, c.request())
	}
	h.sched.Sync(t, "b", waiting, running)
	h.sched.EndRecovery(t)
}

// baseline is the policy to compare with: each call goes at once to the server
// with the least reported load, which serves first come, first served; a call is
// refused only when it has not started by its deadline.
type baseline struct {
	loads []int
	down  []bool
	rng   *rand.Rand
	out   []decision
}

func newBaseline(o *Scenario, seed uint64) *baseline {
	return &baseline{
		loads: make([]int, o.Servers),
		down:  make([]bool, o.Servers),
		rng:   rand.New(rand.NewPCG(seed, 99)),
	}
}

func (b *baseline) reserve(_ time.Duration, c *call) {
	best, ties := -1, 0
	for i := range b.loads {
		switch {
		case b.down[i] || i == c.avoid:
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
	b.out = append(b.out, decision{call: c, server: best})
}

func (b *baseline) finish(time.Duration, *call, scheduler.Completion) {}

func (b *baseline) report(_ time.Duration, server, running int, down bool) {
	b.loads[server] = running
	b.down[server] = down
}

func (b *baseline) tick(time.Duration) {}

func (b *baseline) take() []decision {
	d := b.out
	b.out = nil
	return d
}
