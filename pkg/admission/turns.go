package admission

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the decaying count of admissions. It is as long as
	// bursts and the figures of other boxes last, and covers several admissions where a box admits
	// one request a second of a rank.
	rateTimeConstant = 5 * time.Second
	// minRateTime is the shortest time over which a rate is computed, so that the first admissions
	// of a box do not count as a high rate.
	minRateTime = 500 * time.Millisecond
	// priorAdmissions is added to the count of admissions, so that turns are never further apart
	// than rateTimeConstant.
	priorAdmissions = 1
	// lineIdleTime is the time after which a line without requests starts anew, and may be removed.
	lineIdleTime = 6 * rateTimeConstant
	// maxLines limits the memory of Turns to about 200 kB. Further lines get no turns.
	maxLines = 1024
	// sweepInterval is the shortest time between two searches for idle lines.
	sweepInterval = time.Second
	// maxTurnJitter is the share of the longest Retry-After by which it is shortened at random for
	// callers without a turn, so that they do not return together.
	maxTurnJitter = 0.25
)

// Line identifies the refused requests that take turns.
type Line struct {
	Service string
	Rank    int
}

// Turns spaces the return of refused requests by the rate at which a box admits requests of the same
// line. A turn is only a time: once it has passed it delays nobody, whether its caller came or not.
// The zero value is ready for use. Calls must not be concurrent.
type Turns struct {
	lines map[Line]*line
	// sweptAt is the time of the last search for idle lines.
	sweptAt time.Time
}

// line is the state of a Line.
type line struct {
	// startedAt is when the line started, and updatedAt when admissions was last decayed.
	startedAt, updatedAt time.Time
	// admissions is the decaying count of admitted requests.
	admissions float64
	// next is the earliest time of the next turn.
	next time.Time
}

// Ask describes a refused request that asks for a turn.
type Ask struct {
	// Wait is the expected wait at the engines, and Remaining the caller's remaining time.
	Wait, Remaining time.Duration
	// Notice is when callers stop coming to this box, as it shuts down. It is zero if no shutdown is
	// planned.
	Notice time.Time
}

// Turn states how a Retry-After was determined.
type Turn string

const (
	// TurnGiven is that the caller has a turn of its own.
	TurnGiven Turn = "given"
	// TurnNoneLeft is that no turn was left within the longest Retry-After of the caller, which it
	// got instead.
	TurnNoneLeft Turn = "none-left"
	// TurnOff is that Retry-After follows from the expected wait alone.
	TurnOff Turn = "off"
)

// Admitted records the admission of a request.
func (t *Turns) Admitted(l Line, now time.Time) {
	if state := t.line(l, now); state != nil {
		state.admissions++
	}
}

// Take returns the Retry-After of a refused request and how it was determined. It is at most a third
// of the caller's remaining time. The draw is a random number in [0,1) for jitter, which does not
// change the order of turns.
func (t *Turns) Take(l Line, a Ask, draw float64, now time.Time) (time.Duration, Turn) {
	state := t.line(l, now)
	if state == nil {
		return RetryAfter(a.Wait, a.Remaining, draw), TurnOff
	}
	longest := maxRetryAfter(a.Remaining)
	latest := longest
	if !a.Notice.IsZero() {
		latest = min(latest, a.Notice.Sub(now))
	}
	if retryAfter, ok := state.take(max(a.Wait, minRetryAfter), latest, draw, now); ok {
		return retryAfter, TurnGiven
	}
	if !a.Notice.IsZero() {
		// The caller returns to another box, whose turns are not known here.
		return RetryAfter(a.Wait, a.Remaining, draw), TurnOff
	}
	return longest - time.Duration(maxTurnJitter*draw*float64(longest)), TurnNoneLeft
}

// take takes the next turn between two times from now, if there is one.
func (l *line) take(earliest, latest time.Duration, draw float64, now time.Time) (time.Duration, bool) {
	turn := max(earliest, l.next.Sub(now))
	if turn > latest {
		return 0, false
	}
	interval := l.interval(now)
	l.next = now.Add(turn + interval)
	return turn + time.Duration(draw*float64(min(interval, latest-turn))), true
}

// interval returns the time between two turns.
func (l *line) interval(now time.Time) time.Duration {
	age := max(now.Sub(l.startedAt), minRateTime)
	window := rateTimeConstant.Seconds() * (1 - decay(age))
	return time.Duration(window / (l.admissions + priorAdmissions) * float64(time.Second))
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / rateTimeConstant.Seconds())
}

// line returns the state of a line with its count decayed to now, or nil if there are too many.
func (t *Turns) line(l Line, now time.Time) *line {
	state, ok := t.lines[l]
	switch {
	case !ok && !t.makeRoom(now):
		return nil
	case !ok:
		state = &line{startedAt: now, updatedAt: now}
		t.lines[l] = state
	case state.idle(now):
		*state = line{startedAt: now, updatedAt: now}
	}
	state.admissions *= decay(now.Sub(state.updatedAt))
	state.updatedAt = now
	return state
}

func (l *line) idle(now time.Time) bool { return now.Sub(l.updatedAt) >= lineIdleTime }

// makeRoom reports whether another line can be added, after removing idle ones if there are too
// many.
func (t *Turns) makeRoom(now time.Time) bool {
	if t.lines == nil {
		t.lines = make(map[Line]*line)
	}
	if len(t.lines) >= maxLines && now.Sub(t.sweptAt) >= sweepInterval {
		t.sweptAt = now
		for l, state := range t.lines {
			if state.idle(now) {
				delete(t.lines, l)
			}
		}
	}
	return len(t.lines) < maxLines
}
