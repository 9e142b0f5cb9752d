package measure

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"headhill.example/headhill/pkg/scheduler"
)

// ClassResult holds the results of one class in one run.
type ClassResult struct {
	Class string `json:"class"`
	// Requests counts requests made early enough to complete before the run ends.
	// Retries are not counted.
	Requests int `json:"asked"`
	// Attainment is the share of requests answered in full within the latency
	// targets, measured from the first attempt. BurstAttainment covers only
	// requests first made during the burst.
	Attainment      float64 `json:"attainment"`
	BurstAttainment float64 `json:"burst_attainment"`
	// WorstOrganisation is the lowest attainment of any organisation.
	WorstOrganisation float64 `json:"worst_organisation"`
	Completed         int     `json:"done"`
	// Expired counts refusals because of the deadline, Shed all others.
	Shed    int `json:"shed"`
	Expired int `json:"expired"`
	// Retried counts requests refused at the first attempt, ServedOnRetry those
	// that completed at a later one.
	Retried       int `json:"came_back"`
	ServedOnRetry int `json:"served_on_return"`
	// BurstStartShare is the class's share of starts in the burst.
	BurstStartShare float64 `json:"burst_starts"`
	FirstTokenP95Ms float64 `json:"first_p95_ms"`
	InterTokenP95Ms float64 `json:"between_p95_ms"`
	LongestWaitMs   float64 `json:"longest_wait_ms"`

	attained, burstRequests, burstAttained, burstStarts int
	firstToken, interToken                              *hdrhistogram.Histogram
	requestsByOrg, attainedByOrg                        map[string]int
	longestWait                                         time.Duration
}

// Result holds the results of one run.
type Result struct {
	Scenario string         `json:"scenario"`
	Variant  string         `json:"variant"`
	Seed     uint64         `json:"seed"`
	Classes  []*ClassResult `json:"classes"`
	// Goodput is the rate per second of answers within their targets.
	Goodput float64 `json:"goodput"`
	// BurstTokens is the rate per second of tokens delivered by answers that
	// completed during the burst.
	BurstTokens float64 `json:"burst_tokens"`
	// Occupancy is the share of live servers' slots in use during the burst.
	Occupancy float64 `json:"occupancy"`
	// Wasted is the share of prefilled and generated tokens that did not reach a
	// caller or were processed twice.
	Wasted float64 `json:"wasted"`

	byClass                       map[string]*ClassResult
	processedTokens, wastedTokens int
	burstTokens                   int
	slotsInUse, slotsAvailable    float64
	scenario                      *Scenario
}

// maxHistogramUs is the largest latency that the histograms resolve.
const maxHistogramUs = int64(10 * time.Minute / time.Microsecond)

func newResult(sc *Scenario, variant string, seed uint64) *Result {
	r := &Result{Scenario: sc.Name, Variant: variant, Seed: seed, byClass: make(map[string]*ClassResult), scenario: sc}
	for _, c := range sc.Classes {
		cr := &ClassResult{
			Class:      c.Name,
			firstToken: hdrhistogram.New(1, maxHistogramUs, 3), interToken: hdrhistogram.New(1, maxHistogramUs, 3),
			requestsByOrg: make(map[string]int), attainedByOrg: make(map[string]int),
		}
		r.Classes = append(r.Classes, cr)
		r.byClass[c.Name] = cr
	}
	return r
}

// completionTime is the time allowed from the first-token target to the end of an
// answer.
const completionTime = 30 * second

// measurable reports whether a request was made early enough to complete before
// the run ends.
func (r *Result) measurable(c *call) bool {
	return c.requestedAt < r.scenario.Duration-c.class.FirstTokenTarget-completionTime
}

func (r *Result) inBurst(t time.Duration) bool {
	return t >= r.scenario.BurstStart && t < r.scenario.BurstStart+r.scenario.BurstDuration
}

func (r *Result) recordRequest(c *call) {
	if !r.measurable(c) {
		return
	}
	cr := r.byClass[c.class.Name]
	cr.Requests++
	cr.requestsByOrg[c.organisation]++
	if r.inBurst(c.requestedAt) {
		cr.burstRequests++
	}
}

func (r *Result) recordRefusal(c *call, reason scheduler.Reason) {
	cr := r.byClass[c.class.Name]
	if reason == scheduler.ReasonDeadline {
		cr.Expired++
	} else {
		cr.Shed++
	}
	if c.attempts == 1 {
		cr.Retried++
	}
}

func (r *Result) recordStart(c *call, now time.Duration) {
	cr := r.byClass[c.class.Name]
	if r.inBurst(now) {
		cr.burstStarts++
	}
	if c.delivered == 0 {
		cr.longestWait = max(cr.longestWait, now-c.attemptedAt)
	}
}

func (r *Result) addProcessed(prefilled, generated int) { r.processedTokens += prefilled + generated }

func (r *Result) addWasted(tokens int) { r.wastedTokens += tokens }

func (r *Result) recordEnd(c *call, completed bool, now time.Duration) {
	cr := r.byClass[c.class.Name]
	if !completed {
		r.wastedTokens += c.delivered
		return
	}
	cr.Completed++
	if c.attempts > 1 {
		cr.ServedOnRetry++
	}
	if r.inBurst(now) {
		r.burstTokens += c.delivered
	}
	firstToken := c.firstTokenAt - c.requestedAt
	var interToken time.Duration
	if c.delivered > 1 {
		interToken = (c.lastTokenAt - c.firstTokenAt) / time.Duration(c.delivered-1)
	}
	_ = cr.firstToken.RecordValue(min(firstToken.Microseconds(), maxHistogramUs))
	_ = cr.interToken.RecordValue(min(interToken.Microseconds(), maxHistogramUs))
	if !meetsTarget(firstToken, c.class.FirstTokenTarget) || !meetsTarget(interToken, c.class.InterTokenTarget) || !r.measurable(c) {
		return
	}
	cr.attained++
	cr.attainedByOrg[c.organisation]++
	if r.inBurst(c.requestedAt) {
		cr.burstAttained++
	}
}

func meetsTarget(d, target time.Duration) bool { return target <= 0 || d <= target }

// occupancySampler returns a function that samples the occupancy during the burst,
// after the time in which the servers fill up.
func (r *Result) occupancySampler(sim *simulation) func() {
	const fillTime = 5 * second
	return func() {
		if !r.inBurst(sim.now) || sim.now < r.scenario.BurstStart+fillTime {
			return
		}
		for _, s := range sim.servers {
			if !s.down {
				r.slotsInUse += float64(min(len(s.running), s.slots()))
				r.slotsAvailable += float64(s.slots())
			}
		}
	}
}

func (r *Result) finalize(*simulation) {
	attained, burstStarts := 0, 0
	for _, c := range r.Classes {
		burstStarts += c.burstStarts
	}
	for _, c := range r.Classes {
		attained += c.attained
		c.Attainment = ratio(c.attained, c.Requests)
		c.BurstAttainment = ratio(c.burstAttained, c.burstRequests)
		c.BurstStartShare = ratio(c.burstStarts, burstStarts)
		c.FirstTokenP95Ms = float64(c.firstToken.ValueAtQuantile(95)) / 1000
		c.InterTokenP95Ms = float64(c.interToken.ValueAtQuantile(95)) / 1000
		c.LongestWaitMs = float64(c.longestWait.Milliseconds())
		c.WorstOrganisation = 1
		for org, n := range c.requestsByOrg {
			c.WorstOrganisation = min(c.WorstOrganisation, ratio(c.attainedByOrg[org], n))
		}
	}
	r.Goodput = float64(attained) / r.scenario.Duration.Seconds()
	r.BurstTokens = float64(r.burstTokens) / r.scenario.BurstDuration.Seconds()
	if r.slotsAvailable > 0 {
		r.Occupancy = r.slotsInUse / r.slotsAvailable
	}
	r.Wasted = ratio(r.wastedTokens, r.processedTokens)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Spread is the mean and range of a metric over all seeds.
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
