package peer

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/peer/peerpb"
)

// Instance names one run of a box.
type Instance struct {
	Box string
	// Incarnation is new at each start.
	Incarnation string
}

// Key is the origin in one word, as the scheduler's request IDs carry it.
func (o Instance) Key() string { return o.Box + "/" + o.Incarnation }

// Self is what this box says in its heartbeats.
type Self struct {
	Instance
	Tracker *membership.Tracker
	// Generation returns the configuration generation in force.
	Generation func() uint64

	started time.Time
}

// NewSelf returns the identity of this run of a box.
func NewSelf(box string, t *membership.Tracker, generation func() uint64) *Self {
	return &Self{
		Instance:   Instance{Box: box, Incarnation: randomID()},
		Tracker:    t,
		Generation: generation,
		started:    time.Now(),
	}
}

func randomID() string {
	var b [8]byte
	// crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// MonotonicNanos is the box's monotonic clock in nanoseconds, as sent in heartbeats.
func (s *Self) MonotonicNanos() int64 { return int64(time.Since(s.started)) }

func (s *Self) heartbeat() *peerpb.Heartbeat {
	b := s.Tracker.Self()
	return &peerpb.Heartbeat{
		Box:         s.Box,
		Incarnation: s.Incarnation,
		Generation:  s.Generation(),
		Stopping:    b.Stopping || b.Unlisted,
		SentNanos:   s.MonotonicNanos(),
		Hall:        b.Hall,
		Region:      b.Region,
		Peer:        b.Peer,
	}
}

// heard passes a peer's heartbeat to the tracker.
func (s *Self) heard(h *peerpb.Heartbeat) {
	s.Tracker.RecordHeartbeat(time.Now(), membership.Heartbeat{
		Box:         h.GetBox(),
		Incarnation: h.GetIncarnation(),
		Generation:  h.GetGeneration(),
		Stopping:    h.GetStopping(),
		Hall:        h.GetHall(),
		Region:      h.GetRegion(),
		Peer:        h.GetPeer(),
	})
}
