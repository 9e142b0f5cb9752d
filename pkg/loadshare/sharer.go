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

// Deps are what a Sharer is built on.
type Deps struct {
	Box      string
	Hall     string
	Port     *datagram.Port
	Balancer *balancer.Balancer
	// Entries lists the boxes, this one included.
	Entries func() []roster.Entry
	Logger  log.Logger
	// RefreshInterval is how often loads are sent again though nothing has changed; zero stands for
	// refreshDefault.
	RefreshInterval time.Duration
}

// Sharer reports this box's loads and, where it is a relay, adds up those of others.
// One goroutine holds all its state.
type Sharer struct {
	Deps
	changed chan struct{}
	inbox   chan message

	silence silence
	// round numbers the rounds that this box sends.
	round  uint32
	rounds rounds
	// boxes are the reports of this hall's boxes, halls the summaries of others'.
	boxes workTable
	halls workTable
	// hall are the other boxes of this hall, otherHalls the relays of other halls, as far
	// as this box is a relay.
	hall       audience
	otherHalls audience
	// reported is what this box reported last.
	reported work
	// known is worked out from entries.
	entries []roster.Entry
	known   []member
	// idle says that the last report held nothing.
	idle bool
}

// message is one that has arrived: loads or placements are set.
type message struct {
	kind       string
	from       string
	received   time.Time
	loads      *loadpb.Loads
	placements *loadpb.Placements
}

// inboxMost bounds the messages that wait; more are dropped.
const inboxMost = 256

// New returns a sharer that hears the port's messages from now on.
func New(d Deps) *Sharer {
	s := &Sharer{
		Deps: d, changed: make(chan struct{}, 1), inbox: make(chan message, inboxMost), round: rand.Uint32(),
		silence: newSilence(), boxes: make(workTable), halls: make(workTable), rounds: make(rounds),
	}
	for _, kind := range []string{kindReport, kindSummary} {
		d.Port.Handle(kind, func(m datagram.Message) {
			body := &loadpb.Loads{}
			s.receive(m, body, message{kind: kind, loads: body})
		})
	}
	for _, kind := range []string{kindPlaced, kindPassed} {
		d.Port.Handle(kind, func(m datagram.Message) {
			body := &loadpb.Placements{}
			s.receive(m, body, message{kind: kind, placements: body})
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

// receive decodes a message and hands it to the sharer's goroutine.
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
	ticker := time.NewTicker(cmp.Or(s.RefreshInterval, refreshDefault))
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
			s.boxes.forget(clock.Now())
			s.halls.forget(clock.Now())
			s.refreshSummaries()
			s.report(clock.Now())
		case <-s.changed:
			s.gather(ctx, reportPause)
			s.report(clock.Now())
		case in := <-s.inbox:
			s.take(in)
		case <-summary.C:
			s.summarise(clock.Now())
		}
	}
}

// gather waits a moment, so that what comes close together goes out together.
func (s *Sharer) gather(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(max(pause, 0))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case in := <-s.inbox:
			s.take(in)
		}
	}
}

// take takes one message in.
func (s *Sharer) take(in message) {
	if in.placements != nil {
		s.place(in)
		return
	}
	all, whole := s.rounds.add(in.from, in.loads, in.received)
	switch {
	case !whole:
	case in.kind == kindReport:
		s.noteWork(in.from, all, in.received)
	case in.loads.GetHall() == s.Hall:
		s.silence.heard(in.from)
		s.setOthers(all, in.received)
	default:
		s.halls[in.loads.GetHall()] = reportedWork{work: all, heard: in.received}
		s.hall.changed = true
	}
}

// place takes placements in. A relay passes on to its hall what it hears from there
// or from another hall, and to other halls what it hears from its own.
func (s *Sharer) place(in message) {
	list := placementsOf(in.placements.GetPlacements())
	if in.from != s.Box {
		s.Balancer.RecordPlacements(list, in.received)
	}
	switch {
	case in.kind == kindPlaced:
		s.notePlacements(list)
	case in.placements.GetHall() != s.Hall:
		s.hall.add(list)
	}
}

// report sends this hall's relays what this box does. That it does nothing is sent once.
func (s *Sharer) report(now time.Time) {
	r := s.Balancer.Report(now)
	empty := len(r.Loads) == 0 && len(r.Placements) == 0 && len(r.Signals) == 0
	if empty && s.idle {
		return
	}
	s.idle, s.reported = empty, work{loads: r.Loads, demands: r.Demands, signals: r.Signals}
	relays := s.silence.relays(s.members(), s.Hall, now)
	var others []*net.UDPAddr
	for _, m := range relays {
		if m.box == s.Box {
			s.noteWork(s.Box, s.reported, now)
			s.notePlacements(r.Placements)
			continue
		}
		s.silence.reported(m.box, now)
		others = append(others, m.address)
	}
	s.sendWork(kindReport, s.reported, others)
	s.sendPlacements(kindPlaced, r.Placements, others)
}

// noteWork notes what a box of this hall does, for the hall and for the other halls.
func (s *Sharer) noteWork(box string, w work, at time.Time) {
	s.boxes[box] = reportedWork{work: w, heard: at}
	s.hall.changed, s.otherHalls.changed = true, true
}

// notePlacements notes placements of a box of this hall, for the hall and for the others.
func (s *Sharer) notePlacements(list []balancer.Placement) {
	s.hall.add(list)
	s.otherHalls.add(list)
}

// sendWork sends a round of loads. It returns the bytes sent.
func (s *Sharer) sendWork(kind string, all work, to []*net.UDPAddr) (sent int) {
	s.round++
	for _, m := range split(s.Hall, s.round, all, clock.Now()) {
		sent += s.send(kind, m, to)
	}
	return sent
}

// sendPlacements sends placements. It returns the bytes sent.
func (s *Sharer) sendPlacements(kind string, list []balancer.Placement, to []*net.UDPAddr) (sent int) {
	for chunk := range slices.Chunk(list, placementsMost) {
		sent += s.send(kind, placementsMessage(s.Hall, chunk), to)
	}
	return sent
}

// send sends a message to some boxes. It returns the bytes sent.
func (s *Sharer) send(kind string, m proto.Message, to []*net.UDPAddr) int {
	body, err := proto.Marshal(m)
	if err != nil {
		_ = level.Warn(s.Logger).Log("msg", "load message not sent: it can't be encoded", "kind", kind, "err", err)
		return 0
	}
	s.Port.Send(kind, body, to...)
	return len(body) * len(to)
}

// setOthers hands the balancer what all boxes do, less what this one has reported of
// itself.
func (s *Sharer) setOthers(total work, now time.Time) {
	others := total.without(s.reported)
	s.Balancer.SetPeerLoads(others.loads, others.demands, now)
	s.Balancer.Signals().MergeRemote(total.signals, now)
}

// members are the boxes of the roster, worked out anew when that has changed.
func (s *Sharer) members() []member {
	entries := s.Entries()
	if len(entries) == 0 || len(s.entries) == len(entries) && &s.entries[0] == &entries[0] {
		return s.known
	}
	s.entries, s.known = entries, membersOf(entries)
	return s.known
}
