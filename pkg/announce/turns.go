package announce

import (
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
)

const (
	// firstBoxes is how many boxes have a turn of their own to check, one after the other:
	// the first one checks for all, the next one if it is not heard.
	firstBoxes = 4
	// firstShare is the part of the spread in which those have their turns.
	firstShare = 0.5
)

// next is the time until this box asks if it hears of no other check. After the first boxes
// the others draw, so that a handful ask early and spare the rest.
func (c *Checker) next() time.Duration {
	t := c.Timing()
	if rank := c.Rank(); rank < firstBoxes {
		return t.Every + time.Duration(float64(t.Spread)*firstShare*float64(rank)/firstBoxes)
	}
	turns := time.Duration(firstShare * float64(t.Spread))
	return t.Every + turns + pause.Suppressed(t.Spread-turns, len(c.Peers())+1)
}

// turns says when this box checks the store. One check is under way at a time.
type turns struct {
	timer *time.Timer
	// checking says that a check is under way, ended is told when it is over.
	checking bool
	ended    chan struct{}
	// looked is when this box last looked who else is there.
	looked time.Time
}

// beginLook begins a look. It returns false if the last one was just now.
func (t *turns) beginLook() bool {
	if clock.Since(t.looked) < unknownPause {
		return false
	}
	t.looked = clock.Now()
	return true
}

// begin begins a check. It returns false if one is under way: the next comes after it.
func (t *turns) begin() bool {
	if t.checking {
		return false
	}
	t.checking = true
	return true
}
