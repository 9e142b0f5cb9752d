package retry

import "time"

const (
	// slackMargin is the part of the slack that is shared out. The rest is for retries that a network holds
	// back, which may arrive in the same window as later ones.
	slackMargin = 0.95
	// growthWindows is the number of windows for which a box keeps the share of a larger roster. Boxes that left,
	// or that are cut off from this one, may have spent their shares shortly before.
	growthWindows = 2
	// maxRosterAge is how long the store may not have confirmed what a box knows. Other boxes remove one from
	// the roster that they have not heard of for longer than that, and then share out its part.
	maxRosterAge = 45 * time.Second
	// maxSizes bounds the sizes that are kept while the roster changes often.
	maxSizes = 32
)

// slackShare is the share of a box in the fleet's slack.
type slackShare struct {
	// started is when the process started. An earlier process of the box may have spent its share within the
	// window before.
	started time.Time
	// known is set once the whole roster was read.
	known bool
	// sizes are the sizes of the roster in the last windows, the latest one last.
	sizes     []rosterSize
	rosterAge func(now time.Time) time.Duration
}

// rosterSize is a size of the roster. until is when it was last observed.
type rosterSize struct {
	boxes int
	until time.Time
}

func (s *slackShare) observe(boxes int, complete bool, now time.Time) {
	s.known = s.known || complete
	if last := len(s.sizes) - 1; last >= 0 {
		s.sizes[last].until = now
		if s.sizes[last].boxes == boxes {
			return
		}
	}
	s.sizes = append(s.sizes, rosterSize{boxes: boxes, until: now})
	if len(s.sizes) > maxSizes {
		s.sizes[1].boxes = max(s.sizes[0].boxes, s.sizes[1].boxes)
		s.sizes = s.sizes[1:]
	}
}

// slack returns the share at a time.
func (s *slackShare) slack(l Limits, now time.Time) float64 {
	if !s.known || now.Sub(s.started) < l.Window {
		return 0
	}
	if s.rosterAge != nil && s.rosterAge(now) > maxRosterAge {
		return 0
	}
	return slackMargin * l.Slack / float64(s.largest(now.Add(-growthWindows*l.Window)))
}

// largest returns the largest roster since a time, and forgets earlier ones.
func (s *slackShare) largest(since time.Time) int {
	for len(s.sizes) > 1 && s.sizes[0].until.Before(since) {
		s.sizes = s.sizes[1:]
	}
	most := 1
	for _, size := range s.sizes {
		most = max(most, size.boxes)
	}
	return most
}
