package loadshare

import (
	"maps"
	"time"

	"headhill.example/headhill/pkg/balancer"
)

// Kinds of datagrams.
const (
	// kindReport tells a relay what a box has servers do, kindSummary tells others
	// what a relay has added up.
	kindReport  = "load-report"
	kindSummary = "load-summary"
	// kindPlaced tells a relay, and kindPassed is told by a relay, where prompts went.
	kindPlaced = "placements"
	kindPassed = "placements-passed"
)

// loadsMessage is a part of a round of loads. A round counts once all of its parts
// have arrived.
type loadsMessage struct {
	// Hall is that of the sender.
	Hall  string                   `json:"hall"`
	Round uint64                   `json:"round"`
	Part  int                      `json:"part"`
	Parts int                      `json:"parts"`
	Loads map[string]balancer.Load `json:"loads,omitempty"`
}

// placementsMessage tells where prompts went.
type placementsMessage struct {
	Hall       string               `json:"hall"`
	Placements []balancer.Placement `json:"placements"`
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
	// loadsMost and placementsMost bound what one datagram holds.
	loadsMost      = 100
	placementsMost = 50
)

// split cuts a round of loads into messages.
func split(hall string, round uint64, loads map[string]balancer.Load) []loadsMessage {
	list := []loadsMessage{{Hall: hall, Round: round, Loads: make(map[string]balancer.Load)}}
	for id, l := range loads {
		if len(list[len(list)-1].Loads) == loadsMost {
			list = append(list, loadsMessage{Hall: hall, Round: round, Loads: make(map[string]balancer.Load)})
		}
		list[len(list)-1].Loads[id] = l
	}
	for i := range list {
		list[i].Part, list[i].Parts = i, len(list)
	}
	return list
}

// rounds puts the parts of each sender's latest round together.
type rounds map[string]*pendingRound

type pendingRound struct {
	round uint64
	parts map[int]bool
	loads map[string]balancer.Load
}

// partsMost bounds the parts of a round that is believed.
const partsMost = 1000

// add takes a part in. It returns the whole round with its last part.
func (r rounds) add(sender string, m loadsMessage) (map[string]balancer.Load, bool) {
	if m.Parts < 1 || m.Parts > partsMost || m.Part < 0 || m.Part >= m.Parts {
		return nil, false
	}
	p := r[sender]
	if p == nil || p.round != m.Round {
		p = &pendingRound{round: m.Round, parts: make(map[int]bool), loads: make(map[string]balancer.Load)}
		r[sender] = p
	}
	p.parts[m.Part] = true
	maps.Copy(p.loads, m.Loads)
	if len(p.parts) < m.Parts {
		return nil, false
	}
	delete(r, sender)
	return p.loads, true
}

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
