package lease

import (
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/lease/leasepb"
)

// kind marks the datagrams of this package.
const kind = "lease"

// fence is this box's own, zero if it does not hold the lease.
func (k *Manager) fence() uint64 {
	h, _ := k.Holding()
	return h.Fence
}

// tell tells the other boxes of a record.
func (k *Manager) tell(s VersionedRecord) {
	m := &leasepb.Lease{Holder: s.Holder, Incarnation: s.Incarnation, Fence: s.Fence, Revision: s.Revision}
	if s.Holder == k.Box {
		m.Fence, m.Told = max(s.Fence, k.fence()), k.Announcement()
	}
	body, err := proto.Marshal(m)
	if err != nil || !k.Port.Send(kind, body, k.Peers()...) {
		_ = level.Warn(k.Logger).Log("msg", "lease not told", "err", err, "bytes", len(body), "outcome", "others read it")
	}
}

// hear takes a datagram in.
func (k *Manager) hear(d datagram.Message) {
	m := &leasepb.Lease{}
	if err := proto.Unmarshal(d.Body, m); err != nil {
		_ = level.Debug(k.Logger).Log("msg", "lease message dropped", "from", d.Box, "err", err)
		return
	}
	s := VersionedRecord{Revision: m.GetRevision(), Record: Record{Holder: m.GetHolder(), Incarnation: m.GetIncarnation(), Fence: m.GetFence()}}
	k.mu.Lock()
	before := k.elector.Latest().Holder
	k.elector.ObserveAnnounced(s, d.Received)
	changed := before != k.elector.Latest().Holder
	k.mu.Unlock()
	if d.Box == m.GetHolder() && len(m.GetTold()) > 0 {
		k.OnAnnouncement(m.GetTold(), d.Received)
	}
	if changed {
		k.OnHolderChange(s.Holder)
		_ = level.Debug(k.Logger).Log("msg", "lease heard", "holder", s.Holder, "fence", s.Fence, "revision", s.Revision)
		k.Wake()
	}
}
