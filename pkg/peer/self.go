package peer

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/peer/peerpb"
)

// Instance identifies one run of a box.
type Instance struct {
	Box string
	// Incarnation changes at each start.
	Incarnation string
}

// Key returns the instance as a string, as used in the scheduler's request IDs.
func (o Instance) Key() string { return o.Box + "/" + o.Incarnation }

// Self is the identity and state that this box sends in its heartbeats.
type Self struct {
	Instance
	Tracker *membership.Tracker
	// Generation returns the configuration generation in force.
	Generation func() uint64

	started time.Time
}

// NewSelf returns the Self of a new run of a box.
func NewSelf(box string, t *membership.Tracker, generation func() uint64) *Self {
	return &Self{
		Instance:   Instance{Box: box, Incarnation: newIncarnation()},
		Tracker:    t,
		Generation: generation,
		started:    time.Now(),
	}
}

func newIncarnation() string {
	var b [8]byte
	// crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// MonotonicNanos returns the nanoseconds since the box started, as sent in heartbeats.
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

// recordHeartbeat passes a peer's heartbeat to the tracker.
func (s *Self) recordHeartbeat(h *peerpb.Heartbeat) {
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
