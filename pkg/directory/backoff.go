package directory

import (
	"math/rand/v2"
	"time"
)

func (f *follower) backoff(t Timing) time.Duration {
	f.mu.Lock()
	failures := f.failures
	f.mu.Unlock()
	return f.limit(t, backoff(t, failures))
}

const (
	// hastyShare is the part of the usual time that a box which has nothing yet waits
	// for an answer: the source may be back any moment, and what was sent to it while
	// it was away is lost. Each patientEach-th time it waits for the whole time, as the
	// source may be slow.
	hastyShare  = 0.4
	patientEach = 4
	// hastyPauses is how many times the first pause such a box pauses at the most.
	hastyPauses = 3
)

// patience is how long the beginning of an answer is awaited when the whole is read.
func (f *follower) patience(t Timing) time.Duration {
	f.mu.Lock()
	misses := f.misses
	f.mu.Unlock()
	if f.there() || misses%patientEach == patientEach-1 {
		return t.AnswerTimeout
	}
	return time.Duration(hastyShare * float64(t.AnswerTimeout))
}

// limit bounds a pause while there is nothing yet.
func (f *follower) limit(t Timing, pause time.Duration) time.Duration {
	if f.there() {
		return pause
	}
	return min(pause, hastyPauses*t.InitialBackoff)
}

// missed counts an answer that did not come.
func (f *follower) missed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misses++
}

// backoff is the pause after some failures in a row, with jitter.
func backoff(t Timing, failures int) time.Duration {
	d := min(t.InitialBackoff<<min(failures, 8), t.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}
