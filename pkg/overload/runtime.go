package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

// Waits sums up the waits of goroutines for a processor since the start of the process. The runtime records a
// sample of them.
type Waits struct {
	Count uint64
	Total time.Duration
}

// Scheduler tells the load of the Go scheduler. It is not safe for concurrent use.
type Scheduler struct {
	runnable, latencies []metrics.Sample
}

// NewScheduler returns the scheduler of this process.
func NewScheduler() *Scheduler {
	return &Scheduler{
		runnable:  []metrics.Sample{{Name: "/sched/goroutines/runnable:goroutines"}},
		latencies: []metrics.Sample{{Name: "/sched/latencies:seconds"}},
	}
}

// Runnable returns the number of goroutines that could run and wait for a processor.
func (s *Scheduler) Runnable() int {
	metrics.Read(s.runnable)
	return int(s.runnable[0].Value.Uint64())
}

// Waits returns the waits so far.
func (s *Scheduler) Waits() Waits {
	metrics.Read(s.latencies)
	h := s.latencies[0].Value.Float64Histogram()
	var w Waits
	seconds := 0.0
	for i, count := range h.Counts {
		if count == 0 {
			continue
		}
		w.Count += count
		// The bounds of the outer buckets may be infinite.
		low, high := max(0, h.Buckets[i]), h.Buckets[i+1]
		if math.IsInf(high, 1) {
			high = low
		}
		seconds += float64(count) * (low + high) / 2
	}
	w.Total = time.Duration(seconds * float64(time.Second))
	return w
}
