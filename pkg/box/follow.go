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
	// rosterLeast and rosterPerBox space the readings of the box list: the
	// fleet reads it at most 100 times a second, whatever its size.
	rosterLeast  = 2 * time.Second
	rosterPerBox = 10 * time.Millisecond
	// pullEvery is how often a box looks whether a peer is ahead of it.
	pullEvery   = 100 * time.Millisecond
	pullTimeout = 5 * time.Second
	seedTimeout = 2 * time.Second
)

// followRoster keeps the box list up.
func (b *Box) followRoster() {
	for b.ctx.Err() == nil {
		boxes, err := b.platform.Boxes(b.ctx)
		if err == nil {
			b.setRoster(boxes)
		} else {
			level.Debug(b.logger).Log("msg", "box list can't be read; the last one stays", "err", err)
			b.askPeers()
		}
		every := max(rosterLeast, time.Duration(len(boxes))*rosterPerBox)
		pause.For(b.ctx, every/2+rand.N(every))
	}
}

func (b *Box) setRoster(boxes []objectstore.Box) {
	b.tracker.SetRoster(time.Now(), boxes)
	b.platform.SetBudget(b.settings.Platform.CallBudget.Share(len(boxes)))
}

// askPeers learns of boxes while the platform is away: from a live peer, or from
// the seeds of the settings as long as no other box is known.
func (b *Box) askPeers() {
	v := b.tracker.View()
	var live []string
	for i := range v.Boxes {
		if x := &v.Boxes[i]; x.Live && x.ID != v.Self {
			live = append(live, x.ID)
		}
	}
	if len(live) == 0 {
		b.askSeeds()
		return
	}
	id := live[rand.N(len(live))]
	c, ok := b.links.Client(id)
	if !ok {
		return
	}
	if err := b.learn(c); err != nil {
		level.Debug(b.logger).Log("msg", "peer does not tell of other boxes", "peer", id, "err", err)
	}
}

// askSeeds asks one seed after the other until one answers.
func (b *Box) askSeeds() {
	for _, address := range b.settings.Peers.Seeds {
		if address == b.PeerAddr() {
			continue
		}
		if err := b.askSeed(address); err != nil {
			level.Debug(b.logger).Log("msg", "seed does not answer", "address", address, "err", err)
			continue
		}
		return
	}
}

func (b *Box) askSeed(address string) error {
	conn, err := b.security.DialSeed(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	c := peerpb.NewPeerClient(conn)
	if err := b.learn(c); err != nil {
		return err
	}
	return b.pull(c)
}

// learn takes in the boxes that a peer knows of.
func (b *Box) learn(c peerpb.PeerClient) error {
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

// followPeers pulls configuration from a peer that is ahead, and notes when a
// starting box has caught up.
func (b *Box) followPeers() {
	for b.ctx.Err() == nil {
		if box, g := b.tracker.HighestGeneration(); g > b.Generation() {
			b.pullFrom(box)
		}
		if !b.tracker.Serving() {
			b.serveWhenReady()
		}
		pause.For(b.ctx, pullEvery)
	}
}

func (b *Box) serveWhenReady() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping || !b.caughtUp() || !b.heardPeers() {
		return
	}
	b.tracker.SetServing(time.Now(), true)
	b.links.BroadcastHeartbeat()
	level.Info(b.logger).Log("msg", "ready", "generation", b.Generation())
}

// heardPeers tells whether every box that this one links to has answered or had
// the time to, so that a starting box does not take shards over from boxes it
// just has not heard yet.
func (b *Box) heardPeers() bool {
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
		level.Warn(b.logger).Log("msg", "pulling configuration from a peer failed", "peer", box, "err", err)
	}
}

// pull takes over what a peer has beyond this box.
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
		if parts, err = b.takePulled(m, parts); err != nil {
			return err
		}
	}
}

// takePulled handles one message of a pull: a record, or a part of a whole copy.
func (b *Box) takePulled(m *peerpb.PullConfigReply, parts [][]byte) ([][]byte, error) {
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
	// spreadTo is the number of other boxes that have a change before its operator
	// is told, spreadWithin the longest wait for them: the change is accepted
	// either way.
	spreadTo     = 2
	spreadWithin = 2 * time.Second
	spreadCheck  = 5 * time.Millisecond
)

// spread waits until enough other boxes have a generation.
func (b *Box) spread(ctx context.Context, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, spreadWithin)
	defer cancel()
	for ctx.Err() == nil {
		have, live := b.tracker.CountWithGeneration(generation)
		if have >= min(spreadTo, live) {
			return
		}
		pause.For(ctx, spreadCheck)
	}
}

// followView keeps the links to the boxes that matter, and tells peers of a new
// configuration at once.
func (b *Box) followView() {
	for {
		view, conf := b.tracker.Changed(), b.store.Changed()
		b.retarget()
		b.links.BroadcastHeartbeat()
		select {
		case <-b.ctx.Done():
			return
		case <-view:
		case <-conf:
		}
	}
}

func (b *Box) retarget() {
	v := b.tracker.View()
	targets := make(map[string]string)
	for _, id := range v.LinkTargets(b.keys()) {
		if x, ok := v.Box(id); ok && x.Peer != "" {
			targets[id] = x.Peer
		}
	}
	b.links.SetTargets(targets)
}

// keys names the shards whose owners this box reserves with. Claim coordinators are
// called without a link.
func (b *Box) keys() []membership.Key {
	st, v := b.store.Current(), b.tracker.View()
	var keys []membership.Key
	for _, svc := range st.Services() {
		for _, sh := range shard.Eligible(st, v, svc.Name, b.settings.Box.Hall) {
			keys = append(keys, membership.Key{Name: sh.ID, Hall: sh.Hall})
		}
	}
	return keys
}
