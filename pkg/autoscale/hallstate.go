package autoscale

import "time"

// hallState is what is known of a hall besides what was ordered.
type hallState struct {
	// ready and leaving are the servers listed.
	ready, leaving PerKind
	// refused tells that a kind could not be had, probed is when it was last asked for; grown
	// and shrunk are when more and less of it was last ordered.
	refused [kinds]bool
	probed  [kinds]time.Time
	grown   [kinds]time.Time
	shrunk  [kinds]time.Time
}

// refuse notes that a kind can't be had at present.
func (h *hallState) refuse(k Kind, now time.Time) { h.refused[k], h.probed[k] = true, now }

// probeDue tells whether a kind that could not be had is to be asked for again.
func (h *hallState) probeDue(k Kind, now time.Time) bool {
	return h.refused[k] && now.Sub(h.probed[k]) >= probeEvery
}
