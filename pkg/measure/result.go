package measure

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"headhill.example/headhill/pkg/scheduler"
)

// ClassResult is what the callers of one class got in one run.
type ClassResult struct {
	Class string `json:"class"`
	// Asked counts callers, whatever their number of tries.
	Asked int `json:"asked"`
	// Attainment is the share of callers whose whole answer came within the
	// targets, counted from when they first asked. The burst's callers are counted
	// apart besides.
	Attainment      float64 `json:"attainment"`
	BurstAttainment float64 `json:"burst_attainment"`
	// WorstOrganisation is the least attainment among organisations.
	WorstOrganisation float64 `json:"worst_organisation"`
	Done              int     `json:"done"`
	// Shed counts refusals for a full queue, Expired those at or before the
	// deadline.
	Shed    int `json:"shed"`
	Expired int `json:"expired"`
	// CameBack callers were refused and came back when told; Served of them got
	// their answer then.
	CameBack int `json:"came_back"`
	Served   int `json:"served_on_return"`
	// BurstStarts is the class's share of starts in the burst.
	BurstStarts float64 `json:"burst_starts"`
	// FirstP95, BetweenP95 and LongestWait are in milliseconds.
	FirstP95    float64 `json:"first_p95_ms"`
	BetweenP95  float64 `json:"between_p95_ms"`
	LongestWait float64 `json:"longest_wait_ms"`

	attained, burstAsked, burstAttained, starts int
	first, between                              *hdrhistogram.Histogram
	orgAsked, orgAttained                       map[string]int
	longest                                     time.Duration
}

// Result is one run.
type Result struct {
	Scenario string         `json:"scenario"`
	Variant  string         `json:"variant"`
	Seed     uint64         `json:"seed"`
	Classes  []*ClassResult `json:"classes"`
	// Goodput is answers within their targets a second, over the whole run and in
	// the burst.
	Goodput float64 `json:"goodput"`
	// BurstTokens is delivered tokens a second in the burst.
	BurstTokens float64 `json:"burst_tokens"`
	// Occupancy is the share of the live servers' slots in use in the burst.
	Occupancy float64 `json:"occupancy"`
	// Wasted is the share of tokens, read and generated, that did not reach a
	// caller or were done twice.
	Wasted float64 `json:"wasted"`

	byClass                map[string]*ClassResult
	work, waste            int
	burstTokens            int
	occupancy, occupancyOf float64
	opts                   *Scenario
}

const histogramMost = int64(10 * time.Minute / time.Microsecond)

func newResult(o *Scenario, variant string, seed uint64) *Result {
	r := &Result{Scenario: o.Name, Variant: variant, Seed: seed, byClass: make(map[string]*ClassResult), opts: o}
	for _, c := range o.Classes {
		cr := &ClassResult{
			Class: c.Name,
			first: hdrhistogram.New(1, histogramMost, 3), between: hdrhistogram.New(1, histogramMost, 3),
			orgAsked: make(map[string]int), orgAttained: make(map[string]int),
		}
		r.Classes = append(r.Classes, cr)
		r.byClass[c.Name] = cr
	}
	return r
}

// settleFor is how long after its target an answer may take to end.
const settleFor = 30 * second

// settled tells whether a caller's end can be judged: those who asked shortly
// before the run's end can't.
func (r *Result) settled(c *call) bool {
	return c.firstAsked < r.opts.Duration-c.class.FirstTokenTarget-settleFor
}

func (r *Result) inBurst(t time.Duration) bool {
	return t >= r.opts.BurstAt && t < r.opts.BurstAt+r.opts.BurstFor
}

func (r *Result) asked(c *call) {
	if !r.settled(c) {
		return
	}
	cr := r.byClass[c.class.Name]
	cr.Asked++
	cr.orgAsked[c.organisation]++
	if r.inBurst(c.firstAsked) {
		cr.burstAsked++
	}
}

func (r *Result) refused(c *call, reason scheduler.Reason) {
	cr := r.byClass[c.class.Name]
	if reason == scheduler.ReasonDeadline {
		cr.Expired++
	} else {
		cr.Shed++
	}
	if c.tries == 1 {
		cr.CameBack++
	}
}

func (r *Result) started(c *call, now time.Duration) {
	cr := r.byClass[c.class.Name]
	if r.inBurst(now) {
		cr.starts++
	}
	if c.delivered == 0 {
		cr.longest = max(cr.longest, now-c.arrivedAt)
	}
}

func (r *Result) worked(read, generated int) { r.work += read + generated }

func (r *Result) wasted(tokens int) { r.waste += tokens }

func (r *Result) ended(c *call, done bool, now time.Duration) {
	cr := r.byClass[c.class.Name]
	if !done {
		r.waste += c.delivered
		return
	}
	cr.Done++
	if c.tries > 1 {
		cr.Served++
	}
	if r.inBurst(now) {
		r.burstTokens += c.delivered
	}
	first := c.firstAt - c.firstAsked
	var between time.Duration
	if c.delivered > 1 {
		between = (c.lastAt - c.firstAt) / time.Duration(c.delivered-1)
	}
	_ = cr.first.RecordValue(min(first.Microseconds(), histogramMost))
	_ = cr.between.RecordValue(min(between.Microseconds(), histogramMost))
	if !within(first, c.class.FirstTokenTarget) || !within(between, c.class.InterTokenTarget) || !r.settled(c) {
		return
	}
	cr.attained++
	cr.orgAttained[c.organisation]++
	if r.inBurst(c.firstAsked) {
		cr.burstAttained++
	}
}

func within(d, target time.Duration) bool { return target <= 0 || d <= target }

// watch samples the occupancy in the burst, leaving out its first seconds, in
// which the servers fill.
func (r *Result) watch(run *run) func() {
	const fill = 5 * second
	return func() {
		if !r.inBurst(run.now) || run.now < r.opts.BurstAt+fill {
			return
		}
		for _, s := range run.servers {
			if !s.down {
				r.occupancy += float64(min(len(s.running), s.slots()))
				r.occupancyOf += float64(s.slots())
			}
		}
	}
}

func (r *Result) finish(*run) {
	attained, starts := 0, 0
	for _, c := range r.Classes {
		starts += c.starts
	}
	for _, c := range r.Classes {
		attained += c.attained
		c.Attainment = ratio(c.attained, c.Asked)
		c.BurstAttainment = ratio(c.burstAttained, c.burstAsked)
		c.BurstStarts = ratio(c.starts, starts)
		c.FirstP95 = float64(c.first.ValueAtQuantile(95)) / 1000
		c.BetweenP95 = float64(c.between.ValueAtQuantile(95)) / 1000
		c.LongestWait = float64(c.longest.Milliseconds())
		c.WorstOrganisation = 1
		for o, n := range c.orgAsked {
			c.WorstOrganisation = min(c.WorstOrganisation, ratio(c.orgAttained[o], n))
		}
	}
	r.Goodput = float64(attained) / r.opts.Duration.Seconds()
	r.BurstTokens = float64(r.burstTokens) / r.opts.BurstFor.Seconds()
	if r.occupancyOf > 0 {
		r.Occupancy = r.occupancy / r.occupancyOf
	}
	r.Wasted = ratio(r.waste, r.work)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Spread is the mean and the range of a figure over the seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Spread{Mean: sum / float64(len(values)), Min: slices.Min(values), Max: slices.Max(values)}
}
