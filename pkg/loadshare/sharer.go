package loadshare

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/datagram"
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
}

// Sharer reports this box's loads and, where it is a relay, adds up those of others.
// One goroutine holds all its state.
type Sharer struct {
	Deps
	changed chan struct{}
	inbox   chan datagramIn

	silence silence
	// boxes are the reports of this hall's boxes, halls the summaries of others'.
	boxes loadTable
	halls loadTable
	// placements wait to be passed on to this hall, and to other halls.
	toHall, toHalls []balancer.Placement
	// told is what this box reported last.
	told map[string]balancer.Load
	// known is worked out from entries.
	entries []roster.Entry
	known   []member
	// summarised is when the last summary was sent.
	summarised time.Time
	// dirty says that a summary is due, idle that the last report held nothing.
	dirty bool
	idle  bool
}

// datagramIn is a message that has arrived: exactly one of the two is set.
type datagramIn struct {
	from     string
	received time.Time
	report   *report
	summary  *summary
}

// inboxMost bounds the messages that wait; more are dropped.
const inboxMost = 256

// New returns a sharer that hears the port's messages from now on.
func New(d Deps) *Sharer {
	s := &Sharer{
		Deps: d, changed: make(chan struct{}, 1), inbox: make(chan datagramIn, inboxMost),
		silence: newSilence(), boxes: make(loadTable), halls: make(loadTable),
	}
	d.Port.Handle(kindReport, func(m datagram.Message) { receive(s, m, func(in *datagramIn, r *report) { in.report = r }) })
	d.Port.Handle(kindSummary, func(m datagram.Message) { receive(s, m, func(in *datagramIn, r *summary) { in.summary = r }) })
	d.Balancer.OnChange(func() {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	})
	return s
}

// receive decodes a message and hands it to the sharer's goroutine.
func receive[T any](s *Sharer, m datagram.Message, set func(*datagramIn, *T)) {
	body := new(T)
	if err := json.Unmarshal(m.Body, body); err != nil {
		_ = level.Debug(s.Logger).Log("msg", "load message dropped", "from", m.Box, "err", err)
		return
	}
	in := datagramIn{from: m.Box, received: m.Received}
	set(&in, body)
	select {
	case s.inbox <- in:
	default:
	}
}

// Run shares loads until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	ticker := time.NewTicker(refresh)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.boxes.forget(time.Now())
			s.halls.forget(time.Now())
			s.dirty = len(s.boxes) > 0
			s.report(time.Now())
		case <-s.changed:
			s.gather(ctx, reportPause)
			s.report(time.Now())
		case in := <-s.inbox:
			s.take(in)
		}
		if s.dirty {
			s.gather(ctx, summaryPause-time.Since(s.summarised))
			s.summarise(time.Now())
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
func (s *Sharer) take(in datagramIn) {
	if in.report != nil {
		s.boxes[in.from] = toldLoads{loads: in.report.Loads, heard: in.received}
		s.place(in.from, in.report.Placements, true)
		s.dirty = true
		return
	}
	if in.summary.Hall == s.Hall {
		s.silence.heard(in.from)
		s.setOthers(in.summary.Loads, in.received)
		s.Balancer.NotePlacements(in.summary.Placements, in.received)
		return
	}
	s.halls[in.summary.Hall] = toldLoads{loads: in.summary.Loads, heard: in.received}
	s.place(in.from, in.summary.Placements, false)
	s.dirty = true
}

// place takes placements in and keeps them to be passed on. Those of this hall's
// boxes go to other halls too.
func (s *Sharer) place(from string, list []balancer.Placement, own bool) {
	if from != s.Box {
		s.Balancer.NotePlacements(list, time.Now())
	}
	s.toHall = append(s.toHall, list...)
	if own {
		s.toHalls = append(s.toHalls, list...)
	}
}

// report tells this hall's relays what this box does. Nothing is told twice in a row.
func (s *Sharer) report(now time.Time) {
	r := s.Balancer.Report(now)
	empty := len(r.Loads) == 0 && len(r.Placements) == 0
	if empty && s.idle {
		return
	}
	s.idle = empty
	s.told = r.Loads
	relays := s.silence.relays(s.members(), s.Hall, now)
	for first := true; first || len(r.Placements) > 0; first = false {
		n := min(len(r.Placements), placementsMost)
		s.tellRelays(relays, report{Loads: r.Loads, Placements: r.Placements[:n]}, now)
		r.Placements = r.Placements[n:]
	}
}

func (s *Sharer) tellRelays(relays []member, r report, now time.Time) {
	for _, m := range relays {
		if m.box == s.Box {
			s.take(datagramIn{from: s.Box, received: now, report: &r})
			continue
		}
		s.silence.told(m.box, now)
		s.Port.Send(kindReport, r, m.address)
	}
}

// summarise tells the boxes of this hall what all do, and the relays of other halls
// what this hall does.
func (s *Sharer) summarise(now time.Time) {
	s.dirty, s.summarised = false, now
	members := s.members()
	own := s.boxes.sum(now)
	if len(s.boxes) > 0 {
		s.send(s.otherRelays(members, now), own, s.toHalls)
	}
	add(own, s.halls.sum(now))
	s.setOthers(own, now)
	s.send(s.sameHall(members), own, s.toHall)
	s.toHall, s.toHalls = nil, nil
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

// send sends a summary, in several datagrams if it has many placements.
func (s *Sharer) send(to []*net.UDPAddr, loads map[string]balancer.Load, placements []balancer.Placement) {
	for first := true; first || len(placements) > 0; first = false {
		n := min(len(placements), placementsMost)
		s.Port.Send(kindSummary, summary{Hall: s.Hall, Loads: loads, Placements: placements[:n]}, to...)
		placements = placements[n:]
	}
}

// setOthers hands the balancer what all boxes do, less what this one has told of
// itself.
func (s *Sharer) setOthers(total map[string]balancer.Load, now time.Time) {
	s.Balancer.SetOthers(without(total, s.told), now)
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
