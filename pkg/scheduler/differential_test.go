package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// genConfig draws a small shard: up to four classes over three tiers, up to four
// servers, a short queue.
func genConfig(t *rapid.T) Config {
	cfg := Config{
		QueueLimit:    rapid.IntRange(1, 12).Draw(t, "queue"),
		HeadroomSlots: rapid.IntRange(0, 2).Draw(t, "headroom"),
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
			GuaranteedPlaces: rapid.IntRange(0, 4).Draw(t, "places"),
			FirstTokenTarget: time.Duration(rapid.IntRange(0, 3).Draw(t, "target")) * time.Second,
			InterTokenTarget: time.Duration(rapid.SampledFrom([]int{0, 37}).Draw(t, "between")) * time.Millisecond,
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

// history drives a scheduler and its naive twin through the same random events.
type history struct {
	sched *Scheduler
	naive *naive
	cfg   Config
	now   time.Time
	seq   uint64
	ids   []ID
}

// check compares what the two decided since the last check.
func (h *history) check(t *rapid.T) {
	got, want := h.sched.TakeDecisions(), h.naive.out
	h.naive.out = Decisions{}
	for i := range got.Refusals {
		// The naive version does not estimate when to come back.
		got.Refusals[i].RetryAfter = 0
	}
	require.Equal(t, want, got)
	require.Len(t, h.sched.waiting, len(h.naive.waiting))
	require.Len(t, h.sched.granted, len(h.naive.granted))
}

func (h *history) id(t *rapid.T) ID {
	if len(h.ids) == 0 {
		return ID{}
	}
	return rapid.SampledFrom(h.ids).Draw(t, "id")
}

func (h *history) reserve(t *rapid.T) {
	h.seq++
	r := Request{
		ID:           ID{Box: "b", Seq: h.seq},
		Class:        rapid.SampledFrom(h.cfg.Classes).Draw(t, "class").Name,
		Organisation: rapid.SampledFrom([]string{"o0", "o1", "o2"}).Draw(t, "organisation"),
		PromptTokens: rapid.IntRange(1, 200).Draw(t, "prompt"),
		Arrival:      h.now,
	}
	if rapid.Bool().Draw(t, "has deadline") {
		r.Deadline = h.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
	}
	if p := rapid.IntRange(0, 3).Draw(t, "prefix"); p > 0 {
		r.PrefixHashes = []uint64{uint64(p), uint64(p*10 + rapid.IntRange(0, 1).Draw(t, "longer"))}
	}
	if rapid.IntRange(0, 4).Draw(t, "avoid") == 0 {
		r.AvoidServers = []string{"s0"}
	}
	h.ids = append(h.ids, r.ID)
	h.sched.Reserve(h.now, r)
	h.naive.reserve(h.now, r)
}

func (h *history) finish(t *rapid.T) {
	c := Completion{
		ID:                h.id(t),
		Result:            rapid.SampledFrom([]Result{ResultDone, ResultDone, ResultFailed, ResultAbandoned}).Draw(t, "result"),
		PromptTokens:      rapid.IntRange(1, 200).Draw(t, "prompt"),
		OutputTokens:      rapid.IntRange(0, 400).Draw(t, "output"),
		InterTokenLatency: time.Duration(rapid.IntRange(0, 120).Draw(t, "between")) * time.Millisecond,
	}
	h.sched.Finish(h.now, c)
	h.naive.finish(h.now, c)
}

func (h *history) report(t *rapid.T) {
	r := LoadReport{
		Server:  rapid.SampledFrom(h.cfg.Servers).Draw(t, "server").Name,
		Running: rapid.IntRange(0, 5).Draw(t, "running"),
		Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		Down:    rapid.IntRange(0, 9).Draw(t, "down") == 0,
	}
	h.sched.Report(h.now, r)
	for _, s := range h.naive.servers {
		if s.Name == r.Server {
			s.report(h.now, r, false)
		}
	}
	h.naive.dispatch(h.now)
}

func (h *history) pass(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	// The naive version keeps idle accounts for ever.
	h.sched.cleanedAt = h.now
	h.sched.Tick(h.now)
	h.naive.tick(h.now)
}

func TestSchedulerMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := genConfig(t)
		h := &history{sched: New(cfg, 1), naive: newNaive(cfg), cfg: cfg, now: epoch}
		t.Repeat(map[string]func(*rapid.T){
			"":        h.check,
			"reserve": h.reserve,
			"burst": func(t *rapid.T) {
				for range rapid.IntRange(2, 8).Draw(t, "n") {
					h.reserve(t)
				}
			},
			"finish": h.finish,
			"cancel": func(t *rapid.T) {
				id := h.id(t)
				h.sched.Cancel(h.now, id)
				h.naive.cancel(h.now, id)
			},
			"start": func(t *rapid.T) {
				id := h.id(t)
				h.sched.Start(id)
				if r := h.naive.find(h.naive.granted, id); r != nil {
					r.started = true
				}
			},
			"report": h.report,
			"pass":   h.pass,
		})
	})
}
