package admission

import "time"

const (
	// retryAfterDivisor limits Retry-After to this fraction of the caller's remaining time, so that
	// a retry has time for a response.
	retryAfterDivisor = 3
	minRetryAfter     = 300 * time.Millisecond
)

// RetryAfter returns the Retry-After of a request refused without a turn: about as long as it would
// wait, but at most a third of the caller's remaining time. The draw is a random number in [0,1) for
// jitter of up to the same length.
func RetryAfter(wait, remaining time.Duration, draw float64) time.Duration {
	base := max(0, min(max(wait, minRetryAfter), remaining/(2*retryAfterDivisor)))
	return base + time.Duration(draw*float64(base))
}

// maxRetryAfter returns the longest Retry-After of a caller with some remaining time.
func maxRetryAfter(remaining time.Duration) time.Duration {
	return max(0, remaining/retryAfterDivisor)
}
