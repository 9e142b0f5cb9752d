package loadshare

import (
	"maps"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/loadshare/loadpb"
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

// loads are what boxes have servers do.
type loads = map[balancer.ServerKey]balancer.Load

// split cuts a round of loads into messages.
func split(hall string, round uint32, all loads) []*loadpb.Loads {
	list := []*loadpb.Loads{{Hall: hall, Round: round}}
	for key, l := range all {
		m := list[len(list)-1]
		if len(m.Servers)+len(m.Down) >= loadsMost {
			m = &loadpb.Loads{Hall: hall, Round: round}
			list = append(list, m)
		}
		if l.Unread > 0 {
			m.Servers, m.Unread = append(m.Servers, uint32(key)), append(m.Unread, uint32(l.Unread))
		}
		if l.Down > 0 {
			m.Down, m.Boxes = append(m.Down, uint32(key)), append(m.Boxes, uint32(l.Down))
		}
	}
	for i, m := range list {
		m.Part, m.Parts = uint32(i), uint32(len(list))
	}
	return list
}

// read adds a message's loads to those of its round.
func read(m *loadpb.Loads, to loads) {
	for i, key := range m.GetServers() {
		l := to[balancer.ServerKey(key)]
		l.Unread = bounded(m.GetUnread()[i])
		to[balancer.ServerKey(key)] = l
	}
	for i, key := range m.GetDown() {
		l := to[balancer.ServerKey(key)]
		l.Down = bounded(m.GetBoxes()[i])
		to[balancer.ServerKey(key)] = l
	}
}

// valueMost bounds a value that is believed.
const valueMost = 1 << 28

func bounded(v uint32) int { return int(min(v, valueMost)) }

func placementsOf(list []*loadpb.Placement) []balancer.Placement {
	placements := make([]balancer.Placement, len(list))
	for i, p := range list {
		placements[i] = balancer.Placement{Server: balancer.ServerKey(p.GetServer()), Parts: p.GetParts(), Read: p.GetRead()}
	}
	return placements
}

func placementsMessage(hall string, list []balancer.Placement) *loadpb.Placements {
	m := &loadpb.Placements{Hall: hall}
	for _, p := range list {
		m.Placements = append(m.Placements, &loadpb.Placement{Server: uint32(p.Server), Read: p.Read, Parts: p.Parts})
	}
	return m
}

// rounds puts the parts of each sender's latest round together.
type rounds map[string]*pendingRound

type pendingRound struct {
	round uint32
	parts map[uint32]bool
	loads loads
}

// partsMost bounds the parts of a round that is believed.
const partsMost = 1000

// add takes a part in. It returns the whole round with its last part.
func (r rounds) add(sender string, m *loadpb.Loads) (loads, bool) {
	if m.GetParts() > partsMost || m.GetPart() >= m.GetParts() || len(m.GetServers()) != len(m.GetUnread()) || len(m.GetDown()) != len(m.GetBoxes()) {
		return nil, false
	}
	p := r[sender]
	if p == nil || p.round != m.GetRound() {
		p = &pendingRound{round: m.GetRound(), parts: make(map[uint32]bool), loads: make(loads)}
		r[sender] = p
	}
	p.parts[m.GetPart()] = true
	read(m, p.loads)
	if len(p.parts) < int(m.GetParts()) {
		return nil, false
	}
	delete(r, sender)
	return p.loads, true
}

// loadTable holds the loads that some senders have told last.
type loadTable map[string]toldLoads

type toldLoads struct {
	loads loads
	heard time.Time
}

// sum adds up what all senders have told.
func (t loadTable) sum(now time.Time) loads {
	total := make(loads)
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
func add(total, more loads) {
	for id, l := range more {
		sum := total[id]
		sum.Unread += l.Unread
		sum.Down += l.Down
		total[id] = sum
	}
}

// without is a total less the loads of one sender. The total may hold an older word of
// that sender.
func without(total, told loads) loads {
	rest := maps.Clone(total)
	for id, l := range told {
		sum := rest[id]
		sum.Unread = max(0, sum.Unread-l.Unread)
		sum.Down = max(0, sum.Down-l.Down)
		if sum == (balancer.Load{}) {
			delete(rest, id)
			continue
		}
		rest[id] = sum
	}
	return rest
}
