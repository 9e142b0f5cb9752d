package shard

import (
	"slices"
	"sync"
	"time"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/peer"
	"headhill.example/headhill/pkg/peer/peerpb"
	"headhill.example/headhill/pkg/scheduler"
)

// disconnectGrace is how long the running requests of a box stay counted after it
// disconnects: they may still run if only the connection to this owner is lost.
const disconnectGrace = 3 * time.Second

// ownedShard is a shard that this box owns.
type ownedShard struct {
	id    string
	epoch uint64

	mu         sync.Mutex
	sched      *scheduler.Scheduler
	cfg        scheduler.Config
	generation uint64
	// stopped is set when the ownership has ended; nothing is granted afterwards.
	stopped bool
	// registered holds the IDs of the boxes that have registered.
	registered map[string]bool
	// disconnected maps the origins without a connection to when they lost it.
	disconnected map[string]time.Time
}

func newOwnedShard(now time.Time, st *config.State, sh config.Shard, v *membership.View, epoch uint64) *ownedShard {
	cfg := schedulerConfig(st, sh, v)
	o := &ownedShard{
		id:           sh.ID,
		epoch:        epoch,
		sched:        scheduler.New(cfg, epoch),
		cfg:          cfg,
		generation:   st.Generation,
		registered:   make(map[string]bool),
		disconnected: make(map[string]time.Time),
	}
	o.sched.BeginRecovery(now)
	return o
}

// configure applies a new configuration or view.
func (o *ownedShard) configure(now time.Time, st *config.State, sh config.Shard, v *membership.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	cfg := schedulerConfig(st, sh, v)
	if st.Generation == o.generation && slices.Equal(cfg.Servers, o.cfg.Servers) {
		return
	}
	o.cfg, o.generation = cfg, st.Generation
	o.sched.Configure(now, cfg)
}

// stop ends the ownership: no more grants are made.
func (o *ownedShard) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = true
}

// update runs f with the scheduler locked and returns the decisions it led to.
func (o *ownedShard) update(f func(s *scheduler.Scheduler)) scheduler.Decisions {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopped {
		return scheduler.Decisions{}
	}
	f(o.sched)
	return o.sched.TakeDecisions()
}

// handleMessage passes a message of a box to the scheduler.
func (o *ownedShard) handleMessage(now time.Time, c *peer.Conn, m *peerpb.UpMessage, live []string) scheduler.Decisions {
	return o.update(func(s *scheduler.Scheduler) {
		box := c.Key()
		delete(o.disconnected, box)
		switch k := m.GetKind().(type) {
		case *peerpb.UpMessage_Reserve:
			s.Reserve(now, schedulerRequest(now, box, k.Reserve))
		case *peerpb.UpMessage_Cancel:
			s.Cancel(now, scheduler.ID{Box: box, Seq: k.Cancel.GetSeq()})
		case *peerpb.UpMessage_Start:
			s.Start(scheduler.ID{Box: box, Seq: k.Start.GetSeq()})
		case *peerpb.UpMessage_Finish:
			s.Finish(now, schedulerCompletion(box, k.Finish))
		case *peerpb.UpMessage_Register:
			o.register(now, c, k.Register, live)
		}
	})
}

// register syncs the reservations of a box. Recovery ends once every live box has
// registered.
func (o *ownedShard) register(now time.Time, c *peer.Conn, m *peerpb.Register, live []string) {
	box := c.Key()
	waiting := make([]scheduler.Request, 0, len(m.GetWaiting()))
	for _, w := range m.GetWaiting() {
		waiting = append(waiting, schedulerRequest(now, box, w))
	}
	running := make([]scheduler.RunningRequest, 0, len(m.GetRunning()))
	for _, r := range m.GetRunning() {
		running = append(running, scheduler.RunningRequest{
			Request: schedulerRequest(now, box, r.GetReserve()),
			Server:  r.GetServer(),
		})
	}
	o.sched.Sync(now, box, waiting, running)
	o.registered[c.Box] = true
	if o.sched.Recovering() && o.allRegistered(live) {
		o.sched.EndRecovery(now)
	}
}

func (o *ownedShard) allRegistered(live []string) bool {
	for _, id := range live {
		if !o.registered[id] {
			return false
		}
	}
	return true
}

// handleDisconnect drops the waiting requests of a box. Its running ones stay
// counted for disconnectGrace.
func (o *ownedShard) handleDisconnect(now time.Time, box string) {
	o.update(func(s *scheduler.Scheduler) {
		s.DropWaiting(box)
		o.disconnected[box] = now
	})
}

// tick drops boxes whose disconnectGrace has passed and advances the scheduler.
func (o *ownedShard) tick(now time.Time) scheduler.Decisions {
	return o.update(func(s *scheduler.Scheduler) {
		for box, since := range o.disconnected {
			if now.Sub(since) > disconnectGrace {
				s.DropBox(now, box)
				delete(o.disconnected, box)
			}
		}
		s.Tick(now)
	})
}

func (o *ownedShard) stats(now time.Time) scheduler.Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sched.Stats(now)
}
