package balancer

import (
	"math"
	"time"
)

// Result is the result of a call to a server.
type Result int

// Results of calls.
const (
	// ResultDone means that the server answered.
	ResultDone Result = iota
	// ResultFailed means that the connection broke or the server answered with a failure.
	ResultFailed
	// ResultUnreached means that no connection could be established.
	ResultUnreached
	// ResultRefused means that the server stated that it did not run the call.
	ResultRefused
	// ResultReplaced means that another server now has the address.
	ResultReplaced
	// ResultAbandoned means that the caller disconnected or its deadline passed.
	ResultAbandoned
)

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"done", "failed", "unreached", "refused", "replaced", "abandoned"}[r]
}

const (
	// failureHalfLife is the half-life of the failure counts.
	failureHalfLife = 3 * time.Second
	// minEjection is how long an unreachable server is ejected. Each further failure in a row
	// doubles it, up to maxEjection. A server that refused a call is full for a short time only,
	// and is ejected for refusedEjection.
	minEjection     = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	refusedEjection = 150 * time.Millisecond
	// replacedEjection outlasts the time until the replaced server is removed from the list.
	replacedEjection = time.Minute
	// priorSuccesses is added to the calls in the failure ratio, so that one failure among few
	// calls has little effect.
	priorSuccesses = 4
	// failuresToEject is the number of failures in a row that ejects a reachable server.
	failuresToEject = 3
)

// health is this box's record of the calls to one server.
type health struct {
	failures float64 // decayed, as are calls and serverFailures
	calls    float64
	// serverFailures counts only the failures of calls that reached the server. Only these are
	// reported to other boxes, as other failures may be due to this box's network path.
	serverFailures      float64
	decayedAt           time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	// lastSuccess is when a call last succeeded. unreachable is set if the server was ejected
	// because it can't be reached.
	lastSuccess time.Time
	unreachable bool
}

// down reports whether the server is ejected because it can't be reached.
func (h *health) down(now time.Time) bool { return h.unreachable && now.Before(h.ejectedUntil) }

// record records the result of a call. It returns for how long the server is ejected.
func (h *health) record(r Result, now time.Time) time.Duration {
	h.decay(now)
	switch r {
	case ResultAbandoned:
		return 0
	case ResultDone:
		h.calls++
		h.consecutiveFailures = 0
		h.ejectedUntil = time.Time{}
		h.lastSuccess = now
		h.unreachable = false
		return 0
	case ResultRefused:
		return h.eject(refusedEjection, now)
	case ResultReplaced:
		h.unreachable = true
		return h.eject(replacedEjection, now)
	}
	h.calls++
	h.failures++
	h.consecutiveFailures++
	if r == ResultFailed {
		h.serverFailures++
	}
	if r == ResultFailed && h.consecutiveFailures < failuresToEject {
		return 0
	}
	h.unreachable = r == ResultUnreached
	duration := minEjection << min(h.consecutiveFailures-1, 8)
	return h.eject(min(duration, maxEjection), now)
}

func (h *health) eject(duration time.Duration, now time.Time) time.Duration {
	if until := now.Add(duration); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
	return duration
}

func (h *health) decay(now time.Time) {
	if !h.decayedAt.IsZero() {
		f := math.Exp2(-now.Sub(h.decayedAt).Seconds() / failureHalfLife.Seconds())
		h.failures *= f
		h.calls *= f
		h.serverFailures *= f
	}
	h.decayedAt = now
}

// failureRatio returns the ratio of recent calls of all boxes that failed, biased towards zero
// while there are few calls.
func (h *health) failureRatio(peers Load, now time.Time) float64 {
	if h.failures == 0 && peers.ScaledFailures == 0 {
		return 0
	}
	h.decay(now)
	return (h.failures + float64(peers.ScaledFailures)/countScale) / (h.calls + float64(peers.ScaledCalls)/countScale + priorSuccesses)
}

// minReportedFailures is the decayed failure count below which failures are not reported.
const minReportedFailures = 0.1

// addTo adds to a load what other boxes should know of this box's calls: the failures and, if any
// box has seen failures, the number of calls.
func (h *health) addTo(l *Load, peersReportFailures bool, now time.Time) {
	if h.serverFailures == 0 && !peersReportFailures {
		return
	}
	h.decay(now)
	if h.serverFailures >= minReportedFailures {
		l.FailureReports = 1
		l.ScaledFailures = scaleCount(h.serverFailures)
	}
	if l.FailureReports > 0 || peersReportFailures {
		l.ScaledCalls = scaleCount(h.calls)
	}
}

func scaleCount(count float64) int { return int(math.Round(count * countScale)) }
