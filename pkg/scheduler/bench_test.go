package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchConfig is a shard of 32 servers and 7 classes, full.
func benchConfig(queue int) Config {
	cfg := Config{QueueLimit: queue, HeadroomSlots: 4}
	for i := range 32 {
		cfg.Servers = append(cfg.Servers, Server{Name: fmt.Sprintf("server-%02d", i), Slots: 64})
	}
	for i := range 7 {
		cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprintf("class-%d", i), Tier: i + 1, Floor: .03, FloorPlaces: 4, GuaranteedPlaces: queue / 7, FirstTokenTarget: time.Second, InterTokenTarget: 37 * time.Millisecond})
	}
	return cfg
}

// loaded is a scheduler whose servers are full and whose queue holds n requests
// of many organisations.
type loaded struct {
	s       *Scheduler
	now     time.Time
	seq     uint64
	granted []ID
}

func newLoaded(n int) *loaded {
	l := &loaded{s: New(benchConfig(n+100000), 1), now: epoch}
	for range 32*64 + n {
		l.reserve()
	}
	return l
}

func (l *loaded) reserve() {
	l.seq++
	l.s.Reserve(l.now, Request{
		ID:           ID{Box: "box-1/0123456789abcdef", Seq: l.seq},
		Class:        fmt.Sprintf("class-%d", l.seq%7),
		Organisation: fmt.Sprintf("organisation-%d", l.seq%200),
		PromptTokens: 500,
		Arrival:      l.now,
		Deadline:     l.now.Add(time.Hour),
		PrefixHashes: []uint64{l.seq % 100, l.seq % 1000, l.seq},
	})
	for _, g := range l.s.TakeDecisions().Grants {
		l.s.Start(g.ID)
		l.granted = append(l.granted, g.ID)
	}
}

func (l *loaded) finish() {
	id := l.granted[0]
	l.granted = l.granted[1:]
	l.s.Finish(l.now, Completion{ID: id, Result: ResultDone, PromptTokens: 500, OutputTokens: 100, InterTokenLatency: 20 * time.Millisecond})
	for _, g := range l.s.TakeDecisions().Grants {
		l.s.Start(g.ID)
		l.granted = append(l.granted, g.ID)
	}
}

// BenchmarkDecision is one request's whole share of decisions: reservation, grant
// and end, with n requests waiting at 32 full servers.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			l := newLoaded(n)
			b.ReportAllocs()
			for b.Loop() {
				l.now = l.now.Add(time.Millisecond)
				l.reserve()
				l.finish()
			}
		})
	}
}

// BenchmarkShed is a newcomer to a full queue.
func BenchmarkShed(b *testing.B) {
	l := newLoaded(10000)
	l.s.cfg.QueueLimit = 10000
	for b.Loop() {
		l.reserve()
	}
}

// BenchmarkWaitingMemory reports the heap that one waiting request takes.
func BenchmarkWaitingMemory(b *testing.B) {
	const n = 50000
	for b.Loop() {
		before := heapInUse()
		l := newLoaded(n)
		b.ReportMetric(float64(heapInUse()-before)/n, "B/waiting")
		runtime.KeepAlive(l)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
