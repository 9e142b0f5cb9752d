package loadshare

import (
	"maps"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/loadshare/loadpb"
)

// Statistics change slowly and are exchanged once per refresh interval, apart from the loads.
const (
	kindStatisticsReport  = "statistics-report"
	kindStatisticsSummary = "statistics-summary"
)

// timingExchange holds the timings that a box has sent and received.
type timingExchange struct {
	// sent holds what the totals of this hall contain of this box's own requests, boxes the reports
	// of the boxes of this hall, halls the sums of the other halls, total those of all halls.
	sent, boxes, halls, total timingTable
	// The rotations are those of the reports, and of the summaries to this hall and to others.
	report, hallSummary, otherHalls rotation
}

func newTimingExchange() timingExchange {
	return timingExchange{sent: make(timingTable), boxes: make(timingTable), halls: make(timingTable), total: make(timingTable)}
}

// reportStatistics sends the statistics of this box to the relays of its hall, and summaries if it
// is one, and passes those of the other boxes to the balancer.
func (s *Sharer) reportStatistics(now time.Time) {
	s.statisticsRound++
	s.statisticsRounds.evictStale(now)
	own := s.Balancer.TimingReport(now)
	members := s.members()
	if p, ok := s.position(now); ok {
		s.reportAlongTree(p, own, now)
		s.setPeerTimings(now)
		return
	}
	var others []*net.UDPAddr
	relay, parent := false, member{}
	for _, m := range s.relayHealth.relays(members, s.Hall, now) {
		if m.box == s.Box {
			relay = true
			continue
		}
		parent = m
		others = append(others, m.address)
	}
	s.leaveTree(parent)
	s.reportUsages(relay, others, now)
	s.timings.sent.record(s.Box, s.sendTimings(kindStatisticsReport, own, &s.timings.report, others), now)
	if relay {
		s.timings.sent.record(s.Box, own, now)
		s.timings.boxes.record(s.Box, own, now)
		s.sendSummaryStatistics(members, now)
		s.summariseUsages(members, now)
	} else {
		// A former relay would keep what it received as one, as nothing adds it up any more.
		s.timings.boxes.addTo(make(timings), now)
		s.timings.halls.addTo(make(timings), now)
		s.usages.boxes.removeExpired(now)
		s.usages.halls.removeExpired(now)
	}
	s.setPeerTimings(now)
}

// sendSummaryStatistics sends the sum of this hall to the other halls, and that of all halls to the
// boxes of this hall.
func (s *Sharer) sendSummaryStatistics(members []member, now time.Time) {
	all := make(timings)
	s.timings.boxes.addTo(all, now)
	s.sendTimings(kindStatisticsSummary, all, &s.timings.otherHalls, s.otherHallRelays(members, now))
	s.timings.halls.addTo(all, now)
	s.sendTimings(kindStatisticsSummary, all, &s.timings.hallSummary, s.hallPeers(members))
	// A box that ceases to be a relay starts from its last total.
	clear(s.timings.total)
	s.timings.total.record(s.Hall, all, now)
}

// sendTimings sends as many of the timings as may be sent at a time. It returns those sent.
func (s *Sharer) sendTimings(kind string, list timings, r *rotation, to []*net.UDPAddr) timings {
	if len(to) == 0 {
		return nil
	}
	keys := r.take(list)
	for _, m := range encodeTimings(s.Hall, keys, list) {
		s.sendStatistics(kind, m, to)
	}
	sent := make(timings, len(keys))
	for _, key := range keys {
		sent[key] = list[key]
	}
	return sent
}

// sendStatistics sends a message as a part of the present round.
func (s *Sharer) sendStatistics(kind string, m *loadpb.Statistics, to []*net.UDPAddr) {
	m.Round = proto.Uint32(s.statisticsRound)
	s.send(kind, m, to)
}

// handleStatistics records received statistics. The balancer gets them with the next report of this
// box: adding them up for each datagram would cost several times as much.
func (s *Sharer) handleStatistics(in message) {
	if !s.statisticsRounds.accept(in.from, in.statistics, in.received) {
		return
	}
	s.handleLink(in)
	s.handleUsages(in)
	list, ok := decodeTimings(in.statistics)
	if !ok {
		return
	}
	hall := in.statistics.GetHall()
	switch {
	case in.kind == kindStatisticsReport && hall == s.Hall:
		s.timings.boxes.record(in.from, list, in.received)
	case in.kind == kindStatisticsReport:
		// The relay of its own hall counts the box.
	case hall == s.Hall:
		s.timings.total.record(hall, list, in.received)
	default:
		s.timings.halls.record(hall, list, in.received)
	}
}

// setPeerTimings passes the total timings to the balancer, minus what they contain of this box.
func (s *Sharer) setPeerTimings(now time.Time) {
	total, own := make(timings), make(timings)
	s.timings.total.addTo(total, now)
	s.timings.sent.addTo(own, now)
	s.Balancer.SetPeerTimings(without(total, own), now)
}

// statisticsRounds holds the last round of each sender of statistics.
type statisticsRounds map[string]receivedRound

type receivedRound struct {
	round      uint32
	receivedAt time.Time
}

// accept reports whether a message was not overtaken by one of a later round. Messages of earlier builds have none and
// count in the order in which they arrive.
func (r statisticsRounds) accept(sender string, m *loadpb.Statistics, received time.Time) bool {
	if m.Round == nil {
		return true
	}
	last, known := r[sender]
	behind := last.round - m.GetRound()
	if known && received.Sub(last.receivedAt) <= reportTTL && behind > 0 && behind <= maxReorderedRounds {
		return false
	}
	r[sender] = receivedRound{m.GetRound(), received}
	return true
}

// evictStale removes the rounds that have expired.
func (r statisticsRounds) evictStale(now time.Time) {
	maps.DeleteFunc(r, func(_ string, last receivedRound) bool { return now.Sub(last.receivedAt) > reportTTL })
}
