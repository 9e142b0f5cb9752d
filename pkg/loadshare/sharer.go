package loadshare

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/loadshare/loadpb"
	"headhill.example/headhill/pkg/roster"
)

// Deps are the dependencies of a Sharer.
type Deps struct {
	Box      string
	Hall     string
	Port     *datagram.Port
	Balancer *balancer.Balancer
	// Entries returns the roster, including this box.
	Entries func() []roster.Entry
	Logger  log.Logger
	// Usages tracks the usage of organisations. If it is nil, this box shares none of its own.
	Usages UsageTracker
	// RefreshInterval is how often unchanged loads are resent. Zero means
	// defaultRefreshInterval.
	RefreshInterval time.Duration
}

// Sharer reports the load of this box and, on a relay, sums the reports of other boxes.
// All state is owned by the goroutine that executes Run.
type Sharer struct {
	Deps
	changed chan struct{}
	inbox   chan message

	relayHealth relayHealth
	// round is the number of the last round that this box sent.
	round uint32
	// rounds holds the latest round of each sender.
	rounds rounds
	// boxReports holds the reports of the boxes of this hall, hallSummaries the summaries of
	// the other halls.
	boxReports    workTable
	hallSummaries workTable
	// hall is the state of the summaries to the boxes of this hall, otherHalls that of the
	// summaries to the relays of other halls. Both are used only on a relay.
	hall       destination
	otherHalls destination
	// reported is the last report of this box.
	reported work
	// statisticsRound is the round of the statistics that this box sends, statisticsRounds has the last of each sender.
	statisticsRound  uint32
	statisticsRounds statisticsRounds
	// timings are the statistics of servers.
	timings timingExchange
	usages  usageExchange
	// links are those to the neighbours of this box in the tree of a large hall.
	links treeLinks
	// cachedMembers and cachedTree are derived from cachedEntries.
	cachedEntries []roster.Entry
	cachedMembers []member
	// cachedTree is that of this hall, if hasTree is set.
	cachedTree tree
	hasTree    bool
	// lastReportEmpty is set if the last report was empty.
	lastReportEmpty bool
}

// message is a received message. One of loads, placements and statistics is set.
type message struct {
	kind       string
	from       string
	received   time.Time
	loads      *loadpb.Loads
	placements *loadpb.Placements
	statistics *loadpb.Statistics
}

// inboxCapacity limits the pending messages. Further ones are dropped.
const inboxCapacity = 256

// New returns a Sharer and registers its handlers on the port and the balancer.
func New(d Deps) *Sharer {
	s := &Sharer{
		Deps: d, changed: make(chan struct{}, 1), inbox: make(chan message, inboxCapacity), round: rand.Uint32(),
		relayHealth: newRelayHealth(), boxReports: make(workTable), hallSummaries: make(workTable), rounds: make(rounds),
		statisticsRound: rand.Uint32(), statisticsRounds: make(statisticsRounds),
		timings: newTimingExchange(),
		usages:  newUsageExchange(),
		links:   newTreeLinks(),
	}
	for _, kind := range []string{kindReport, kindSummary} {
		d.Port.Handle(kind, func(m datagram.Message) {
			body := &loadpb.Loads{}
			s.receive(m, body, message{kind: kind, loads: body})
		})
	}
	for _, kind := range []string{kindPlacementReport, kindPlacementRelay} {
		d.Port.Handle(kind, func(m datagram.Message) {
			body := &loadpb.Placements{}
			s.receive(m, body, message{kind: kind, placements: body})
		})
	}
	for _, kind := range []string{kindStatisticsReport, kindStatisticsSummary} {
		d.Port.Handle(kind, func(m datagram.Message) {
			body := &loadpb.Statistics{}
			s.receive(m, body, message{kind: kind, statistics: body})
		})
	}
	d.Balancer.OnChange(func() {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	})
	return s
}

// receive decodes a message and queues it for Run.
func (s *Sharer) receive(m datagram.Message, body proto.Message, in message) {
	if err := proto.Unmarshal(m.Body, body); err != nil {
		_ = level.Debug(s.Logger).Log("msg", "load message dropped", "from", m.Box, "err", err)
		return
	}
	in.from, in.received = m.Box, m.Received
	select {
	case s.inbox <- in:
	default:
	}
}

// Run shares loads until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	ticker := time.NewTicker(cmp.Or(s.RefreshInterval, defaultRefreshInterval))
	defer ticker.Stop()
	summary := time.NewTimer(0)
	defer summary.Stop()
	for {
		summary.Stop()
		if wait, due := s.nextSummary(clock.Now()); due {
			summary.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.boxReports.evictStale(clock.Now())
			s.hallSummaries.evictStale(clock.Now())
			s.rounds.evictStale(clock.Now())
			s.refreshSummaries()
			s.report(clock.Now())
			s.reportStatistics(clock.Now())
		case <-s.changed:
			s.collect(ctx, reportDelay)
			s.report(clock.Now())
		case in := <-s.inbox:
			s.handle(in)
		case <-summary.C:
			s.sendSummaries(clock.Now())
		}
	}
}

// collect handles messages for the given delay, so that changes are sent in batches.
func (s *Sharer) collect(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(max(delay, 0))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case in := <-s.inbox:
			s.handle(in)
		}
	}
}

// handle processes one received message.
func (s *Sharer) handle(in message) {
	if in.placements != nil {
		s.handlePlacements(in)
		return
	}
	if in.statistics != nil {
		s.handleStatistics(in)
		return
	}
	// Reports and summaries of a box are rounds of one count.
	all, complete := s.rounds.add(in.kind+" "+in.from, in.loads, in.received)
	switch {
	case !complete:
	case in.kind == kindReport:
		s.recordWork(in.from, all, in.received)
	case in.loads.GetHall() == s.Hall:
		s.relayHealth.recordSummary(in.from)
		delete(s.links.unanswered, in.from)
		s.setPeerLoads(all, in.received)
	default:
		s.hallSummaries[in.loads.GetHall()] = reportedWork{work: all, receivedAt: in.received}
		s.hall.dirty = true
	}
}

// handlePlacements records received placements. A relay forwards placements of its own hall
// to all halls, and those of other halls to its own hall.
func (s *Sharer) handlePlacements(in message) {
	list := decodePlacements(in.placements.GetPlacements())
	if in.from != s.Box {
		s.Balancer.RecordPlacements(list, in.received)
	}
	switch {
	case in.kind == kindPlacementReport:
		s.relayPlacements(list)
	case in.placements.GetHall() != s.Hall:
		s.hall.addPlacements(list)
	}
}

// report sends the load of this box to the relays of its hall. An empty report is sent once.
func (s *Sharer) report(now time.Time) {
	r := s.Balancer.Report(now)
	empty := len(r.Loads) == 0 && len(r.Placements) == 0 && len(r.Signals) == 0
	if empty && s.lastReportEmpty {
		return
	}
	s.lastReportEmpty, s.reported = empty, work{loads: r.Loads, demands: r.Demands, signals: r.Signals}
	relays := s.relayHealth.relays(s.members(), s.Hall, now)
	var others []*net.UDPAddr
	for _, m := range relays {
		if m.box == s.Box {
			s.recordWork(s.Box, s.reported, now)
			s.relayPlacements(r.Placements)
			continue
		}
		s.relayHealth.recordReport(m.box, now)
		others = append(others, m.address)
	}
	s.sendRound(kindReport, s.reported, others)
	s.sendPlacements(kindPlacementReport, r.Placements, others)
}

// recordWork records the report of a box of this hall and schedules summaries to all halls.
func (s *Sharer) recordWork(box string, w work, at time.Time) {
	s.boxReports[box] = reportedWork{work: w, receivedAt: at}
	s.hall.dirty, s.otherHalls.dirty = true, true
}

// relayPlacements queues placements of a box of this hall for all halls.
func (s *Sharer) relayPlacements(list []balancer.Placement) {
	s.hall.addPlacements(list)
	s.otherHalls.addPlacements(list)
}

// sendRound sends a round of loads. It returns the bytes sent.
func (s *Sharer) sendRound(kind string, all work, to []*net.UDPAddr) (sent int) {
	s.round++
	for _, m := range splitRound(s.Hall, s.round, all, clock.Now()) {
		sent += s.send(kind, m, to)
	}
	return sent
}

// sendPlacements sends placements. It returns the bytes sent.
func (s *Sharer) sendPlacements(kind string, list []balancer.Placement, to []*net.UDPAddr) (sent int) {
	for chunk := range slices.Chunk(list, maxPlacementsPerDatagram) {
		sent += s.send(kind, encodePlacements(s.Hall, chunk), to)
	}
	return sent
}

// send sends a message to some boxes. It returns the bytes sent.
func (s *Sharer) send(kind string, m proto.Message, to []*net.UDPAddr) int {
	body, err := proto.Marshal(m)
	if err != nil {
		_ = level.Warn(s.Logger).Log("msg", "load message not sent: encoding failed", "kind", kind, "err", err)
		return 0
	}
	s.Port.Send(kind, body, to...)
	return len(body) * len(to)
}

// setPeerLoads passes the total load to the balancer, minus the last report of this box.
func (s *Sharer) setPeerLoads(total work, now time.Time) {
	peers := total.without(s.reported)
	s.Balancer.SetPeerLoads(peers.loads, peers.demands, now)
	s.Balancer.Signals().MergeRemote(total.signals, now)
}

// members returns the members of the roster, cached until the roster changes.
func (s *Sharer) members() []member {
	entries := s.Entries()
	if len(entries) == 0 || len(s.cachedEntries) == len(entries) && &s.cachedEntries[0] == &entries[0] {
		return s.cachedMembers
	}
	s.cachedEntries, s.cachedMembers = entries, membersOf(entries)
	s.cachedTree, s.hasTree = newTree(s.cachedMembers, s.Hall)
	return s.cachedMembers
}
