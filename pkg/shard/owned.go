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

// linkGrace is how long the running requests of a box are counted after its link
// broke: it may only have been cut off from this owner.
const linkGrace = 3 * time.Second

// owned is a shard that this box owns.
type owned struct {
	id    string
	epoch uint64

	mu         sync.Mutex
	sched      *scheduler.Scheduler
	cfg        scheduler.Config
	generation uint64
	// gone is set when the ownership ended; nothing is granted after.
	gone bool
	// registered holds the boxes, by ID, that told what they hold.
	registered map[string]bool
	// broken holds origins whose link broke, until they are forgotten.
	broken map[string]time.Time
}

func newOwned(now time.Time, st *config.State, sh config.Shard, v *membership.View, epoch uint64) *owned {
	cfg := schedulerConfig(st, sh, v)
	o := &owned{
		id:         sh.ID,
		epoch:      epoch,
		sched:      scheduler.New(cfg, epoch),
		cfg:        cfg,
		generation: st.Generation,
		registered: make(map[string]bool),
		broken:     make(map[string]time.Time),
	}
	o.sched.BeginRecovery(now)
	return o
}

// configure puts a new configuration or view in force.
func (o *owned) configure(now time.Time, st *config.State, sh config.Shard, v *membership.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	cfg := schedulerConfig(st, sh, v)
	if st.Generation == o.generation && slices.Equal(cfg.Servers, o.cfg.Servers) {
		return
	}
	o.cfg, o.generation = cfg, st.Generation
	o.sched.Configure(now, cfg)
}

// end stops granting for good.
func (o *owned) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone = true
}

// do lets f feed the scheduler and returns what it decided.
func (o *owned) do(f func(s *scheduler.Scheduler)) scheduler.Decisions {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gone {
		return scheduler.Decisions{}
	}
	f(o.sched)
	return o.sched.TakeDecisions()
}

// up feeds a message of a box to the scheduler.
func (o *owned) up(now time.Time, c *peer.Conn, m *peerpb.UpMessage, live []string) scheduler.Decisions {
	return o.do(func(s *scheduler.Scheduler) {
		box := c.Key()
		delete(o.broken, box)
		switch k := m.GetKind().(type) {
		case *peerpb.UpMessage_Reserve:
			s.Reserve(now, requestOf(now, box, k.Reserve))
		case *peerpb.UpMessage_Cancel:
			s.Cancel(now, scheduler.ID{Box: box, Seq: k.Cancel.GetSeq()})
		case *peerpb.UpMessage_Start:
			s.Start(scheduler.ID{Box: box, Seq: k.Start.GetSeq()})
		case *peerpb.UpMessage_Finish:
			s.Finish(now, completionOf(box, k.Finish))
		case *peerpb.UpMessage_Register:
			o.register(now, c, k.Register, live)
		}
	})
}

// register takes in what a box holds. When every live box has told, there is
// nothing more to wait for.
func (o *owned) register(now time.Time, c *peer.Conn, m *peerpb.Register, live []string) {
	box := c.Key()
	waiting := make([]scheduler.Request, 0, len(m.GetWaiting()))
	for _, w := range m.GetWaiting() {
		waiting = append(waiting, requestOf(now, box, w))
	}
	running := make([]scheduler.RunningRequest, 0, len(m.GetRunning()))
	for _, r := range m.GetRunning() {
		running = append(running, scheduler.RunningRequest{
			Request: requestOf(now, box, r.GetReserve()),
			Server:  r.GetServer(),
		})
	}
	o.sched.Sync(now, box, waiting, running)
	o.registered[c.Box] = true
	if o.sched.Recovering() && o.allRegistered(live) {
		o.sched.EndRecovery(now)
	}
}

func (o *owned) allRegistered(live []string) bool {
	for _, id := range live {
		if !o.registered[id] {
			return false
		}
	}
	return true
}

// linkBroke drops what a box waits for here; what it runs is counted a while.
func (o *owned) linkBroke(now time.Time, box string) {
	o.do(func(s *scheduler.Scheduler) {
		s.DropWaiting(box)
		o.broken[box] = now
	})
}

// tick lets time pass.
func (o *owned) tick(now time.Time) scheduler.Decisions {
	return o.do(func(s *scheduler.Scheduler) {
		for box, since := range o.broken {
			if now.Sub(since) > linkGrace {
				s.DropBox(now, box)
				delete(o.broken, box)
			}
		}
		s.Tick(now)
	})
}

// stats describes the shard.
func (o *owned) stats(now time.Time) scheduler.Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sched.Stats(now)
}
