package box

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/objlog"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/peer/peerpb"
	"headhill.example/headhill/pkg/shard"
)

const (
	// minRosterInterval and rosterIntervalPerBox determine the interval between reads of the
	// box list: the whole fleet reads it at most 100 times a second.
	minRosterInterval    = 2 * time.Second
	rosterIntervalPerBox = 10 * time.Millisecond
	// pullInterval is the interval between checks for a peer with a newer configuration.
	pullInterval = 100 * time.Millisecond
	pullTimeout  = 5 * time.Second
	seedTimeout  = 2 * time.Second
)

// followRoster reads the box list periodically.
func (b *Box) followRoster() {
	for b.ctx.Err() == nil {
		boxes, err := b.platform.Boxes(b.ctx)
		if err == nil {
			b.setRoster(boxes)
		} else {
			level.Debug(b.logger).Log("msg", "cannot read box list, keeping the previous one", "err", err)
			b.discoverFromPeers()
		}
		interval := max(minRosterInterval, time.Duration(len(boxes))*rosterIntervalPerBox)
		pause.For(b.ctx, interval/2+rand.N(interval))
	}
}

func (b *Box) setRoster(boxes []objectstore.Box) {
	b.tracker.SetRoster(time.Now(), boxes)
	b.platform.SetBudget(b.settings.Platform.CallBudget.Share(len(boxes)))
}

// discoverFromPeers discovers boxes during an outage of the platform: from a live peer, or
// from the seeds in the settings if no other box is live.
func (b *Box) discoverFromPeers() {
	v := b.tracker.View()
	var live []string
	for i := range v.Boxes {
		if x := &v.Boxes[i]; x.Live && x.ID != v.Self {
			live = append(live, x.ID)
		}
	}
	if len(live) == 0 {
		b.discoverFromSeeds()
		return
	}
	id := live[rand.N(len(live))]
	c, ok := b.links.Client(id)
	if !ok {
		return
	}
	if err := b.fetchRoster(c); err != nil {
		level.Debug(b.logger).Log("msg", "cannot fetch roster from peer", "peer", id, "err", err)
	}
}

// discoverFromSeeds queries the seeds in order until one responds.
func (b *Box) discoverFromSeeds() {
	for _, address := range b.settings.Peers.Seeds {
		if address == b.PeerAddr() {
			continue
		}
		if err := b.discoverFromSeed(address); err != nil {
			level.Debug(b.logger).Log("msg", "cannot discover boxes from seed", "address", address, "err", err)
			continue
		}
		return
	}
}

func (b *Box) discoverFromSeed(address string) error {
	conn, err := b.credentials.DialSeed(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	c := peerpb.NewPeerClient(conn)
	if err := b.fetchRoster(c); err != nil {
		return err
	}
	return b.pull(c)
}

// fetchRoster adds the boxes known to a peer.
func (b *Box) fetchRoster(c peerpb.PeerClient) error {
	ctx, cancel := context.WithTimeout(b.ctx, seedTimeout)
	defer cancel()
	st, err := c.Status(ctx, &peerpb.StatusRequest{}, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	boxes := make([]objectstore.Box, 0, len(st.GetRoster()))
	for _, e := range st.GetRoster() {
		boxes = append(boxes, objectstore.Box{
			ID: e.GetId(), Hall: e.GetHall(), Region: e.GetRegion(), Peer: e.GetPeer(), State: e.GetState(),
		})
	}
	b.tracker.AddDiscovered(time.Now(), boxes)
	return nil
}

// followPeers pulls the configuration from a peer that has a newer one, and starts serving
// once a starting box has caught up.
func (b *Box) followPeers() {
	for b.ctx.Err() == nil {
		if box, g := b.tracker.HighestGeneration(); g > b.Generation() {
			b.pullFrom(box)
		}
		if !b.tracker.Serving() {
			b.serveWhenReady()
		}
		pause.For(b.ctx, pullInterval)
	}
}

func (b *Box) serveWhenReady() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping || !b.caughtUp() || !b.heardFromPeers() {
		return
	}
	b.tracker.SetServing(time.Now(), true)
	b.links.BroadcastHeartbeat()
	level.Info(b.logger).Log("msg", "ready", "generation", b.Generation())
}

// heardFromPeers reports whether all other boxes have sent a heartbeat or had enough time
// to do so. A starting box must not take over shards of boxes that it has not heard from.
func (b *Box) heardFromPeers() bool {
	if b.self.MonotonicNanos() > int64(membership.FailureTimeout) {
		return true
	}
	live, all := b.tracker.View().LiveCount()
	return all > 1 && live == all && b.tracker.HeardFromAll()
}

func (b *Box) pullFrom(box string) {
	c, ok := b.links.Client(box)
	if !ok {
		return
	}
	if err := b.pull(c); err != nil {
		level.Warn(b.logger).Log("msg", "cannot pull configuration from peer", "peer", box, "err", err)
	}
}

// pull applies the configuration entries that a peer has and this box lacks.
func (b *Box) pull(c peerpb.PeerClient) error {
	ctx, cancel := context.WithTimeout(b.ctx, pullTimeout)
	defer cancel()
	stream, err := c.PullConfig(ctx, &peerpb.PullConfigRequest{Generation: b.Generation()})
	if err != nil {
		return err
	}
	var parts [][]byte
	for {
		m, err := stream.Recv()
		if err == io.EOF {
			b.store.MarkLoaded()
			return nil
		}
		if err != nil {
			return err
		}
		if parts, err = b.applyPulled(m, parts); err != nil {
			return err
		}
	}
}

// applyPulled applies one message of a pull: a record, or a part of a snapshot.
func (b *Box) applyPulled(m *peerpb.PullConfigReply, parts [][]byte) ([][]byte, error) {
	if m.GetPart() == nil {
		return parts, b.store.ApplyEntry(config.Entry{
			Generation: m.GetGeneration(),
			Record:     objlog.Record{ID: m.GetRecordId(), Data: m.GetRecordData()},
		})
	}
	parts = append(parts, m.GetPart())
	if !m.GetLast() {
		return parts, nil
	}
	return nil, b.store.Restore(m.GetGeneration(), parts)
}

const (
	// minReplicas is the number of other boxes that must have a change before the operator
	// gets the response. After replicationTimeout the response is sent regardless, as the
	// change has already been accepted.
	minReplicas             = 2
	replicationTimeout      = 2 * time.Second
	replicationPollInterval = 5 * time.Millisecond
)

// awaitReplication waits until enough other boxes have a generation.
func (b *Box) awaitReplication(ctx context.Context, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	for ctx.Err() == nil {
		replicas, live := b.tracker.CountWithGeneration(generation)
		if replicas >= min(minReplicas, live) {
			return
		}
		pause.For(ctx, replicationPollInterval)
	}
}

// followView updates the links when the view or the configuration changes, and notifies
// peers of a new configuration immediately.
func (b *Box) followView() {
	for {
		view, conf := b.tracker.Changed(), b.store.Changed()
		b.updateLinks()
		b.links.BroadcastHeartbeat()
		select {
		case <-b.ctx.Done():
			return
		case <-view:
		case <-conf:
		}
	}
}

func (b *Box) updateLinks() {
	v := b.tracker.View()
	targets := make(map[string]string)
	for _, id := range v.LinkTargets(b.shardKeys()) {
		if x, ok := v.Box(id); ok && x.Peer != "" {
			targets[id] = x.Peer
		}
	}
	b.links.SetTargets(targets)
}

// shardKeys returns the keys of the shards that this box reserves with. Claim coordinators
// are called without a link.
func (b *Box) shardKeys() []membership.Key {
	st, v := b.store.Current(), b.tracker.View()
	var keys []membership.Key
	for _, svc := range st.Services() {
		for _, sh := range shard.Eligible(st, v, svc.Name, b.settings.Box.Hall) {
			keys = append(keys, membership.Key{Name: sh.ID, Hall: sh.Hall})
		}
	}
	return keys
}
