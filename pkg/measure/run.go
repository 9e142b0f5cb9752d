package measure

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"headhill.example/headhill/pkg/scheduler"
)

// call is one caller's request, over all its tries.
type call struct {
	seq          uint64
	class        *ClassLoad
	organisation string
	promptTokens int
	outputTokens int
	prefix       int
	// firstAsked is when the caller first asked, arrivedAt when this try began.
	firstAsked, arrivedAt time.Duration
	tries                 int
	avoid                 int
	// server it is on, -1 while it waits.
	server    int
	delivered int
	firstAt   time.Duration
	lastAt    time.Duration
	ended     bool
	// lostRead is the number of tokens that a crashed server had read for the
	// call: what the next one reads of them is done twice.
	lostRead int
}

func (c *call) token(now time.Duration) {
	c.delivered++
	c.lastAt = now
	if c.delivered == 1 {
		c.firstAt = now
	}
}

func sortedCalls(m map[uint64]*call) []*call {
	list := make([]*call, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[k])
	}
	return list
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// run is one run under way.
type run struct {
	opts     Scenario
	baseline bool
	policy   policy
	rng      *rand.Rand
	now      time.Duration
	events   events
	seq      int
	calls    uint64
	servers  []*server
	result   *Result
	// ownerless is set between an owner's loss and its successor's start.
	ownerless bool
	parked    []*call
}

const (
	tickEvery   = 25 * time.Millisecond
	reportEvery = 500 * time.Millisecond
	// comeBacks is how often a refused caller comes back when told to.
	comeBacks = 2
	// reconnect is the time until a call that met a dead server is tried again.
	reconnect = 20 * time.Millisecond
)

// Run runs a scenario once.
func Run(o Scenario, v Variant, seed uint64) *Result {
	if v.Modify != nil {
		v.Modify(&o)
	}
	r := &run{opts: o, baseline: v.Baseline, rng: rand.New(rand.NewPCG(seed, 7)), result: newResult(&o, v.Name, seed)}
	r.policy = newHeadhill(&o, v.Ablations, seed)
	if v.Baseline {
		r.policy = newBaseline(&o, seed)
	}
	for i := range o.Servers {
		r.servers = append(r.servers, newServer(i, &r.opts))
	}
	r.plan()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at > o.Duration {
			break
		}
		r.now = e.at
		e.do()
	}
	r.result.finish(r)
	return r.result
}

func (r *run) at(t time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: t, seq: r.seq, do: do})
}

func (r *run) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		r.at(r.now+d, again)
	}
	r.at(d, again)
}

// plan sets everything up that happens by itself.
func (r *run) plan() {
	for i := range r.opts.Classes {
		r.nextArrival(&r.opts.Classes[i], 0)
	}
	r.every(tickEvery, func() {
		r.policy.tick(r.now)
		r.apply()
	})
	r.every(reportEvery, r.reports)
	r.every(100*time.Millisecond, r.result.watch(r))
	f := r.opts.Faults
	if f.Slow > 0 {
		r.at(f.SlowAt, func() {
			for _, s := range r.servers[:f.Slow] {
				s.slow = f.SlowFactor
			}
		})
	}
	if f.Lost > 0 {
		r.at(f.LostAt, func() {
			for _, s := range r.servers[:f.Lost] {
				r.crash(s)
			}
		})
	}
	if f.CrashEvery > 0 {
		next := 0
		r.every(f.CrashEvery, func() {
			s := r.servers[(r.opts.Faults.Lost+next)%len(r.servers)]
			next++
			r.crash(s)
			r.at(r.now+f.CrashFor, func() { s.down = false })
		})
	}
	if h, ok := r.policy.(*headhill); ok && f.OwnerLostAt > 0 {
		r.at(f.OwnerLostAt, func() { r.ownerless = true })
		r.at(f.OwnerLostAt+f.OwnerGap, func() { r.newOwner(h) })
	}
}

// capacity is the number of calls of a class a second that fill all engines.
func (r *run) capacity(c *ClassLoad) float64 {
	each := float64(r.opts.Batch)
	step := r.opts.StepBase.Seconds() + each*r.opts.StepEach.Seconds()
	prompt := mean(c.PromptTokens, c.PromptSpread)
	output := mean(c.OutputTokens, c.OutputSpread)
	// A sequence holds its slot for its tokens' steps; reading prompts, mostly
	// from the cache, makes the engine's steps longer.
	read := prompt * (1 - cachedShare/2) * r.opts.PrefillEach.Seconds()
	perCall := output*step/each + read
	return float64(r.opts.Servers*r.opts.EnginesPerServer) / perCall
}

// mean of a log-normal distribution by its median and sigma.
func mean(median, sigma float64) float64 { return median * math.Exp(sigma*sigma/2) }

func (r *run) nextArrival(c *ClassLoad, after time.Duration) {
	share := c.Base
	if r.inBurst(after) {
		share = c.Burst
	}
	rate := share * r.capacity(c)
	if rate <= 0 {
		r.at(after+second, func() { r.nextArrival(c, r.now) })
		return
	}
	t := after + time.Duration(r.rng.ExpFloat64()/rate*float64(second))
	if r.inBurst(t) != r.inBurst(after) {
		// The rate changes before that: draw again from there.
		edge := r.opts.BurstAt
		if after >= edge {
			edge += r.opts.BurstFor
		}
		r.at(edge, func() { r.nextArrival(c, r.now) })
		return
	}
	r.at(t, func() {
		r.arrive(r.newCall(c))
		r.nextArrival(c, r.now)
	})
}

func (r *run) inBurst(t time.Duration) bool {
	return t >= r.opts.BurstAt && t < r.opts.BurstAt+r.opts.BurstFor
}

const (
	promptMost = 8000
	outputMost = 3000
)

func (r *run) newCall(c *ClassLoad) *call {
	size := func(median, sigma float64, most int) int {
		return min(most, max(1, int(median*math.Exp(sigma*r.rng.NormFloat64()))))
	}
	org := r.organisation()
	n := &call{
		class:        c,
		organisation: string(rune('a' + org)),
		promptTokens: size(c.PromptTokens, c.PromptSpread, promptMost),
		outputTokens: size(c.OutputTokens, c.OutputSpread, outputMost),
		prefix:       1 + org*1000 + r.rng.IntN(r.opts.Prefixes)*10 + c.Tier,
		firstAsked:   r.now,
	}
	r.result.asked(n)
	return n
}

func (r *run) organisation() int {
	sum := 0.0
	for _, w := range r.opts.Weights {
		sum += w
	}
	x := r.rng.Float64() * sum
	for i, w := range r.opts.Weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(r.opts.Weights) - 1
}

// arrive begins one try of a call.
func (r *run) arrive(c *call) {
	c.arrivedAt = r.now
	c.tries++
	r.place(c, -1)
}

// place asks the policy for a server, not the one to avoid.
func (r *run) place(c *call, avoid int) {
	r.calls++
	c.seq = r.calls
	c.server, c.avoid = -1, avoid
	if r.ownerless {
		r.parked = append(r.parked, c)
		return
	}
	r.policy.reserve(r.now, c)
	r.apply()
}

// newOwner begins the next owner with what the entry boxes hold.
func (r *run) newOwner(h *headhill) {
	r.ownerless = false
	h.handOver(r.now, uint64(r.seq))
	parked := r.parked
	r.parked = nil
	r.apply()
	for _, c := range parked {
		r.policy.reserve(r.now, c)
		r.apply()
	}
}

// apply carries the policy's decisions out.
func (r *run) apply() {
	if r.ownerless {
		return
	}
	for {
		list := r.policy.take()
		if len(list) == 0 {
			return
		}
		for _, d := range list {
			if d.refused {
				r.refused(d.call, d)
				continue
			}
			r.begin(d.call, d.server)
		}
	}
}

func (r *run) refused(c *call, d decision) {
	r.result.refused(c, d.reason)
	if c.delivered > 0 || c.tries > comeBacks {
		r.end(c, false)
		return
	}
	r.at(r.now+d.retryAfter, func() { r.arrive(c) })
}

func (r *run) begin(c *call, i int) {
	s := r.servers[i]
	if s.down {
		r.at(r.now+reconnect, func() {
			r.policy.finish(r.now, c, scheduler.Completion{Result: scheduler.ResultFailed})
			r.place(c, i)
		})
		return
	}
	c.server = i
	r.result.started(c, r.now)
	q := s.add(r.now, c)
	r.result.wasted(min(q.prefill, c.lostRead))
	c.lostRead = 0
	s.note(r.now)
	if r.baseline {
		r.giveUpLater(c, c.seq)
	}
	r.step(s)
}

// giveUpLater ends a call of the baseline that has no token by its deadline.
func (r *run) giveUpLater(c *call, seq uint64) {
	r.at(max(r.now, c.arrivedAt+c.class.Deadline), func() {
		if c.seq != seq || c.ended || c.delivered > 0 || c.server < 0 {
			return
		}
		s := r.servers[c.server]
		for _, q := range s.running {
			if q.call == c {
				r.result.wasted(q.read)
			}
		}
		s.remove(r.now, c)
		r.refused(c, decision{reason: scheduler.ReasonDeadline, retryAfter: second})
	})
}

// step begins the next step of a server, if there is work and none under way.
func (r *run) step(s *server) {
	if s.stepping || s.down || len(s.running) == 0 {
		return
	}
	s.stepping = true
	epoch := s.epoch
	r.at(r.now+s.stepTime(), func() {
		if s.epoch != epoch {
			return
		}
		s.stepping = false
		ended, read, generated := s.step(r.now)
		r.result.worked(read, generated)
		for _, q := range ended {
			r.finished(q)
		}
		r.step(s)
	})
}

func (r *run) finished(q *sequence) {
	c := q.call
	done := scheduler.Completion{Result: scheduler.ResultDone, OutputTokens: q.generated, TimeToFirstToken: q.firstAt - q.startedAt}
	if q.generated > 1 {
		done.InterTokenLatency = (r.now - q.firstAt) / time.Duration(q.generated-1)
	}
	c.server = -1
	r.end(c, true)
	r.policy.finish(r.now, c, done)
	r.apply()
}

func (r *run) end(c *call, done bool) {
	c.ended = true
	r.result.ended(c, done, r.now)
}

// crash loses a server's calls. The scheduler's boxes have them go on elsewhere
// from what was delivered; the baseline begins them again.
func (r *run) crash(s *server) {
	if s.down {
		return
	}
	for _, q := range s.crash(r.now) {
		c := q.call
		c.server = -1
		c.lostRead = q.read + q.generated
		if r.baseline {
			r.result.wasted(c.delivered)
			c.delivered = 0
		}
		r.policy.finish(r.now, c, scheduler.Completion{Result: scheduler.ResultFailed, OutputTokens: q.generated})
		r.place(c, s.index)
	}
}

func (r *run) reports() {
	for i, s := range r.servers {
		r.policy.report(r.now, i, s.reported(r.now, r.opts.Faults.ReportLag), s.down)
	}
	r.apply()
}
