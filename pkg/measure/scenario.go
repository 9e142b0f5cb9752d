package measure

import (
	"time"

	"headhill.example/headhill/pkg/scheduler"
)

// ClassLoad is a class and the calls it brings.
type ClassLoad struct {
	scheduler.Class
	// Deadline bounds the wait for a start.
	Deadline time.Duration
	// Base and Burst are the calls' share of the engines' capacity, in ordinary
	// times and in the burst.
	Base, Burst float64
	// PromptTokens and OutputTokens are the medians of log-normal sizes, with the
	// given spread (sigma); outputs have the longer tail.
	PromptTokens, OutputTokens float64
	PromptSpread, OutputSpread float64
}

// Faults of a run. Times count from its start.
type Faults struct {
	// ReportLag delays load reports.
	ReportLag time.Duration
	// Slow servers step SlowFactor times slower from SlowAt on.
	Slow       int
	SlowFactor float64
	SlowAt     time.Duration
	// Lost servers are gone from LostAt to the end.
	Lost   int
	LostAt time.Duration
	// CrashEvery crashes one server in turn, which is back after CrashFor.
	CrashEvery, CrashFor time.Duration
	// OwnerLostAt takes the shard's owner away; its successor begins after
	// OwnerGap with what the entry boxes register.
	OwnerLostAt, OwnerGap time.Duration
}

// Scenario is a service and a day of its load, compressed.
type Scenario struct {
	Name    string
	Classes []ClassLoad
	// Servers of EnginesPerServer engines, each batching up to Batch sequences.
	Servers, EnginesPerServer, Batch int
	// StepBase, StepEach and PrefillEach make the time of a step: a constant, so
	// much for each sequence of an engine, so much for each prompt token to read.
	StepBase, StepEach, PrefillEach time.Duration
	// CachedPrefixes is the number of prompt prefixes that a server keeps.
	CachedPrefixes int
	// Prefixes is the number of different prompt prefixes of each organisation.
	Prefixes int
	// Weights are the organisations' shares of the calls.
	Weights []float64
	// Duration of the run, and the burst within it.
	Duration, BurstAt, BurstFor time.Duration
	Queue, Headroom             int
	Faults                      Faults
}

// slots of one server.
func (s *Scenario) slots() int { return s.EnginesPerServer * s.Batch }

// A few large organisations among ten.
var organisationWeights = []float64{30, 20, 15, 8, 7, 6, 5, 4, 3, 2}

const (
	second = time.Second
	// crash interval of the ordinary day: far more often than any real engine, so
	// that a run of minutes sees several.
	crashEvery = 45 * second
	crashFor   = 15 * second
)

// Hanoi is a morning rush at the shops over the ministries' and the night's work:
// 9 servers of 4 engines; the burst brings 3 times what the engines can do.
func Hanoi() Scenario {
	return Scenario{
		Name: "hanoi",
		Classes: []ClassLoad{
			{Class: class("counter", 1, .05, 150, 1300*time.Millisecond, 37*time.Millisecond), Deadline: 10 * second, Base: .25, Burst: .55, PromptTokens: 500, OutputTokens: 45, PromptSpread: .5, OutputSpread: .9},
			{Class: class("home", 2, .04, 150, 3*second, 60*time.Millisecond), Deadline: 20 * second, Base: .15, Burst: 1.2, PromptTokens: 400, OutputTokens: 60, PromptSpread: .5, OutputSpread: .9},
			{Class: class("ministry", 3, .03, 100, 10*second, 100*time.Millisecond), Deadline: 60 * second, Base: .1, Burst: .55, PromptTokens: 900, OutputTokens: 120, PromptSpread: .6, OutputSpread: 1},
			{Class: class("reports", 4, .03, 100, 60*second, 0), Deadline: 300 * second, Base: .15, Burst: .7, PromptTokens: 1500, OutputTokens: 250, PromptSpread: .6, OutputSpread: 1},
		},
		Servers: 9, EnginesPerServer: 4, Batch: 8,
		StepBase: 5 * time.Millisecond, StepEach: 700 * time.Microsecond, PrefillEach: 10 * time.Microsecond,
		CachedPrefixes: 24, Prefixes: 12, Weights: organisationWeights,
		Duration: 240 * second, BurstAt: 60 * second, BurstFor: 60 * second,
		Queue: 600, Headroom: 6,
		Faults: Faults{ReportLag: second, CrashEvery: crashEvery, CrashFor: crashFor},
	}
}

// Recife is a live sale with a hot lot that draws its questions at once, over
// summaries and the appraisals of the night: 9 servers, 48 engines in all.
func Recife() Scenario {
	return Scenario{
		Name: "recife",
		Classes: []ClassLoad{
			{Class: class("bidder", 1, .05, 150, 1300*time.Millisecond, 37*time.Millisecond), Deadline: 8 * second, Base: .1, Burst: .6, PromptTokens: 700, OutputTokens: 50, PromptSpread: .5, OutputSpread: .9},
			{Class: class("summary", 2, .05, 150, 5*second, 80*time.Millisecond), Deadline: 40 * second, Base: .2, Burst: .8, PromptTokens: 1500, OutputTokens: 150, PromptSpread: .6, OutputSpread: .9},
			{Class: class("appraisal", 3, .05, 200, 60*second, 0), Deadline: 300 * second, Base: .4, Burst: 1.6, PromptTokens: 2000, OutputTokens: 300, PromptSpread: .6, OutputSpread: 1},
		},
		// 48 engines on 9 servers: the model has 5 on each, 45 in all.
		Servers: 9, EnginesPerServer: 5, Batch: 8,
		StepBase: 4 * time.Millisecond, StepEach: 600 * time.Microsecond, PrefillEach: 8 * time.Microsecond,
		CachedPrefixes: 24, Prefixes: 12, Weights: organisationWeights,
		Duration: 240 * second, BurstAt: 60 * second, BurstFor: 45 * second,
		Queue: 600, Headroom: 6,
		Faults: Faults{ReportLag: second, CrashEvery: crashEvery, CrashFor: crashFor},
	}
}

func class(name string, tier int, floor float64, places int, first, between time.Duration) scheduler.Class {
	return scheduler.Class{Name: name, Tier: tier, Floor: floor, FloorPlaces: 8, GuaranteedPlaces: places, FirstTokenTarget: first, InterTokenTarget: between}
}

// Variant is a scenario with one thing changed.
type Variant struct {
	Name   string
	Modify func(*Scenario)
	// Baseline runs the baseline policy instead of the scheduler.
	Baseline bool
	// Ablations switches mechanisms of the scheduler off.
	Ablations scheduler.Ablations
}

// Mechanisms are the scheduler, the baseline, and the scheduler with each
// mechanism off in turn.
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

// SlowVariants have a third of the servers five times slower, beyond the strictest
// target between tokens, with the mechanisms meant for that on and off.
func SlowVariants() []Variant {
	slow := func(s *Scenario) {
		s.Faults.Slow, s.Faults.SlowFactor, s.Faults.SlowAt = s.Servers/3, 5, s.BurstAt/2
	}
	return []Variant{
		{Name: "slow-5x", Modify: slow},
		{Name: "slow-5x/baseline", Modify: slow, Baseline: true},
		{Name: "slow-5x/no-adaptive-limit", Modify: slow, Ablations: scheduler.Ablations{NoAdaptiveLimit: true}},
	}
}

// FaultVariants are the faults of the field, each with the scheduler and with the
// baseline.
func FaultVariants() []Variant {
	faults := []Variant{
		{Name: "owner-lost", Modify: func(s *Scenario) {
			s.Faults.OwnerLostAt, s.Faults.OwnerGap = s.BurstAt+s.BurstFor/2, 350*time.Millisecond
		}},
		{Name: "reports-5s", Modify: func(s *Scenario) { s.Faults.ReportLag = 5 * second }},
		{Name: "third-slow", Modify: func(s *Scenario) {
			s.Faults.Slow, s.Faults.SlowFactor, s.Faults.SlowAt = s.Servers/3, 3, s.BurstAt/2
		}},
		{Name: "third-lost", Modify: func(s *Scenario) {
			s.Faults.Lost, s.Faults.LostAt = s.Servers/3, s.BurstAt+s.BurstFor/4
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
