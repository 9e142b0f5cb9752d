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

// call is one request, including its retries.
type call struct {
	seq          uint64
	class        *ClassLoad
	organisation string
	promptTokens int
	outputTokens int
	prefix       int
	// requestedAt is the time of the first attempt, attemptedAt that of the current
	// one.
	requestedAt, attemptedAt time.Duration
	attempts                 int
	avoidServer              int
	// server is the index of the server running the call, -1 while it waits.
	server       int
	delivered    int
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	ended        bool
	// lostTokens is the number of tokens that a crashed server had processed for
	// the call; the next server's prefill counts as waste up to this number.
	lostTokens int
}

func (c *call) addToken(now time.Duration) {
	c.delivered++
	c.lastTokenAt = now
	if c.delivered == 1 {
		c.firstTokenAt = now
	}
}

func sortedCalls(m map[uint64]*call) []*call {
	list := make([]*call, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[k])
	}
	return list
}

// event is an action scheduled at a virtual time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// eventQueue is a heap of events ordered by time, then by scheduling order.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is the state of one run.
type simulation struct {
	scenario Scenario
	baseline bool
	policy   policy
	rng      *rand.Rand
	now      time.Duration
	events   eventQueue
	eventSeq int
	callSeq  uint64
	servers  []*server
	result   *Result
	// ownerless is set from the loss of the shard's owner until its successor
	// starts; calls are parked meanwhile.
	ownerless bool
	parked    []*call
}

const (
	tickInterval   = 25 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// maxRetries is the number of times that a refused caller retries.
	maxRetries = 2
	// reconnectDelay is the time until a call sent to a dead server is placed again.
	reconnectDelay = 20 * time.Millisecond
)

// Run runs a scenario once.
func Run(sc Scenario, v Variant, seed uint64) *Result {
	if v.Modify != nil {
		v.Modify(&sc)
	}
	r := &simulation{scenario: sc, baseline: v.Baseline, rng: rand.New(rand.NewPCG(seed, 7)), result: newResult(&sc, v.Name, seed)}
	r.policy = newSchedulerPolicy(&sc, v.Ablations, seed)
	if v.Baseline {
		r.policy = newBaselinePolicy(&sc, seed)
	}
	for i := range sc.Servers {
		r.servers = append(r.servers, newServer(i, &r.scenario))
	}
	r.scheduleEvents()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at > sc.Duration {
			break
		}
		r.now = e.at
		e.action()
	}
	r.result.finalize(r)
	return r.result
}

func (r *simulation) schedule(t time.Duration, action func()) {
	r.eventSeq++
	heap.Push(&r.events, event{at: t, seq: r.eventSeq, action: action})
}

func (r *simulation) repeat(d time.Duration, action func()) {
	var again func()
	again = func() {
		action()
		r.schedule(r.now+d, again)
	}
	r.schedule(d, again)
}

// scheduleEvents schedules arrivals, ticks, load reports, sampling and faults.
func (r *simulation) scheduleEvents() {
	for i := range r.scenario.Classes {
		r.nextArrival(&r.scenario.Classes[i], 0)
	}
	r.repeat(tickInterval, func() {
		r.policy.tick(r.now)
		r.applyDecisions()
	})
	r.repeat(reportInterval, r.reportLoads)
	r.repeat(100*time.Millisecond, r.result.occupancySampler(r))
	f := r.scenario.Faults
	if f.SlowServers > 0 {
		r.schedule(f.SlowAt, func() {
			for _, s := range r.servers[:f.SlowServers] {
				s.slowFactor = f.SlowFactor
			}
		})
	}
	if f.LostServers > 0 {
		r.schedule(f.LostAt, func() {
			for _, s := range r.servers[:f.LostServers] {
				r.crashServer(s)
			}
		})
	}
	if f.CrashInterval > 0 {
		next := 0
		r.repeat(f.CrashInterval, func() {
			s := r.servers[(r.scenario.Faults.LostServers+next)%len(r.servers)]
			next++
			r.crashServer(s)
			r.schedule(r.now+f.CrashDuration, func() { s.down = false })
		})
	}
	if p, ok := r.policy.(*schedulerPolicy); ok && f.OwnerLostAt > 0 {
		r.schedule(f.OwnerLostAt, func() { r.ownerless = true })
		r.schedule(f.OwnerLostAt+f.OwnerFailoverDelay, func() { r.startNewOwner(p) })
	}
}

// capacity returns the rate per second of calls of a class that saturates all
// engines.
func (r *simulation) capacity(c *ClassLoad) float64 {
	batch := float64(r.scenario.MaxBatch)
	step := r.scenario.StepBase.Seconds() + batch*r.scenario.StepPerSequence.Seconds()
	prompt := logNormalMean(c.PromptTokensMedian, c.PromptTokensSigma)
	output := logNormalMean(c.OutputTokensMedian, c.OutputTokensSigma)
	// A sequence occupies its slot for one step per output token. Prefill lengthens
	// the engine's steps; half of the prompts are taken to hit the prefix cache.
	prefill := prompt * (1 - cachedPromptShare/2) * r.scenario.PrefillPerToken.Seconds()
	perCall := output*step/batch + prefill
	return float64(r.scenario.Servers*r.scenario.EnginesPerServer) / perCall
}

// logNormalMean returns the mean of a log-normal distribution.
func logNormalMean(median, sigma float64) float64 { return median * math.Exp(sigma*sigma/2) }

func (r *simulation) nextArrival(c *ClassLoad, after time.Duration) {
	share := c.BaseShare
	if r.inBurst(after) {
		share = c.BurstShare
	}
	rate := share * r.capacity(c)
	if rate <= 0 {
		r.schedule(after+second, func() { r.nextArrival(c, r.now) })
		return
	}
	t := after + time.Duration(r.rng.ExpFloat64()/rate*float64(second))
	if r.inBurst(t) != r.inBurst(after) {
		// The rate changes before that arrival: draw again from the change on.
		rateChange := r.scenario.BurstStart
		if after >= rateChange {
			rateChange += r.scenario.BurstDuration
		}
		r.schedule(rateChange, func() { r.nextArrival(c, r.now) })
		return
	}
	r.schedule(t, func() {
		r.startAttempt(r.newCall(c))
		r.nextArrival(c, r.now)
	})
}

func (r *simulation) inBurst(t time.Duration) bool {
	return t >= r.scenario.BurstStart && t < r.scenario.BurstStart+r.scenario.BurstDuration
}

const (
	maxPromptTokens = 8000
	maxOutputTokens = 3000
)

func (r *simulation) newCall(c *ClassLoad) *call {
	size := func(median, sigma float64, limit int) int {
		return min(limit, max(1, int(median*math.Exp(sigma*r.rng.NormFloat64()))))
	}
	org := r.organisation()
	n := &call{
		class:        c,
		organisation: string(rune('a' + org)),
		promptTokens: size(c.PromptTokensMedian, c.PromptTokensSigma, maxPromptTokens),
		outputTokens: size(c.OutputTokensMedian, c.OutputTokensSigma, maxOutputTokens),
		prefix:       1 + org*1000 + r.rng.IntN(r.scenario.Prefixes)*10 + c.Tier,
		requestedAt:  r.now,
	}
	r.result.recordRequest(n)
	return n
}

func (r *simulation) organisation() int {
	sum := 0.0
	for _, w := range r.scenario.Weights {
		sum += w
	}
	x := r.rng.Float64() * sum
	for i, w := range r.scenario.Weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(r.scenario.Weights) - 1
}

// startAttempt begins one attempt of a call.
func (r *simulation) startAttempt(c *call) {
	c.attemptedAt = r.now
	c.attempts++
	r.place(c, -1)
}

// place asks the policy for a server other than avoidServer.
func (r *simulation) place(c *call, avoidServer int) {
	r.callSeq++
	c.seq = r.callSeq
	c.server, c.avoidServer = -1, avoidServer
	if r.ownerless {
		r.parked = append(r.parked, c)
		return
	}
	r.policy.reserve(r.now, c)
	r.applyDecisions()
}

// startNewOwner starts the next owner of the shard and submits the parked calls.
func (r *simulation) startNewOwner(p *schedulerPolicy) {
	r.ownerless = false
	p.failOver(r.now, uint64(r.eventSeq))
	parked := r.parked
	r.parked = nil
	r.applyDecisions()
	for _, c := range parked {
		r.policy.reserve(r.now, c)
		r.applyDecisions()
	}
}

// applyDecisions carries out the policy's decisions.
func (r *simulation) applyDecisions() {
	if r.ownerless {
		return
	}
	for {
		list := r.policy.takeDecisions()
		if len(list) == 0 {
			return
		}
		for _, d := range list {
			if d.refused {
				r.handleRefusal(d.call, d)
				continue
			}
			r.dispatch(d.call, d.server)
		}
	}
}

func (r *simulation) handleRefusal(c *call, d decision) {
	r.result.recordRefusal(c, d.reason)
	if c.delivered > 0 || c.attempts > maxRetries {
		r.endCall(c, false)
		return
	}
	r.schedule(r.now+d.retryAfter, func() { r.startAttempt(c) })
}

func (r *simulation) dispatch(c *call, i int) {
	s := r.servers[i]
	if s.down {
		r.schedule(r.now+reconnectDelay, func() {
			r.policy.finish(r.now, c, scheduler.Completion{Result: scheduler.ResultFailed})
			r.place(c, i)
		})
		return
	}
	c.server = i
	r.result.recordStart(c, r.now)
	q := s.add(r.now, c)
	r.result.addWasted(min(q.prefillLeft, c.lostTokens))
	c.lostTokens = 0
	s.recordLoad(r.now)
	if r.baseline {
		r.scheduleDeadline(c, c.seq)
	}
	r.step(s)
}

// scheduleDeadline schedules the refusal of a baseline call that has produced no
// token by its deadline.
func (r *simulation) scheduleDeadline(c *call, seq uint64) {
	r.schedule(max(r.now, c.attemptedAt+c.class.Deadline), func() {
		if c.seq != seq || c.ended || c.delivered > 0 || c.server < 0 {
			return
		}
		s := r.servers[c.server]
		for _, q := range s.running {
			if q.call == c {
				r.result.addWasted(q.prefilled)
			}
		}
		s.remove(r.now, c)
		r.handleRefusal(c, decision{reason: scheduler.ReasonDeadline, retryAfter: second})
	})
}

// step starts the next step of a server that has work and no step in progress.
func (r *simulation) step(s *server) {
	if s.stepping || s.down || len(s.running) == 0 {
		return
	}
	s.stepping = true
	epoch := s.epoch
	r.schedule(r.now+s.stepTime(), func() {
		if s.epoch != epoch {
			return
		}
		s.stepping = false
		ended, prefilled, generated := s.step(r.now)
		r.result.addProcessed(prefilled, generated)
		for _, q := range ended {
			r.completeCall(q)
		}
		r.step(s)
	})
}

func (r *simulation) completeCall(q *sequence) {
	c := q.call
	done := scheduler.Completion{Result: scheduler.ResultDone, OutputTokens: q.generated, TimeToFirstToken: q.firstTokenAt - q.startedAt}
	if q.generated > 1 {
		done.InterTokenLatency = (r.now - q.firstTokenAt) / time.Duration(q.generated-1)
	}
	c.server = -1
	r.endCall(c, true)
	r.policy.finish(r.now, c, done)
	r.applyDecisions()
}

func (r *simulation) endCall(c *call, completed bool) {
	c.ended = true
	r.result.recordEnd(c, completed, r.now)
}

// crashServer takes a server down and places its calls elsewhere. With the
// scheduler they continue after the tokens already delivered; with the baseline
// they start over.
func (r *simulation) crashServer(s *server) {
	if s.down {
		return
	}
	for _, q := range s.crash(r.now) {
		c := q.call
		c.server = -1
		c.lostTokens = q.prefilled + q.generated
		if r.baseline {
			r.result.addWasted(c.delivered)
			c.delivered = 0
		}
		r.policy.finish(r.now, c, scheduler.Completion{Result: scheduler.ResultFailed, OutputTokens: q.generated})
		r.place(c, s.index)
	}
}

func (r *simulation) reportLoads() {
	for i, s := range r.servers {
		r.policy.reportLoad(r.now, i, s.delayedLoad(r.now, r.scenario.Faults.ReportLag), s.down)
	}
	r.applyDecisions()
}
