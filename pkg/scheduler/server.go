package scheduler

import (
	"math/bits"
	"time"
)

// MaxServers is the maximum number of servers in one shard.
const MaxServers = 64

// serverSet is a set of server indices.
type serverSet uint64

func (s serverSet) has(i int) bool { return s&(1<<i) != 0 }
func (s serverSet) len() int       { return bits.OnesCount64(uint64(s)) }

const (
	// The concurrency limit of a server follows AIMD: it is multiplied by
	// limitDecreaseFactor at most once per limitDecreaseInterval while the server is too
	// slow, and increased additively otherwise.
	limitDecreaseFactor   = 0.85
	limitDecreaseInterval = time.Second
	// smoothingFactor is the weight of a new sample in the running means.
	smoothingFactor = 0.2
	// failuresToTrip is the number of consecutive failures that trip the circuit breaker.
	failuresToTrip  = 3
	minTripDuration = time.Second
	maxTripDuration = 16 * time.Second
	// peakWindow covers the delay of load reports: requests of this scheduler that a
	// report counts as running may have ended up to this long ago.
	peakWindow = 6 * time.Second
)

// server is the state of one backend server.
type server struct {
	Server
	index   int
	granted int
	limit   float64
	// external is the number of running requests that this scheduler did not grant,
	// estimated from load reports.
	external int
	reported bool
	down     bool
	// reportedLeaving is set by load reports, Server.Leaving by the configuration. The
	// server drains if either is set.
	reportedLeaving bool
	// peakGranted and previousPeakGranted are the maxima of granted in the current and
	// the previous window.
	peakGranted, previousPeakGranted int
	peakWindowStart                  time.Time
	interTokenLatency                time.Duration
	limitDecreasedAt                 time.Time
	consecutiveFailures              int
	// trips counts the times that the circuit breaker tripped since the last success.
	trips        int
	trippedUntil time.Time
}

func (s *server) usedSlots() int { return s.granted + s.external }

// freeSlots is the number of slots that can be granted now.
func (s *server) freeSlots(now time.Time, recovering bool) int {
	if s.Leaving || s.reportedLeaving || s.down || now.Before(s.trippedUntil) {
		return 0
	}
	if recovering && !s.reported {
		return 0
	}
	return max(0, int(s.limit)-s.usedSlots())
}

func (s *server) recordPeak(now time.Time) {
	if now.Sub(s.peakWindowStart) >= peakWindow {
		s.previousPeakGranted = s.peakGranted
		s.peakGranted = 0
		s.peakWindowStart = now
	}
	s.peakGranted = max(s.peakGranted, s.granted)
}

// applyReport updates the server from a load report. As reports are delayed, only running
// requests in excess of the recent peak of granted requests are counted as external.
func (s *server) applyReport(now time.Time, r LoadReport, recovering bool) {
	s.recordPeak(now)
	own := max(s.peakGranted, s.previousPeakGranted)
	if recovering {
		own = s.granted
	}
	s.external = max(0, r.Running-own)
	s.reported = true
	s.reportedLeaving = r.Leaving
	s.down = r.Down
}

// recordSuccess resets the circuit breaker.
func (s *server) recordSuccess() {
	s.consecutiveFailures = 0
	s.trips = 0
}

// recordFailure trips the circuit breaker after repeated failures. The trip duration
// doubles with each trip until a request succeeds.
func (s *server) recordFailure(now time.Time) {
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToTrip {
		return
	}
	duration := min(minTripDuration<<min(s.trips, 8), maxTripDuration)
	s.trippedUntil = now.Add(duration)
	s.trips++
	// A single failure after the trip duration trips the breaker again.
	s.consecutiveFailures = failuresToTrip - 1
}

// observeLatency updates the mean inter-token latency and adapts the concurrency limit.
func (s *server) observeLatency(now, grantedAt time.Time, latency, target time.Duration, adapt bool) {
	if latency <= 0 {
		return
	}
	if s.interTokenLatency == 0 {
		s.interTokenLatency = latency
	}
	s.interTokenLatency += time.Duration(smoothingFactor * float64(latency-s.interTokenLatency))
	if !adapt || target <= 0 {
		return
	}
	if latency > target {
		// Requests granted before the last decrease don't reflect the new limit.
		if grantedAt.After(s.limitDecreasedAt) && now.Sub(s.limitDecreasedAt) >= limitDecreaseInterval {
			s.limit = max(1, s.limit*limitDecreaseFactor)
			s.limitDecreasedAt = now
		}
		return
	}
	s.limit = min(float64(s.Slots), s.limit+1/s.limit)
}
