package directory

import (
	"math/rand/v2"
	"time"
)

func (f *follower) backoff(t Timing) time.Duration {
	f.mu.Lock()
	failures := f.consecutiveFailures
	f.mu.Unlock()
	return f.boundPause(t, backoff(t, failures))
}

const (
	// loadingTimeoutShare is the fraction of the answer timeout that applies until a part is loaded:
	// a request sent while the source was unavailable may be lost, so it is repeated early. Every
	// fullTimeoutInterval-th attempt uses the whole timeout, in case the source is slow.
	loadingTimeoutShare = 0.4
	fullTimeoutInterval = 4
	// maxLoadingBackoffs limits the backoff to this multiple of the initial one until a part is
	// loaded.
	maxLoadingBackoffs = 3
)

// answerTimeout returns how long to wait for the first byte of a full read.
func (f *follower) answerTimeout(t Timing) time.Duration {
	f.mu.Lock()
	failures := f.totalFailures
	f.mu.Unlock()
	if f.loaded() || failures%fullTimeoutInterval == fullTimeoutInterval-1 {
		return t.AnswerTimeout
	}
	return time.Duration(loadingTimeoutShare * float64(t.AnswerTimeout))
}

// boundPause limits a pause until the part is loaded.
func (f *follower) boundPause(t Timing, pause time.Duration) time.Duration {
	if f.loaded() {
		return pause
	}
	return min(pause, maxLoadingBackoffs*t.InitialBackoff)
}

// countFailure counts a failed request.
func (f *follower) countFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.totalFailures++
}

// backoff returns the jittered pause after a number of consecutive failures.
func backoff(t Timing, failures int) time.Duration {
	d := min(t.InitialBackoff<<min(failures, 8), t.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}
