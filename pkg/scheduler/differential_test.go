package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// genConfig generates the configuration of a small shard with a short queue.
func genConfig(t *rapid.T) Config {
	cfg := Config{
		QueueLimit:    rapid.IntRange(1, 12).Draw(t, "queue limit"),
		HeadroomSlots: rapid.IntRange(0, 2).Draw(t, "headroom slots"),
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "servers") {
		cfg.Servers = append(cfg.Servers, Server{Name: fmt.Sprintf("s%d", i), Slots: rapid.IntRange(1, 4).Draw(t, "slots")})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		c := Class{
			Name:             fmt.Sprintf("c%d", i),
			Tier:             rapid.IntRange(1, 3).Draw(t, "tier"),
			Floor:            rapid.SampledFrom([]float64{0.02, 0.125, 0.4}).Draw(t, "floor"),
			FloorPlaces:      rapid.IntRange(1, 2).Draw(t, "floor places"),
			GuaranteedPlaces: rapid.IntRange(0, 4).Draw(t, "guaranteed places"),
			FirstTokenTarget: time.Duration(rapid.IntRange(0, 3).Draw(t, "first-token target")) * time.Second,
			InterTokenTarget: time.Duration(rapid.SampledFrom([]int{0, 37}).Draw(t, "inter-token target")) * time.Millisecond,
		}
		if rapid.Bool().Draw(t, "restricted") {
			c.Servers = []string{"s0"}
		}
		cfg.Classes = append(cfg.Classes, c)
	}
	limits := map[string]Limits{
		"o0": {Weight: 1},
		"o1": {Weight: 2, Concurrency: rapid.IntRange(0, 2).Draw(t, "concurrency")},
		"o2": {Weight: 1, RequestsPerSecond: 5, TokensPerSecond: 400},
	}
	cfg.Limits = func(name string) Limits { return limits[name] }
	return cfg
}

// lockstepTest applies the same random events to a scheduler and the reference.
type lockstepTest struct {
	sched     *Scheduler
	reference *referenceScheduler
	cfg       Config
	now       time.Time
	seq       uint64
	ids       []ID
}

// check compares the decisions since the last check.
func (l *lockstepTest) check(t *rapid.T) {
	got, want := l.sched.TakeDecisions(), l.reference.decisions
	l.reference.decisions = Decisions{}
	for i := range got.Refusals {
		// The reference doesn't estimate Retry-After.
		got.Refusals[i].RetryAfter = 0
	}
	require.Equal(t, want, got)
	require.Len(t, l.sched.waiting, len(l.reference.waiting))
	require.Len(t, l.sched.granted, len(l.reference.granted))
}

func (l *lockstepTest) id(t *rapid.T) ID {
	if len(l.ids) == 0 {
		return ID{}
	}
	return rapid.SampledFrom(l.ids).Draw(t, "id")
}

func (l *lockstepTest) reserve(t *rapid.T) {
	l.seq++
	r := Request{
		ID:           ID{Box: "b", Seq: l.seq},
		Class:        rapid.SampledFrom(l.cfg.Classes).Draw(t, "class").Name,
		Organisation: rapid.SampledFrom([]string{"o0", "o1", "o2"}).Draw(t, "organisation"),
		PromptTokens: rapid.IntRange(1, 200).Draw(t, "prompt"),
		Arrival:      l.now,
	}
	if rapid.Bool().Draw(t, "has deadline") {
		r.Deadline = l.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
	}
	if p := rapid.IntRange(0, 3).Draw(t, "prefix"); p > 0 {
		r.PrefixHashes = []uint64{uint64(p), uint64(p*10 + rapid.IntRange(0, 1).Draw(t, "longer prefix"))}
	}
	if rapid.IntRange(0, 4).Draw(t, "avoid") == 0 {
		r.AvoidServers = []string{"s0"}
	}
	l.ids = append(l.ids, r.ID)
	l.sched.Reserve(l.now, r)
	l.reference.reserve(l.now, r)
}

func (l *lockstepTest) finish(t *rapid.T) {
	c := Completion{
		ID:                l.id(t),
		Result:            rapid.SampledFrom([]Result{ResultDone, ResultDone, ResultFailed, ResultAbandoned}).Draw(t, "result"),
		PromptTokens:      rapid.IntRange(1, 200).Draw(t, "prompt"),
		OutputTokens:      rapid.IntRange(0, 400).Draw(t, "output"),
		InterTokenLatency: time.Duration(rapid.IntRange(0, 120).Draw(t, "inter-token latency")) * time.Millisecond,
	}
	l.sched.Finish(l.now, c)
	l.reference.finish(l.now, c)
}

func (l *lockstepTest) report(t *rapid.T) {
	r := LoadReport{
		Server:  rapid.SampledFrom(l.cfg.Servers).Draw(t, "server").Name,
		Running: rapid.IntRange(0, 5).Draw(t, "running"),
		Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		Down:    rapid.IntRange(0, 9).Draw(t, "down") == 0,
	}
	l.sched.Report(l.now, r)
	for _, s := range l.reference.servers {
		if s.Name == r.Server {
			s.applyReport(l.now, r, false)
		}
	}
	l.reference.dispatch(l.now)
}

func (l *lockstepTest) passTime(t *rapid.T) {
	l.now = l.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	// The reference doesn't evict idle state, so disable eviction in the scheduler.
	l.sched.lastCleanup = l.now
	l.sched.Tick(l.now)
	l.reference.tick(l.now)
}

// Checks that random histories lead to the same decisions as the reference.
func TestSchedulerMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := genConfig(t)
		l := &lockstepTest{sched: New(cfg, 1), reference: newReferenceScheduler(cfg), cfg: cfg, now: epoch}
		t.Repeat(map[string]func(*rapid.T){
			"":        l.check,
			"reserve": l.reserve,
			"burst": func(t *rapid.T) {
				for range rapid.IntRange(2, 8).Draw(t, "n") {
					l.reserve(t)
				}
			},
			"finish": l.finish,
			"cancel": func(t *rapid.T) {
				id := l.id(t)
				l.sched.Cancel(l.now, id)
				l.reference.cancel(l.now, id)
			},
			"start": func(t *rapid.T) {
				id := l.id(t)
				l.sched.Start(id)
				if r := l.reference.find(l.reference.granted, id); r != nil {
					r.started = true
				}
			},
			"report":    l.report,
			"pass time": l.passTime,
		})
	})
}
