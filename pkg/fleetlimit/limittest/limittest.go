// Package limittest checks what a server got against the rate limit that it signals.
package limittest

import "time"

const (
	// BindingDelay is from when on a limit binds, after it was first signalled.
	BindingDelay = 3 * time.Second
	// Window is the time in which requests are counted; overshoot and slack are what the operators allow
	// above the limit.
	Window    = 4 * time.Second
	overshoot = 1.5
	slack     = 5
)

// MaxRequests is how many requests a server with a limit may get within any window.
func MaxRequests(perSecond float64) float64 { return overshoot*perSecond*Window.Seconds() + slack }

// MaxWithin is the most of some times, in order, that lie within any window of a length.
func MaxWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
