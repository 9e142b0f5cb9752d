package loadshare

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/loadshare/loadpb"
)

// minForwardInterval is the minimum time between two summaries that a box passes down. Summaries come
// once a second. It stops messages that would circle while the rosters of boxes differ.
const minForwardInterval = 500 * time.Millisecond

// maxUnanswered is the number of reports in a row that the relay may leave unanswered before it counts
// as failed. Load reports detect a lost relay sooner, but an idle box sends none. One lost datagram is no
// failure.
const maxUnanswered = 3

// treeLinks is the state of the links of a box to its neighbours in the tree.
type treeLinks struct {
	// heard is when the last report of a box below was received.
	heard map[string]time.Time
	// unanswered counts by ancestor the last reports in a row that have not been answered.
	unanswered  map[string]int
	forwardedAt time.Time
	// inTree is set if the last report passed along a tree.
	inTree bool
	// parent is the box that got the last report as the parent, outside a tree the relay.
	parent member
	// others holds the further ancestors that got reports while a nearer one did not answer.
	others map[string]member
	// added holds the boxes below whose reports the last sum contains.
	added map[string]bool
	// restart is set if what this box has reported contains boxes that another box adds up now.
	restart bool
	// The rotations are those of reports to the parent and to further ancestors, and of the summaries
	// passed down.
	toParent, toOthers, down rotation
}

func newTreeLinks() treeLinks {
	return treeLinks{heard: make(map[string]time.Time), unanswered: make(map[string]int), others: make(map[string]member)}
}

// position returns the place of this box in the tree of its hall. It returns false in a small hall, and
// where the relay or this box is not in the tree: the relay then serves all boxes.
func (s *Sharer) position(now time.Time) (position, bool) {
	members := s.members()
	if !s.hasTree {
		return position{}, false
	}
	p := position{tree: s.cachedTree}
	self, known := p.index[s.Box]
	relays := s.relayHealth.relays(members, s.Hall, now)
	if !known || len(relays) == 0 {
		return position{}, false
	}
	relay, inTree := p.index[relays[0].box]
	p.self, p.relay = self, relay
	return p, inTree
}

// reportAlongTree sends the statistics of this box and of those below it up the tree. The relay sends
// the summaries.
func (s *Sharer) reportAlongTree(p position, own timings, now time.Time) {
	s.links.inTree = true
	s.forgetReports(p, now)
	s.noteAdded()
	// What this box no longer reports of itself would count until it expires.
	delete(s.timings.boxes, s.Box)
	s.timings.boxes.record(s.Box, own, now)
	s.usages.reported = nil
	if s.Usages != nil {
		s.usages.reported = s.Usages.Report(now)
	}
	s.usages.boxes[s.Box] = receivedUsages{list: s.usages.reported, reportedAt: now}
	sum := make(timings)
	s.timings.boxes.addTo(sum, now)
	usages := s.usages.boxes.sum(now)
	if p.self == p.relay {
		s.setParent(member{})
		s.timings.sent.record(s.Box, own, now)
		s.summariseTree(p, sum, usages, now)
		return
	}
	// A former relay would keep what it received as one.
	s.timings.halls.addTo(make(timings), now)
	s.usages.halls.removeExpired(now)
	if s.quiet(sum, usages) {
		return
	}
	s.reportToAncestors(p, own, sum, usages, now)
}

// quiet reports whether this box needs no statistics and has none to pass on, as while all settings that
// use them are off. A box that needs some reports also if it has none, as it gets summaries in return.
func (s *Sharer) quiet(sum timings, usages receivedUsages) bool {
	needed := s.Balancer.UsesTimings() || s.Usages != nil && s.Usages.Enabled()
	return !needed && len(sum) == 0 && len(usages.list) == 0 && len(s.links.heard) == 0 && !s.links.restart
}

// forgetReports drops the reports that do not count.
func (s *Sharer) forgetReports(p position, now time.Time) {
	maps.DeleteFunc(s.links.heard, func(_ string, at time.Time) bool { return now.Sub(at) > reportTTL })
	moved, superseded := p.discarded(s.links.heard, now)
	for _, box := range moved {
		delete(s.links.heard, box)
		// A box that has left the roster does not withdraw its sum, which the relay would keep as that of
		// a box outside the tree.
		s.forgetReport(box)
	}
	for _, box := range superseded {
		s.forgetReport(box)
	}
	for _, box := range slices.Concat(slices.Collect(maps.Keys(s.timings.boxes)), slices.Collect(maps.Keys(s.usages.boxes))) {
		_, below := s.links.heard[box]
		_, inTree := p.index[box]
		// Boxes that know no tree report to the relay.
		if outside := p.self == p.relay && !inTree; !below && !outside {
			s.forgetReport(box)
		}
	}
}

// noteAdded notes the boxes whose reports are about to be added up. If one of the last sum is neither
// heard nor contained in another report, the sums reported so far may count it beside another box.
func (s *Sharer) noteAdded() {
	for box := range s.links.added {
		if _, heard := s.links.heard[box]; !heard {
			s.links.restart = true
		}
	}
	s.links.added = make(map[string]bool)
	for box := range s.links.heard {
		if s.timings.boxes[box] != nil {
			s.links.added[box] = true
		}
	}
}

// leaveTree withdraws what this box reported in a tree, as it reports its own statistics to the relay
// now. It drops the sums of the boxes below, which report their own statistics as well.
func (s *Sharer) leaveTree(relay member) {
	if s.links.inTree {
		s.setParent(member{})
		for box := range s.links.heard {
			s.forgetReport(box)
		}
		s.links = newTreeLinks()
	}
	s.links.parent = relay
}

func (s *Sharer) forgetReport(box string) {
	delete(s.timings.boxes, box)
	delete(s.usages.boxes, box)
}

// reportToAncestors sends the sum of this box and those below it to its parent and, as long as that
// leaves reports without an answer, to the nearest ancestor that answers.
func (s *Sharer) reportToAncestors(p position, own, sum timings, usages receivedUsages, now time.Time) {
	before := s.links.unanswered
	s.links.unanswered = make(map[string]int)
	s.setParent(p.boxes[p.ancestors()[0]])
	defer func() { s.links.restart = false }()
	r := &s.links.toParent
	for n, i := range p.ancestors() {
		to := p.boxes[i]
		m, keys := packStatistics(s.Hall, usages, sum, r, p.reportBytes(i, n)-len(s.Hall)-len(s.Box), now)
		m.Restart = s.links.restart
		s.sendStatistics(kindStatisticsReport, m, []*net.UDPAddr{to.address})
		sent := make(timings)
		for _, key := range keys {
			if t, ok := own[key]; ok {
				sent[key] = t
			}
		}
		s.timings.sent.record(s.Box, sent, now)
		if n > 0 {
			s.links.others[to.box] = to
		}
		s.links.unanswered[to.box] = before[to.box] + 1
		if before[to.box] == 0 {
			return
		}
		if i == p.relay && before[to.box] >= maxUnanswered {
			s.relayHealth.skipUntil[to.box] = now.Add(relayBackoff)
		}
		_ = level.Debug(s.Logger).Log("msg", "statistics pass over a box that did not answer", "box", to.box, "level", n+1)
		r = &s.links.toOthers
	}
}

// setParent withdraws the earlier reports from a former parent, and from the ancestors past it, which
// would count them beside those that the new parent adds up.
func (s *Sharer) setParent(m member) {
	if former := s.links.parent; former.box != "" && former.box != m.box {
		to := []*net.UDPAddr{former.address}
		for _, other := range s.links.others {
			to = append(to, other.address)
		}
		s.sendStatistics(kindStatisticsReport, &loadpb.Statistics{Hall: s.Hall, Restart: true}, to)
		s.links.restart = true
		clear(s.links.others)
	}
	s.links.parent = m
}

// summariseTree sends the sum of this hall to the relays of other halls, and that of all halls to the
// boxes that report to this one and to those that know no tree.
func (s *Sharer) summariseTree(p position, hall timings, usages receivedUsages, now time.Time) {
	members := s.members()
	halls, below := s.otherHallRelays(members, now), s.below(p)
	bytes := statisticsBytesPerSecond/max(p.partners(p.self), len(halls)+len(below), 1) - len(s.Hall) - len(s.Box)
	m, _ := packStatistics(s.Hall, usages, hall, &s.timings.otherHalls, bytes, now)
	s.sendSummary(m, halls)

	all := maps.Clone(hall)
	s.timings.halls.addTo(all, now)
	usages = sumUsages(usages, s.usages.halls.sum(now)).largest()
	m, _ = packStatistics(s.Hall, usages, all, &s.links.down, bytes, now)
	s.sendSummary(m, below)

	others := s.outsideTree(p, members)
	s.sendTimings(kindStatisticsSummary, all, &s.timings.hallSummary, others)
	s.sendUsages(kindStatisticsSummary, usages, others, now)
	clear(s.timings.total)
	s.timings.total.record(s.Hall, all, now)
	s.setPeerUsages(usages)
}

// sendSummary sends a summary that contains something.
func (s *Sharer) sendSummary(m *loadpb.Statistics, to []*net.UDPAddr) {
	if len(m.GetServers()) > 0 || len(m.GetUsage()) > 0 {
		s.sendStatistics(kindStatisticsSummary, m, to)
	}
}

// below returns the addresses of the boxes that report to this one.
func (s *Sharer) below(p position) []*net.UDPAddr {
	var list []*net.UDPAddr
	for _, m := range p.boxes {
		if _, ok := s.links.heard[m.box]; ok {
			list = append(list, m.address)
		}
	}
	return list
}

// outsideTree returns the addresses of the boxes of this hall that know no tree.
func (s *Sharer) outsideTree(p position, members []member) []*net.UDPAddr {
	var list []*net.UDPAddr
	for _, m := range members {
		if _, inTree := p.index[m.box]; m.hall == s.Hall && !inTree {
			list = append(list, m.address)
		}
	}
	return list
}

// handleLink answers reports, and passes summaries on to the boxes below.
func (s *Sharer) handleLink(in message) {
	if in.statistics.GetHall() != s.Hall {
		return
	}
	if in.kind == kindStatisticsReport && in.statistics.GetRestart() {
		s.forgetReport(in.from)
		s.links.restart = true
	}
	p, ok := s.position(in.received)
	from, known := p.index[in.from]
	if !ok || !known || from == p.self {
		return
	}
	if in.kind == kindStatisticsReport {
		s.links.heard[in.from] = in.received
		s.sendStatistics(kindStatisticsSummary, &loadpb.Statistics{Hall: s.Hall}, []*net.UDPAddr{p.boxes[from].address})
		return
	}
	delete(s.links.unanswered, in.from)
	if p.self != p.relay {
		s.forward(p, in)
	}
}

// forward passes a summary on to the boxes below, shortened if there are many. It does so at once,
// as usages are valid for a few seconds only.
func (s *Sharer) forward(p position, in message) {
	m, below := in.statistics, s.below(p)
	list, ok := decodeTimings(m)
	empty := len(m.GetServers()) == 0 && len(m.GetUsage()) == 0
	if !ok || empty || len(below) == 0 || in.received.Sub(s.links.forwardedAt) < minForwardInterval {
		return
	}
	s.links.forwardedAt = in.received
	bytes := statisticsBytesPerSecond/max(p.partners(p.self), len(below)+1) - len(s.Hall) - len(s.Box)
	passed, _ := packStatistics(s.Hall, decodeUsageMessage(m, in.received), list, &s.links.down, bytes, in.received)
	s.sendStatistics(kindStatisticsSummary, passed, below)
}
