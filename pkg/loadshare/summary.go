package loadshare

import (
	"net"
	"time"

	"headhill.example/headhill/pkg/balancer"
)

// destination is the send state of a group of boxes to which a relay sends summaries.
type destination struct {
	// dirty is set if there is unsent data.
	dirty bool
	// placements are queued for the next summary.
	placements []balancer.Placement
	// sentAt is when the last summary was sent, interval the minimum time until the next.
	sentAt   time.Time
	interval time.Duration
}

// addPlacements queues placements for the next summary.
func (d *destination) addPlacements(list []balancer.Placement) {
	d.placements = append(d.placements, list...)
	d.dirty = true
}

// untilDue returns the time until the next summary may be sent.
func (d *destination) untilDue(now time.Time) time.Duration { return d.interval - now.Sub(d.sentAt) }

// due reports whether a summary has to be sent now.
func (d *destination) due(now time.Time) bool { return d.dirty && d.untilDue(now) <= 0 }

// markSent resets the state after a summary was sent.
func (d *destination) markSent(interval time.Duration, now time.Time) {
	*d = destination{sentAt: now, interval: interval}
}

// refreshSummaries schedules summaries to all halls if this box is a relay.
func (s *Sharer) refreshSummaries() {
	relay := len(s.boxReports) > 0
	s.hall.dirty = s.hall.dirty || relay
	s.otherHalls.dirty = s.otherHalls.dirty || relay
}

// nextSummary returns the time until the next summary. It returns false if none is pending.
func (s *Sharer) nextSummary(now time.Time) (time.Duration, bool) {
	switch {
	case s.hall.dirty && s.otherHalls.dirty:
		return min(s.hall.untilDue(now), s.otherHalls.untilDue(now)), true
	case s.hall.dirty:
		return s.hall.untilDue(now), true
	}
	return s.otherHalls.untilDue(now), s.otherHalls.dirty
}

// sendSummaries sends the summaries that are due: the load of all halls to the boxes of this
// hall, and the load of this hall to the relays of other halls.
func (s *Sharer) sendSummaries(now time.Time) {
	members := s.members()
	all := s.boxReports.sum(now)
	if s.otherHalls.due(now) {
		if len(s.boxReports) > 0 {
			s.publish(all, s.otherHalls.placements, s.otherHallRelays(members, now))
		}
		s.otherHalls.markSent(interHallInterval, now)
	}
	if !s.hall.due(now) {
		return
	}
	all.add(s.hallSummaries.sum(now))
	s.setPeerLoads(all, now)
	sent := s.publish(all, s.hall.placements, s.hallPeers(members))
	s.hall.markSent(summaryInterval(sent), now)
}

// publish sends a summary and placements. It returns the bytes sent.
func (s *Sharer) publish(all work, placements []balancer.Placement, to []*net.UDPAddr) int {
	return s.sendRound(kindSummary, all, to) + s.sendPlacements(kindPlacementRelay, placements, to)
}

// hallPeers returns the addresses of the other boxes of this hall.
func (s *Sharer) hallPeers(members []member) []*net.UDPAddr {
	var list []*net.UDPAddr
	for _, m := range members {
		if m.hall == s.Hall && m.box != s.Box {
			list = append(list, m.address)
		}
	}
	return list
}

// otherHallRelays returns the addresses of the relays of all other halls.
func (s *Sharer) otherHallRelays(members []member, now time.Time) []*net.UDPAddr {
	var list []*net.UDPAddr
	seen := map[string]bool{s.Hall: true}
	for _, m := range members {
		if seen[m.hall] {
			continue
		}
		seen[m.hall] = true
		for _, relay := range s.relayHealth.relays(members, m.hall, now) {
			list = append(list, relay.address)
		}
	}
	return list
}
