package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchConfig returns a shard with 32 servers and 7 classes.
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

// loadedScheduler is a scheduler with full servers and a queue of requests of 200
// organisations.
type loadedScheduler struct {
	sched   *Scheduler
	now     time.Time
	seq     uint64
	granted []ID
}

func newLoadedScheduler(n int) *loadedScheduler {
	l := &loadedScheduler{sched: New(benchConfig(n+100000), 1), now: epoch}
	for range 32*64 + n {
		l.reserve()
	}
	return l
}

func (l *loadedScheduler) reserve() {
	l.seq++
	l.sched.Reserve(l.now, Request{
		ID:           ID{Box: "box-1/0123456789abcdef", Seq: l.seq},
		Class:        fmt.Sprintf("class-%d", l.seq%7),
		Organisation: fmt.Sprintf("organisation-%d", l.seq%200),
		PromptTokens: 500,
		Arrival:      l.now,
		Deadline:     l.now.Add(time.Hour),
		PrefixHashes: []uint64{l.seq % 100, l.seq % 1000, l.seq},
	})
	for _, g := range l.sched.TakeDecisions().Grants {
		l.sched.Start(g.ID)
		l.granted = append(l.granted, g.ID)
	}
}

func (l *loadedScheduler) finish() {
	id := l.granted[0]
	l.granted = l.granted[1:]
	l.sched.Finish(l.now, Completion{ID: id, Result: ResultDone, PromptTokens: 500, OutputTokens: 100, InterTokenLatency: 20 * time.Millisecond})
	for _, g := range l.sched.TakeDecisions().Grants {
		l.sched.Start(g.ID)
		l.granted = append(l.granted, g.ID)
	}
}

// BenchmarkDecision measures the reservation, grant and end of one request at various
// queue lengths.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			l := newLoadedScheduler(n)
			b.ReportAllocs()
			for b.Loop() {
				l.now = l.now.Add(time.Millisecond)
				l.reserve()
				l.finish()
			}
		})
	}
}

// BenchmarkShed measures a reservation that overflows the queue.
func BenchmarkShed(b *testing.B) {
	l := newLoadedScheduler(10000)
	l.sched.cfg.QueueLimit = 10000
	for b.Loop() {
		l.reserve()
	}
}

// BenchmarkWaitingMemory measures the heap size of a waiting request.
func BenchmarkWaitingMemory(b *testing.B) {
	const n = 50000
	for b.Loop() {
		before := heapInUse()
		l := newLoadedScheduler(n)
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
