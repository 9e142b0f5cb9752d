package loadshare

import (
	"maps"
	"time"

	"headhill.example/headhill/pkg/balancer"
)

// Kinds of datagrams.
const (
	kindReport  = "load-report"
	kindSummary = "load-summary"
)

// report is what one box has servers do, told to its relays.
type report struct {
	Loads      map[string]balancer.Load `json:"loads,omitempty"`
	Placements []balancer.Placement     `json:"placements,omitempty"`
}

// summary is what a relay tells. To a box of its hall it tells what all boxes do, to a
// relay of another hall what the boxes of its own hall do.
type summary struct {
	// Hall is that of the relay.
	Hall       string                   `json:"hall"`
	Loads      map[string]balancer.Load `json:"loads,omitempty"`
	Placements []balancer.Placement     `json:"placements,omitempty"`
}

const (
	// reportPause is how long changes are gathered before they are reported,
	// summaryPause the least time between two summaries.
	reportPause  = 20 * time.Millisecond
	summaryPause = 80 * time.Millisecond
	// refresh is how often loads are told again though nothing has changed, as
	// datagrams are lost.
	refresh = time.Second
	// believed is how long a box's word is taken.
	believed = 3 * time.Second
	// placementsMost bounds the placements of one datagram.
	placementsMost = 40
)

// loadTable holds the loads that some senders have told last.
type loadTable map[string]toldLoads

type toldLoads struct {
	loads map[string]balancer.Load
	heard time.Time
}

// sum adds up what all senders have told.
func (t loadTable) sum(now time.Time) map[string]balancer.Load {
	total := make(map[string]balancer.Load)
	for _, told := range t {
		if now.Sub(told.heard) <= believed {
			add(total, told.loads)
		}
	}
	return total
}

// forget drops senders that have fallen silent.
func (t loadTable) forget(now time.Time) {
	for sender, told := range t {
		if now.Sub(told.heard) > believed {
			delete(t, sender)
		}
	}
}

// add adds loads to a total.
func add(total, loads map[string]balancer.Load) {
	for id, l := range loads {
		sum := total[id]
		sum.Unread += max(0, l.Unread)
		sum.Down += max(0, l.Down)
		total[id] = sum
	}
}

// without is a total less the loads of one sender that it holds.
func without(total, loads map[string]balancer.Load) map[string]balancer.Load {
	rest := maps.Clone(total)
	for id, l := range loads {
		sum := rest[id]
		sum.Unread -= max(0, l.Unread)
		sum.Down -= max(0, l.Down)
		if sum == (balancer.Load{}) {
			delete(rest, id)
			continue
		}
		rest[id] = sum
	}
	return rest
}
