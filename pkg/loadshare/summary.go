package loadshare

import (
	"net"
	"time"

	"headhill.example/headhill/pkg/balancer"
)

// audience are boxes to which a relay sends its summaries.
type audience struct {
	// changed says that there is something new to send.
	changed bool
	// placements wait to be passed on.
	placements []balancer.Placement
	// sent is when the last summary went out, pause the least time until the next one.
	sent  time.Time
	pause time.Duration
}

// add keeps placements to be passed on.
func (a *audience) add(list []balancer.Placement) {
	a.placements = append(a.placements, list...)
	a.changed = true
}

// wait is the time until the next summary may go out.
func (a *audience) wait(now time.Time) time.Duration { return a.pause - now.Sub(a.sent) }

// due tells whether a summary has to go out now.
func (a *audience) due(now time.Time) bool { return a.changed && a.wait(now) <= 0 }

// done notes that a summary has gone out.
func (a *audience) done(pause time.Duration, now time.Time) {
	*a = audience{sent: now, pause: pause}
}

// refreshSummaries has a relay send its summaries again though nothing has changed.
func (s *Sharer) refreshSummaries() {
	relay := len(s.boxes) > 0
	s.hall.changed = s.hall.changed || relay
	s.otherHalls.changed = s.otherHalls.changed || relay
}

// nextSummary returns the time until the next summary is due, and whether there is one.
func (s *Sharer) nextSummary(now time.Time) (time.Duration, bool) {
	switch {
	case s.hall.changed && s.otherHalls.changed:
		return min(s.hall.wait(now), s.otherHalls.wait(now)), true
	case s.hall.changed:
		return s.hall.wait(now), true
	}
	return s.otherHalls.wait(now), s.otherHalls.changed
}

// summarise sends the boxes of this hall what all do, and the relays of other halls
// what this hall does.
func (s *Sharer) summarise(now time.Time) {
	members := s.members()
	all := s.boxes.sum(now)
	if s.otherHalls.due(now) {
		if len(s.boxes) > 0 {
			s.publish(all, s.otherHalls.placements, s.otherRelays(members, now))
		}
		s.otherHalls.done(hallsPause, now)
	}
	if !s.hall.due(now) {
		return
	}
	all.add(s.halls.sum(now))
	s.setOthers(all, now)
	sent := s.publish(all, s.hall.placements, s.sameHall(members))
	s.hall.done(pauseAfter(sent), now)
}

// publish sends a summary and placements. It returns the bytes sent.
func (s *Sharer) publish(all work, placements []balancer.Placement, to []*net.UDPAddr) int {
	return s.sendWork(kindSummary, all, to) + s.sendPlacements(kindPassed, placements, to)
}

// sameHall are the other boxes of this hall.
func (s *Sharer) sameHall(members []member) []*net.UDPAddr {
	var list []*net.UDPAddr
	for _, m := range members {
		if m.hall == s.Hall && m.box != s.Box {
			list = append(list, m.address)
		}
	}
	return list
}

// otherRelays are the relays of all other halls.
func (s *Sharer) otherRelays(members []member, now time.Time) []*net.UDPAddr {
	var list []*net.UDPAddr
	seen := map[string]bool{s.Hall: true}
	for _, m := range members {
		if seen[m.hall] {
			continue
		}
		seen[m.hall] = true
		for _, relay := range s.silence.relays(members, m.hall, now) {
			list = append(list, relay.address)
		}
	}
	return list
}
