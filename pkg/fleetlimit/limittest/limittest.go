// Package limittest checks the requests that a server received against the rate limit that it signals.
package limittest

import "time"

const (
	// BindingDelay is the time after a limit is first signalled from which it must be observed.
	BindingDelay = 3 * time.Second
	// Window is the time over which requests are counted. The limit may be exceeded by the factor overshoot
	// and by slackRequests.
	Window        = 4 * time.Second
	overshoot     = 1.5
	slackRequests = 5
)

// MaxRequests returns how many requests a server with a limit may receive within any Window.
func MaxRequests(perSecond float64) float64 {
	return overshoot*perSecond*Window.Seconds() + slackRequests
}

// MaxWithin returns the maximum number of times, given in order, within any window of a length.
func MaxWithin(times []time.Time, window time.Duration) int {
	highest, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}
