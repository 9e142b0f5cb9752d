package announce

import (
	"math"
	"math/rand/v2"
	"time"

	"headhill.example/headhill/pkg/clock"
)

const (
	// fixedTurns is how many boxes, by rank, have a fixed turn to check. The first one checks
	// for all, each of the others if it has received no announcement.
	fixedTurns = 4
	// fixedTurnShare is the fraction of the stagger used for the fixed turns.
	fixedTurnShare = 0.5
)

// untilNextCheck returns the time until this box checks if it receives no announcement. Boxes without
// a fixed turn draw a random time, which is the closer to the end of the stagger the more boxes there
// are. This leaves time for slow checks, such as those that read the full server list.
func (c *Checker) untilNextCheck() time.Duration {
	t := c.Timing()
	if rank := c.Rank(); rank < fixedTurns {
		return t.Interval + time.Duration(float64(t.Stagger)*fixedTurnShare*float64(rank)/fixedTurns)
	}
	n := float64(len(c.Peers()) + 1)
	return t.Interval + time.Duration(float64(t.Stagger)*(fixedTurnShare+(1-fixedTurnShare)*math.Pow(rand.Float64(), 1/n)))
}

// schedule tracks when this box checks the store. At most one check is in progress.
type schedule struct {
	timer *time.Timer
	// checking is set while a check is in progress. checkDone signals its end.
	checking  bool
	checkDone chan struct{}
	// lastRosterRefresh is when the roster was last refreshed.
	lastRosterRefresh time.Time
}

// beginRosterRefresh records a refresh of the roster. It returns false if the last one is too recent.
func (s *schedule) beginRosterRefresh() bool {
	if clock.Since(s.lastRosterRefresh) < minRosterRefreshInterval {
		return false
	}
	s.lastRosterRefresh = clock.Now()
	return true
}

// beginCheck records the start of a check. It returns false if one is in progress.
func (s *schedule) beginCheck() bool {
	if s.checking {
		return false
	}
	s.checking = true
	return true
}
