package lease

import (
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/lease/leasepb"
	"headhill.example/headhill/pkg/storerev"
)

// datagramKind is the kind of lease announcements.
const datagramKind = "lease"

// heldFence returns the fencing token of this box, or zero if it does not hold the lease.
func (m *Manager) heldFence() uint64 {
	h, _ := m.Holding()
	return h.Fence
}

// announce sends a record to the other boxes.
func (m *Manager) announce(s VersionedRecord) {
	msg := &leasepb.Lease{Holder: s.Holder, Incarnation: s.Incarnation, Fence: s.Fence, Revision: s.Revision.Number(), Era: s.Revision.Era(), WrittenEra: s.Era}
	if s.Holder == m.Box {
		msg.Fence, msg.Told = max(s.Fence, m.heldFence()), m.Announcement()
		msg.Progress = m.Progress()
	}
	body, err := proto.Marshal(msg)
	if err != nil || !m.Port.Send(datagramKind, body, m.Peers()...) {
		_ = level.Warn(m.Logger).Log("msg", "could not announce lease record", "err", err, "bytes", len(body), "outcome", "peers read it from the store")
	}
}

// handleAnnouncement processes an announcement of another box.
func (m *Manager) handleAnnouncement(d datagram.Message) {
	msg := &leasepb.Lease{}
	if err := proto.Unmarshal(d.Body, msg); err != nil {
		_ = level.Debug(m.Logger).Log("msg", "dropped malformed lease announcement", "from", d.Box, "err", err)
		return
	}
	revision, err := storerev.New(msg.GetEra(), msg.GetRevision())
	if err != nil {
		_ = level.Debug(m.Logger).Log("msg", "dropped malformed lease announcement", "from", d.Box, "err", err)
		return
	}
	s := VersionedRecord{Revision: revision, Record: Record{Holder: msg.GetHolder(), Incarnation: msg.GetIncarnation(), Fence: msg.GetFence(), Era: msg.GetWrittenEra()}}
	m.mu.Lock()
	previous := m.elector.Latest().Holder
	late := s.Revision < m.elector.Latest().Revision
	m.elector.ObserveAnnounced(s, d.Received)
	changed := previous != m.elector.Latest().Holder
	m.mu.Unlock()
	if d.Box == msg.GetHolder() && len(msg.GetTold()) > 0 && !late {
		m.OnAnnouncement(msg.GetTold(), d.Received)
	}
	if d.Box == msg.GetHolder() && msg.GetProgress() > 0 {
		m.OnProgress(msg.GetProgress())
	}
	if changed {
		m.OnHolderChange(s.Holder)
		_ = level.Debug(m.Logger).Log("msg", "lease holder changed", "holder", s.Holder, "fence", s.Fence, "revision", s.Revision)
		m.Wake()
	}
}
