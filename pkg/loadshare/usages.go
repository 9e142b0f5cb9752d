package loadshare

import (
	"maps"
	"math"
	"net"
	"slices"
	"time"

	"headhill.example/headhill/pkg/fairshare"
	"headhill.example/headhill/pkg/loadshare/loadpb"
	"headhill.example/headhill/pkg/routing"
)

// UsageTracker tracks the usage of organisations.
type UsageTracker interface {
	// Enabled reports whether usages are tracked.
	Enabled() bool
	// Report returns the usages of this box that other boxes need.
	Report(now time.Time) []fairshare.Usage
	// SetPeers replaces the usages of the other boxes, which were reported at a time.
	SetPeers(list []fairshare.Usage, reportedAt time.Time)
	// SetLargestPeers is SetPeers for a list from which smaller usages have been left out.
	SetLargestPeers(list []fairshare.Usage, reportedAt time.Time)
}

// usageTTL is how long usages count after the last report of a box that they contain.
const usageTTL = 5 * time.Second

// usageTable holds the latest usages by sender.
type usageTable map[string]receivedUsages

type receivedUsages struct {
	list []fairshare.Usage
	// reportedAt is the time of the most recent report of a box in the list.
	reportedAt time.Time
	// cut is set if smaller usages were left out for lack of room.
	cut bool
}

// sum adds up the usages that have not expired, and removes the others.
func (t usageTable) sum(now time.Time) receivedUsages {
	t.removeExpired(now)
	return sumUsages(slices.Collect(maps.Values(t))...)
}

// sumUsages adds up usages. Empty lists have no influence on the time of the sum.
func sumUsages(parts ...receivedUsages) receivedUsages {
	var sum receivedUsages
	lists := make([][]fairshare.Usage, 0, len(parts))
	for _, p := range parts {
		lists = append(lists, p.list)
		sum.cut = sum.cut || p.cut
		if len(p.list) > 0 && p.reportedAt.After(sum.reportedAt) {
			sum.reportedAt = p.reportedAt
		}
	}
	sum.list = fairshare.Sum(lists...)
	return sum
}

// largest returns the usages with the most tokens, as many as a summary holds.
func (r receivedUsages) largest() receivedUsages {
	r.list = fairshare.Largest(r.list, fairshare.MaxSummarised)
	return r
}

// removeExpired removes the usages that have expired.
func (t usageTable) removeExpired(now time.Time) {
	maps.DeleteFunc(t, func(_ string, r receivedUsages) bool { return now.Sub(r.reportedAt) > usageTTL })
}

// usageExchange is the state of the exchange of usages.
type usageExchange struct {
	// reported is the last report of this box.
	reported []fairshare.Usage
	// boxes holds the reports of the boxes of this hall, halls the sums of the other halls.
	boxes, halls usageTable
}

func newUsageExchange() usageExchange {
	return usageExchange{boxes: make(usageTable), halls: make(usageTable)}
}

// reportUsages sends the usages of this box to the relays of its hall, except for itself.
func (s *Sharer) reportUsages(relay bool, others []*net.UDPAddr, now time.Time) {
	if s.Usages == nil {
		return
	}
	s.usages.reported = s.Usages.Report(now)
	if relay {
		s.usages.boxes[s.Box] = receivedUsages{list: s.usages.reported, reportedAt: now}
	}
	s.sendUsages(kindStatisticsReport, receivedUsages{list: s.usages.reported, reportedAt: now}, others, now)
}

// summariseUsages sends the usages of this hall to the relays of other halls, and those of all halls
// to the boxes of this hall.
func (s *Sharer) summariseUsages(members []member, now time.Time) {
	hall := s.usages.boxes.sum(now)
	all := sumUsages(hall, s.usages.halls.sum(now)).largest()
	s.sendUsages(kindStatisticsSummary, hall.largest(), s.otherHallRelays(members, now), now)
	s.sendUsages(kindStatisticsSummary, all, s.hallPeers(members), now)
	s.setPeerUsages(all)
}

func (s *Sharer) sendUsages(kind string, usages receivedUsages, to []*net.UDPAddr, now time.Time) {
	if len(to) > 0 && len(usages.list) > 0 {
		m := &loadpb.Statistics{Hall: s.Hall, Usage: encodeUsages(usages.list), UsageAgeMs: encodeAge(now.Sub(usages.reportedAt)), UsageCut: usages.cut}
		s.sendStatistics(kind, m, to)
	}
}

func encodeAge(age time.Duration) uint32 { return uint32(max(0, age.Milliseconds())) }

// handleUsages records received usages. Messages without usages leave the earlier ones to expire.
func (s *Sharer) handleUsages(in message) {
	m := in.statistics
	if len(m.GetUsage()) == 0 {
		return
	}
	usages := decodeUsageMessage(m, in.received)
	switch {
	case in.kind == kindStatisticsReport && m.GetHall() == s.Hall:
		s.usages.boxes[in.from] = usages
	case in.kind == kindStatisticsReport:
		// The relay of its own hall counts the box.
	case m.GetHall() != s.Hall:
		s.usages.halls[m.GetHall()] = usages
	default:
		s.setPeerUsages(usages)
	}
}

// decodeUsageMessage decodes the usages of a message.
func decodeUsageMessage(m *loadpb.Statistics, received time.Time) receivedUsages {
	age := time.Duration(m.GetUsageAgeMs()) * time.Millisecond
	return receivedUsages{list: decodeUsages(m.GetUsage()), reportedAt: received.Add(-age), cut: m.GetUsageCut()}
}

// setPeerUsages passes the total usages to the tracker, minus the last report of this box.
func (s *Sharer) setPeerUsages(total receivedUsages) {
	if s.Usages == nil || len(total.list) == 0 {
		return
	}
	set := s.Usages.SetPeers
	if total.cut {
		set = s.Usages.SetLargestPeers
	}
	set(fairshare.Without(total.list, s.usages.reported), total.reportedAt)
}

func encodeUsages(list []fairshare.Usage) []*loadpb.OrganisationUsage {
	encoded := make([]*loadpb.OrganisationUsage, len(list))
	for i, u := range list {
		encoded[i] = &loadpb.OrganisationUsage{
			Service: u.Service, Rank: uint32(u.Rank), Organisation: u.Organisation, Admitted: encodeTokens(u.Admitted), Refused: encodeTokens(u.Refused),
		}
	}
	return encoded
}

func encodeTokens(tokens float64) uint32 { return uint32(min(max(tokens, 0), math.MaxUint32)) }

// decodeUsages decodes at most as many usages as a summary holds. Invalid ranks are ignored.
func decodeUsages(encoded []*loadpb.OrganisationUsage) []fairshare.Usage {
	list := make([]fairshare.Usage, 0, min(len(encoded), fairshare.MaxSummarised))
	for _, u := range encoded[:min(len(encoded), fairshare.MaxSummarised)] {
		if u.GetRank() > routing.MaxRank {
			continue
		}
		list = append(list, fairshare.Usage{
			ID:       fairshare.ID{Group: fairshare.Group{Service: u.GetService(), Rank: int(u.GetRank())}, Organisation: u.GetOrganisation()},
			Admitted: float64(u.GetAdmitted()), Refused: float64(u.GetRefused()),
		})
	}
	return list
}
