package balancer

import (
	"math"
	"time"
)

// Result is how a call to a server ended.
type Result int

// Results of calls.
const (
	// ResultDone: the server answered.
	ResultDone Result = iota
	// ResultFailed: the server broke off, or answered that it failed.
	ResultFailed
	// ResultUnreached: no connection came up.
	ResultUnreached
	// ResultRefused: the server said that it did not run the call.
	ResultRefused
	// ResultReplaced: another server has the address.
	ResultReplaced
	// ResultAbandoned: the caller left, or its time was over.
	ResultAbandoned
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"done", "failed", "unreached", "refused", "replaced", "abandoned"}[r]
}

const (
	// failureHalfLife is the time after which a failure counts half.
	failureHalfLife = 3 * time.Second
	// ejectFirst is how long an unreached server gets nothing; each further
	// failure in a row doubles it up to ejectMost. A server that refused a call is full
	// and soon has room: it gets nothing for ejectRefused.
	ejectFirst   = 500 * time.Millisecond
	ejectMost    = 4 * time.Second
	ejectRefused = 150 * time.Millisecond
	// ejectReplaced lasts until the list has lost the server, which is gone.
	ejectReplaced = time.Minute
	// priorCalls are counted as calls that went well, so that one failure among
	// few calls says little.
	priorCalls = 4
	// brokenInARow is how many failures in a row eject a server.
	brokenInARow = 3
)

// health is this box's evidence on one server.
type health struct {
	failures float64 // decayed counts
	calls    float64
	// broken counts the failures of calls that reached the server: a cut path says nothing
	// of it to others.
	broken  float64
	counted time.Time
	inARow  int
	// ejected is until when the server gets nothing.
	ejected time.Time
	// reached is when the server last answered well; unreachable says that it was
	// ejected because it can't be reached.
	reached     time.Time
	unreachable bool
}

// down tells whether the server is ejected because it can't be reached.
func (h *health) down(now time.Time) bool { return h.unreachable && now.Before(h.ejected) }

// note takes the end of a call in. It returns how long the server is ejected.
func (h *health) note(r Result, now time.Time) time.Duration {
	h.decay(now)
	switch r {
	case ResultAbandoned:
		return 0
	case ResultDone:
		h.calls++
		h.inARow = 0
		h.ejected = time.Time{}
		h.reached = now
		h.unreachable = false
		return 0
	case ResultRefused:
		return h.eject(ejectRefused, now)
	case ResultReplaced:
		h.unreachable = true
		return h.eject(ejectReplaced, now)
	}
	h.calls++
	h.failures++
	h.inARow++
	if r == ResultFailed {
		h.broken++
	}
	if r == ResultFailed && h.inARow < brokenInARow {
		return 0
	}
	h.unreachable = r == ResultUnreached
	d := ejectFirst << min(h.inARow-1, 8)
	return h.eject(min(d, ejectMost), now)
}

func (h *health) eject(d time.Duration, now time.Time) time.Duration {
	if until := now.Add(d); until.After(h.ejected) {
		h.ejected = until
	}
	return d
}

func (h *health) decay(now time.Time) {
	if !h.counted.IsZero() {
		f := math.Exp2(-now.Sub(h.counted).Seconds() / failureHalfLife.Seconds())
		h.failures *= f
		h.calls *= f
		h.broken *= f
	}
	h.counted = now
}

// failureShare is the share of recent calls of all boxes that failed, drawn towards none
// while there are few.
func (h *health) failureShare(others Load, now time.Time) float64 {
	if h.failures == 0 && others.ScaledFailures == 0 {
		return 0
	}
	h.decay(now)
	return (h.failures + float64(others.ScaledFailures)/countScale) / (h.calls + float64(others.ScaledCalls)/countScale + priorCalls)
}

// brokenLeast is how much of a failure must be left to be told: less is as good as none.
const brokenLeast = 0.1

// report adds to a load what other boxes should know of this one's calls: failures, and
// where other boxes have seen failures how many calls there were.
func (h *health) report(l *Load, othersFail bool, now time.Time) {
	if h.broken == 0 && !othersFail {
		return
	}
	h.decay(now)
	if h.broken >= brokenLeast {
		l.FailureReports = 1
		l.ScaledFailures = scaled(h.broken)
	}
	if l.FailureReports > 0 || othersFail {
		l.ScaledCalls = scaled(h.calls)
	}
}

func scaled(count float64) int { return int(math.Round(count * countScale)) }
