package autoscale

import "time"

// hallState is the observed state of a hall.
type hallState struct {
	// ready and leaving count the listed servers.
	ready, leaving PerKind
	// unavailable marks kinds for which the last order failed or whose servers were lost, lastProbe
	// is when that was noticed or the kind was last requested again. lastScaleUp and lastScaleDown
	// are the times of the last order for more and for fewer servers.
	unavailable   [numKinds]bool
	lastProbe     [numKinds]time.Time
	lastScaleUp   [numKinds]time.Time
	lastScaleDown [numKinds]time.Time
}

func (h *hallState) markUnavailable(k Kind, now time.Time) {
	h.unavailable[k], h.lastProbe[k] = true, now
}

// probeDue reports whether an unavailable kind should be requested again.
func (h *hallState) probeDue(k Kind, now time.Time) bool {
	return h.unavailable[k] && now.Sub(h.lastProbe[k]) >= probeInterval
}
