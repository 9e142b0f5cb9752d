package measure

import (
	"time"

	"headhill.example/headhill/pkg/scheduler"
)

// ClassLoad is a class and the load of its calls.
type ClassLoad struct {
	scheduler.Class
	// Deadline is the longest wait for a start.
	Deadline time.Duration
	// BaseShare and BurstShare are the load as a share of the engines' capacity,
	// outside and during the burst.
	BaseShare, BurstShare float64
	// Sizes of prompts and outputs are log-normally distributed.
	PromptTokensMedian, OutputTokensMedian float64
	PromptTokensSigma, OutputTokensSigma   float64
}

// Faults are injected into a run. Times are relative to its start.
type Faults struct {
	// ReportLag delays load reports.
	ReportLag time.Duration
	// From SlowAt on, steps of SlowServers servers take SlowFactor times as long.
	SlowServers int
	SlowFactor  float64
	SlowAt      time.Duration
	// LostServers servers are down from LostAt until the end of the run.
	LostServers int
	LostAt      time.Duration
	// Every CrashInterval the next server crashes; it is back after CrashDuration.
	CrashInterval, CrashDuration time.Duration
	// OwnerLostAt is the time at which the shard loses its owner; the successor
	// starts after OwnerFailoverDelay.
	OwnerLostAt, OwnerFailoverDelay time.Duration
}

// Scenario describes a service and a day of its load, compressed into a short run.
type Scenario struct {
	Name    string
	Classes []ClassLoad
	// MaxBatch is the largest number of sequences in a batch of one engine.
	Servers, EnginesPerServer, MaxBatch int
	// The time of a step is StepBase, plus StepPerSequence for each sequence of the
	// engine, plus PrefillPerToken for each prompt token to prefill.
	StepBase, StepPerSequence, PrefillPerToken time.Duration
	// CachedPrefixes is the capacity of a server's prefix cache.
	CachedPrefixes int
	// Prefixes is the number of distinct prompt prefixes of each organisation.
	Prefixes int
	// Weights are the relative call rates of the organisations.
	Weights []float64
	// The burst starts at BurstStart and lasts for BurstDuration.
	Duration, BurstStart, BurstDuration time.Duration
	QueueLimit, HeadroomSlots           int
	Faults                              Faults
}

// slots returns the number of slots of one server.
func (s *Scenario) slots() int { return s.EnginesPerServer * s.MaxBatch }

// organisationWeights models a few large organisations among ten.
var organisationWeights = []float64{30, 20, 15, 8, 7, 6, 5, 4, 3, 2}

const (
	second = time.Second
	// Crashes are far more frequent than in production, so that each run of a few
	// minutes includes several.
	crashInterval = 45 * second
	crashDuration = 15 * second
)

// Hanoi is a morning rush of shop traffic on top of ministry and batch work, on 9
// servers of 4 engines. The burst is 3 times the engines' capacity.
func Hanoi() Scenario {
	return Scenario{
		Name: "hanoi",
		Classes: []ClassLoad{
			{Class: newClass("counter", 1, .05, 150, 1300*time.Millisecond, 37*time.Millisecond), Deadline: 10 * second, BaseShare: .25, BurstShare: .55, PromptTokensMedian: 500, OutputTokensMedian: 45, PromptTokensSigma: .5, OutputTokensSigma: .9},
			{Class: newClass("home", 2, .04, 150, 3*second, 60*time.Millisecond), Deadline: 20 * second, BaseShare: .15, BurstShare: 1.2, PromptTokensMedian: 400, OutputTokensMedian: 60, PromptTokensSigma: .5, OutputTokensSigma: .9},
			{Class: newClass("ministry", 3, .03, 100, 10*second, 100*time.Millisecond), Deadline: 60 * second, BaseShare: .1, BurstShare: .55, PromptTokensMedian: 900, OutputTokensMedian: 120, PromptTokensSigma: .6, OutputTokensSigma: 1},
			{Class: newClass("reports", 4, .03, 100, 60*second, 0), Deadline: 300 * second, BaseShare: .15, BurstShare: .7, PromptTokensMedian: 1500, OutputTokensMedian: 250, PromptTokensSigma: .6, OutputTokensSigma: 1},
		},
		Servers: 9, EnginesPerServer: 4, MaxBatch: 8,
		StepBase: 5 * time.Millisecond, StepPerSequence: 700 * time.Microsecond, PrefillPerToken: 10 * time.Microsecond,
		CachedPrefixes: 24, Prefixes: 12, Weights: organisationWeights,
		Duration: 240 * second, BurstStart: 60 * second, BurstDuration: 60 * second,
		QueueLimit: 600, HeadroomSlots: 6,
		Faults: Faults{ReportLag: second, CrashInterval: crashInterval, CrashDuration: crashDuration},
	}
}

// Recife is a live auction with a burst of bidders' questions on top of summaries
// and overnight appraisals, on 9 servers of 5 engines.
func Recife() Scenario {
	return Scenario{
		Name: "recife",
		Classes: []ClassLoad{
			{Class: newClass("bidder", 1, .05, 150, 1300*time.Millisecond, 37*time.Millisecond), Deadline: 8 * second, BaseShare: .1, BurstShare: .6, PromptTokensMedian: 700, OutputTokensMedian: 50, PromptTokensSigma: .5, OutputTokensSigma: .9},
			{Class: newClass("summary", 2, .05, 150, 5*second, 80*time.Millisecond), Deadline: 40 * second, BaseShare: .2, BurstShare: .8, PromptTokensMedian: 1500, OutputTokensMedian: 150, PromptTokensSigma: .6, OutputTokensSigma: .9},
			{Class: newClass("appraisal", 3, .05, 200, 60*second, 0), Deadline: 300 * second, BaseShare: .4, BurstShare: 1.6, PromptTokensMedian: 2000, OutputTokensMedian: 300, PromptTokensSigma: .6, OutputTokensSigma: 1},
		},
		// The modelled site has 48 engines; 5 on each of the 9 servers make 45.
		Servers: 9, EnginesPerServer: 5, MaxBatch: 8,
		StepBase: 4 * time.Millisecond, StepPerSequence: 600 * time.Microsecond, PrefillPerToken: 8 * time.Microsecond,
		CachedPrefixes: 24, Prefixes: 12, Weights: organisationWeights,
		Duration: 240 * second, BurstStart: 60 * second, BurstDuration: 45 * second,
		QueueLimit: 600, HeadroomSlots: 6,
		Faults: Faults{ReportLag: second, CrashInterval: crashInterval, CrashDuration: crashDuration},
	}
}

func newClass(name string, tier int, floor float64, guaranteedPlaces int, firstTokenTarget, interTokenTarget time.Duration) scheduler.Class {
	return scheduler.Class{Name: name, Tier: tier, Floor: floor, FloorPlaces: 8, GuaranteedPlaces: guaranteedPlaces, FirstTokenTarget: firstTokenTarget, InterTokenTarget: interTokenTarget}
}

// Variant is a modification of a scenario, or of the policy that it runs.
type Variant struct {
	Name   string
	Modify func(*Scenario)
	// Baseline runs the baseline policy instead of the scheduler.
	Baseline bool
	// Ablations disables mechanisms of the scheduler.
	Ablations scheduler.Ablations
}

// Mechanisms returns the scheduler, the baseline, and the scheduler with each
// mechanism disabled in turn.
func Mechanisms() []Variant {
	return []Variant{
		{Name: "headhill"},
		{Name: "baseline", Baseline: true},
		{Name: "no-floor", Ablations: scheduler.Ablations{NoFloor: true}},
		{Name: "no-fairness", Ablations: scheduler.Ablations{NoFairness: true}},
		{Name: "no-prefix", Ablations: scheduler.Ablations{NoPrefix: true}},
		{Name: "no-adaptive-limit", Ablations: scheduler.Ablations{NoAdaptiveLimit: true}},
		{Name: "no-headroom", Ablations: scheduler.Ablations{NoHeadroom: true}},
		{Name: "no-early-refusal", Ablations: scheduler.Ablations{NoEarlyRefusal: true}},
	}
}

// SlowVariants returns variants in which a third of the servers are five times
// slower, which exceeds the strictest inter-token target.
func SlowVariants() []Variant {
	slow := func(s *Scenario) {
		s.Faults.SlowServers, s.Faults.SlowFactor, s.Faults.SlowAt = s.Servers/3, 5, s.BurstStart/2
	}
	return []Variant{
		{Name: "slow-5x", Modify: slow},
		{Name: "slow-5x/baseline", Modify: slow, Baseline: true},
		{Name: "slow-5x/no-adaptive-limit", Modify: slow, Ablations: scheduler.Ablations{NoAdaptiveLimit: true}},
	}
}

// FaultVariants returns a variant for each injected fault, with the scheduler and
// with the baseline.
func FaultVariants() []Variant {
	faults := []Variant{
		{Name: "owner-lost", Modify: func(s *Scenario) {
			s.Faults.OwnerLostAt, s.Faults.OwnerFailoverDelay = s.BurstStart+s.BurstDuration/2, 350*time.Millisecond
		}},
		{Name: "reports-5s", Modify: func(s *Scenario) { s.Faults.ReportLag = 5 * second }},
		{Name: "third-slow", Modify: func(s *Scenario) {
			s.Faults.SlowServers, s.Faults.SlowFactor, s.Faults.SlowAt = s.Servers/3, 3, s.BurstStart/2
		}},
		{Name: "third-lost", Modify: func(s *Scenario) {
			s.Faults.LostServers, s.Faults.LostAt = s.Servers/3, s.BurstStart+s.BurstDuration/4
		}},
	}
	var list []Variant
	for _, v := range faults {
		b := v
		b.Name += "/baseline"
		b.Baseline = true
		list = append(list, v, b)
	}
	return list
}
