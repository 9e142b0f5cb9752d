package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/peer"
	"headhill.example/headhill/pkg/peer/peerpb"
	"headhill.example/headhill/pkg/scheduler"
)

const (
	tickInterval = 25 * time.Millisecond
	// LoadReportInterval is how often an owner polls its servers for their load.
	LoadReportInterval = 500 * time.Millisecond
)

// Prober polls a backend server for its load.
type Prober interface {
	Probe(ctx context.Context, s config.Server) (scheduler.LoadReport, error)
}

// Runner runs the schedulers of the shards that this box owns.
type Runner struct {
	self    *peer.Self
	store   *config.Store
	tracker *membership.Tracker
	prober  Prober
	logger  log.Logger

	mu    sync.Mutex
	owned map[string]*ownedShard
	conns map[string]*peer.Conn // by origin key
}

// NewRunner returns a runner that owns no shards until Run is called.
func NewRunner(self *peer.Self, store *config.Store, tracker *membership.Tracker, prober Prober, logger log.Logger) *Runner {
	return &Runner{
		self:    self,
		store:   store,
		tracker: tracker,
		prober:  prober,
		logger:  logger,
		owned:   make(map[string]*ownedShard),
		conns:   make(map[string]*peer.Conn),
	}
}

// Run schedules the shards that the view assigns to this box until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.probeLoop(ctx) })
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		viewChanged, configChanged := r.tracker.Changed(), r.store.Changed()
		r.reconcile(time.Now())
		if !r.tickUntilChange(ctx, t, viewChanged, configChanged) {
			return
		}
	}
}

// tickUntilChange ticks the shards until the view or the configuration changes. It
// returns false when ctx has ended.
func (r *Runner) tickUntilChange(ctx context.Context, t *time.Ticker, viewChanged, configChanged <-chan struct{}) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-viewChanged:
			return true
		case <-configChanged:
			return true
		case now := <-t.C:
			r.tracker.ExpireHeartbeats(now)
			for _, o := range r.ownedShards() {
				r.sendDecisions(o, o.tick(now))
			}
		}
	}
}

// reconcile acquires and releases shards to match the view.
func (r *Runner) reconcile(now time.Time) {
	v, st := r.tracker.View(), r.store.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	assigned := make(map[string]bool)
	for _, sh := range st.Shards() {
		if v.Owner(sh.ID, sh.Hall) != r.self.Box {
			continue
		}
		assigned[sh.ID] = true
		if o := r.owned[sh.ID]; o != nil {
			o.configure(now, st, sh, v)
			continue
		}
		o := newOwnedShard(now, st, sh, v, rand.Uint64())
		r.owned[sh.ID] = o
		level.Info(r.logger).Log("msg", "shard ownership acquired", "shard", sh.ID, "epoch", o.epoch)
	}
	for id, o := range r.owned {
		if !assigned[id] {
			o.stop()
			delete(r.owned, id)
			level.Info(r.logger).Log("msg", "shard ownership released", "shard", id, "epoch", o.epoch)
		}
	}
}

func (r *Runner) ownedShards() []*ownedShard {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*ownedShard, 0, len(r.owned))
	for _, o := range r.owned {
		list = append(list, o)
	}
	return list
}

// HandleUp implements peer.UpHandler.
func (r *Runner) HandleUp(c *peer.Conn, m *peerpb.UpMessage) {
	id := messageShard(m)
	r.mu.Lock()
	r.conns[c.Key()] = c
	o := r.owned[id]
	r.mu.Unlock()
	if o == nil {
		c.Send(&peerpb.DownMessage{Kind: &peerpb.DownMessage_NotOwner{NotOwner: &peerpb.NotOwner{Shard: id}}})
		return
	}
	r.sendDecisions(o, o.handleMessage(time.Now(), c, m, r.liveBoxes()))
}

func messageShard(m *peerpb.UpMessage) string {
	switch k := m.GetKind().(type) {
	case *peerpb.UpMessage_Reserve:
		return k.Reserve.GetShard()
	case *peerpb.UpMessage_Cancel:
		return k.Cancel.GetShard()
	case *peerpb.UpMessage_Start:
		return k.Start.GetShard()
	case *peerpb.UpMessage_Finish:
		return k.Finish.GetShard()
	case *peerpb.UpMessage_Register:
		return k.Register.GetShard()
	}
	return ""
}

func (r *Runner) liveBoxes() []string {
	v := r.tracker.View()
	var ids []string
	for _, b := range v.Boxes {
		if b.Live {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// HandleLinkDown implements peer.UpHandler.
func (r *Runner) HandleLinkDown(c *peer.Conn) {
	r.mu.Lock()
	if r.conns[c.Key()] != c {
		// The box has already reconnected.
		r.mu.Unlock()
		return
	}
	delete(r.conns, c.Key())
	r.mu.Unlock()
	for _, o := range r.ownedShards() {
		o.handleDisconnect(time.Now(), c.Key())
	}
}

// sendDecisions sends grants and refusals to the boxes that made the requests.
func (r *Runner) sendDecisions(o *ownedShard, d scheduler.Decisions) {
	for _, g := range d.Grants {
		c := r.conn(g.ID.Box)
		if c == nil {
			continue
		}
		c.Send(&peerpb.DownMessage{Kind: &peerpb.DownMessage_Grant{Grant: &peerpb.Grant{
			Shard: o.id, Seq: g.ID.Seq, Server: g.Server, Epoch: o.epoch, EchoNanos: c.EchoNanos(),
		}}})
	}
	for _, f := range d.Refusals {
		c := r.conn(f.ID.Box)
		if c == nil {
			continue
		}
		c.Send(&peerpb.DownMessage{Kind: &peerpb.DownMessage_Refuse{Refuse: &peerpb.Refuse{
			Shard: o.id, Seq: f.ID.Seq, Reason: uint32(f.Reason), RetryAfterNanos: int64(f.RetryAfter),
		}}})
	}
}

func (r *Runner) conn(origin string) *peer.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[origin]
}

// probeLoop polls the servers of the owned shards for their load until ctx ends.
func (r *Runner) probeLoop(ctx context.Context) {
	t := time.NewTicker(LoadReportInterval)
	defer t.Stop()
	for {
		var wg conc.WaitGroup
		for _, o := range r.ownedShards() {
			wg.Go(func() { r.probeShard(ctx, o) })
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

const probeTimeout = time.Second

func (r *Runner) probeShard(ctx context.Context, o *ownedShard) {
	st := r.store.Current()
	sh, ok := st.Shard(o.id)
	if !ok {
		return
	}
	var wg conc.WaitGroup
	for _, name := range sh.Servers {
		s, _ := st.Server(name)
		wg.Go(func() { r.probe(ctx, o, s) })
	}
	wg.Wait()
}

func (r *Runner) probe(ctx context.Context, o *ownedShard, s config.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := r.prober.Probe(ctx, s)
	if err != nil {
		level.Debug(r.logger).Log("msg", "load probe failed", "server", s.Name, "err", err)
		report = scheduler.LoadReport{Down: true}
	}
	report.Server = s.Name
	r.sendDecisions(o, o.update(func(sc *scheduler.Scheduler) { sc.Report(time.Now(), report) }))
}

// Status returns the status of the owned shards.
func (r *Runner) Status(now time.Time) []*peerpb.ShardStatus {
	var list []*peerpb.ShardStatus
	for _, o := range r.ownedShards() {
		st := o.stats(now)
		s := &peerpb.ShardStatus{
			Shard: o.id, Epoch: o.epoch,
			Running: uint32(st.Running), Free: uint32(st.FreeSlots),
			Waiting: make(map[string]uint32),
		}
		for class, n := range st.Waiting {
			s.Waiting[class] = uint32(n)
		}
		list = append(list, s)
	}
	return list
}
