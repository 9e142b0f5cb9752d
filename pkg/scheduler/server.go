package scheduler

import (
	"math/bits"
	"time"
)

// MaxServers is the largest number of servers in one shard.
const MaxServers = 64

// serverSet is a set of server indices.
type serverSet uint64

func (s serverSet) has(i int) bool { return s&(1<<i) != 0 }
func (s serverSet) len() int       { return bits.OnesCount64(uint64(s)) }

const (
	// limitDecrease and limitCooldown shape the adaptive limit: one
	// multiplicative decrease a cooldown, additive increase otherwise.
	limitDecrease = 0.85
	limitCooldown = time.Second
	// smoothing is the weight of a new sample in the running means.
	smoothing = 0.2
	// failuresToTrip consecutive failures take a server out for a while.
	failuresToTrip = 3
	tripBase       = time.Second
	tripMax        = 16 * time.Second
	// reportWindow covers the lag of load reports: running requests of ours
	// that a report counts may have ended this long ago.
	reportWindow = 6 * time.Second
)

// server is one backend server's account.
type server struct {
	Server
	index   int
	granted int
	limit   float64
	// foreign is work the server reports that this scheduler did not grant.
	foreign  int
	reported bool
	down     bool
	// leaving is what the server or the platform says; Server.Leaving is what
	// the configuration says. Either keeps new work away.
	leaving bool
	// peak and lastPeak are the most grants held in this and the last window.
	peak, lastPeak int
	peakFrom       time.Time
	between        time.Duration
	decreasedAt    time.Time
	failures       int
	trips          int
	trippedUntil   time.Time
}

func (s *server) used() int { return s.granted + s.foreign }

// free is the number of slots that can be granted now.
func (s *server) free(now time.Time, settling bool) int {
	if s.Leaving || s.leaving || s.down || now.Before(s.trippedUntil) {
		return 0
	}
	if settling && !s.reported {
		return 0
	}
	return max(0, int(s.limit)-s.used())
}

func (s *server) notePeak(now time.Time) {
	if now.Sub(s.peakFrom) >= reportWindow {
		s.lastPeak = s.peak
		s.peak = 0
		s.peakFrom = now
	}
	s.peak = max(s.peak, s.granted)
}

// report takes a lagging load report in. Only what exceeds every recent count
// of our own grants can be somebody else's.
func (s *server) report(now time.Time, r LoadReport, settling bool) {
	s.notePeak(now)
	ours := max(s.peak, s.lastPeak)
	if settling {
		ours = s.granted
	}
	s.foreign = max(0, r.Running-ours)
	s.reported = true
	s.leaving = r.Leaving
	s.down = r.Down
}

// succeed and fail drive the breaker: repeated failures take the server out for
// a growing time, one success brings it back whole.
func (s *server) succeed() {
	s.failures = 0
	s.trips = 0
}

func (s *server) fail(now time.Time) {
	s.failures++
	if s.failures < failuresToTrip {
		return
	}
	pause := min(tripBase<<min(s.trips, 8), tripMax)
	s.trippedUntil = now.Add(pause)
	s.trips++
	// One more failure after the pause trips it again.
	s.failures = failuresToTrip - 1
}

// observe adapts the limit to the measured time between tokens.
func (s *server) observe(now, startedAt time.Time, between, target time.Duration, adapt bool) {
	if between <= 0 {
		return
	}
	if s.between == 0 {
		s.between = between
	}
	s.between += time.Duration(smoothing * float64(between-s.between))
	if !adapt || target <= 0 {
		return
	}
	if between > target {
		// What started before the last decrease tells nothing of the new limit.
		if startedAt.After(s.decreasedAt) && now.Sub(s.decreasedAt) >= limitCooldown {
			s.limit = max(1, s.limit*limitDecrease)
			s.decreasedAt = now
		}
		return
	}
	s.limit = min(float64(s.Slots), s.limit+1/s.limit)
}
