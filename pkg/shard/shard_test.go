package shard

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/mailbox"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/objectstore"
	"headhill.example/headhill/pkg/peer"
	"headhill.example/headhill/pkg/peer/peerpb"
	"headhill.example/headhill/pkg/scheduler"
	standin "headhill.example/headhill/pkg/standin/objectstore"
)

// network connects boxes in memory and can disconnect them.
type network struct {
	ctx   context.Context
	boxes map[string]*testBox

	mu           sync.Mutex
	disconnected map[[2]string]bool
}

func (n *network) isDisconnected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disconnected[[2]string{a, b}]
}

// testBox is a runner and a broker without network listeners.
type testBox struct {
	id      string
	net     *network
	tracker *membership.Tracker
	self    *peer.Self
	runner  *Runner
	broker  *Broker

	mu    sync.Mutex
	links map[string]*testLink
}

// testLink delivers messages in order, as a gRPC stream does.
type testLink struct {
	conn *peer.Conn
	up   *mailbox.Mailbox[*peerpb.UpMessage]
}

// Send implements Sender.
func (b *testBox) Send(box string, m *peerpb.UpMessage) bool {
	if b.net.boxes[box] == nil || b.net.isDisconnected(b.id, box) {
		return false
	}
	return b.link(box).up.Put(m)
}

func (b *testBox) link(box string) *testLink {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.links[box]; l != nil {
		return l
	}
	down := mailbox.New[*peerpb.DownMessage]()
	l := &testLink{up: mailbox.New[*peerpb.UpMessage]()}
	l.conn = peer.NewConn(b.self.Instance, func(m *peerpb.DownMessage) { down.Put(m) })
	b.links[box] = l
	other := b.net.boxes[box]
	go deliverMessages(b.net, b.id, box, l.up, func(m *peerpb.UpMessage) { other.runner.HandleUp(l.conn, m) })
	go deliverMessages(b.net, b.id, box, down, func(m *peerpb.DownMessage) { b.broker.HandleDown(box, m) })
	return l
}

// deliverMessages delivers messages in order and drops those between disconnected boxes.
func deliverMessages[T any](n *network, a, b string, m *mailbox.Mailbox[T], handle func(T)) {
	for {
		batch, ok := m.Take(n.ctx)
		if !ok {
			return
		}
		for _, x := range batch {
			if !n.isDisconnected(a, b) {
				handle(x)
			}
		}
	}
}

// idleProber reports every server as up and idle.
type idleProber struct{}

func (idleProber) Probe(_ context.Context, s config.Server) (scheduler.LoadReport, error) {
	return scheduler.LoadReport{Server: s.Name}, nil
}

const (
	testSlots = 4
	testQueue = 6
)

// testChange configures a service with two servers and two classes.
func testChange() config.Change {
	class := func(name string, tier int) config.Class {
		return config.Class{Name: name, Tier: tier, Floor: .05, FloorPlaces: 1, Places: 2, Deadline: time.Minute}
	}
	return config.Change{
		Classes:  []config.Class{class("high", 1), class("low", 3)},
		Services: []config.Service{{Name: "s", Kind: config.ServiceKindEngine, Queue: testQueue}},
		Servers: []config.Server{
			{Name: "v1", Service: "s", Hall: "h", Address: "127.0.0.1:1", Slots: testSlots, State: config.ServerStateActive},
			{Name: "v2", Service: "s", Hall: "h", Address: "127.0.0.1:2", Slots: testSlots, State: config.ServerStateActive},
		},
	}
}

// newNetwork starts n connected boxes configured with testChange. It must be called
// in a synctest bubble.
func newNetwork(ctx context.Context, t require.TestingT, n int) *network {
	return newNetworkWith(ctx, t, n, testChange())
}

func newNetworkWith(ctx context.Context, t require.TestingT, n int, change config.Change) *network {
	net := &network{ctx: ctx, boxes: map[string]*testBox{}, disconnected: map[[2]string]bool{}}
	p := standin.New()
	var roster []objectstore.Box
	for i := range n {
		roster = append(roster, objectstore.Box{ID: fmt.Sprint("b", i), Peer: fmt.Sprint("10.0.0.1:", i+1), State: objectstore.BoxLive})
	}
	for _, r := range roster {
		store := config.NewStore(p.Client(), "p", log.NewNopLogger())
		if store.Refresh(ctx); store.Current().Generation == 0 {
			_, err := store.Confirm(ctx, "plan", 0, config.AcceptedChange{Change: change})
			require.NoError(t, err)
		}
		b := &testBox{id: r.ID, net: net, tracker: membership.NewTracker(r), links: map[string]*testLink{}}
		b.tracker.SetRoster(time.Now(), roster)
		b.tracker.SetServing(time.Now(), true)
		b.self = peer.NewSelf(r.ID, b.tracker, func() uint64 { return 1 })
		b.runner = NewRunner(b.self, store, b.tracker, idleProber{}, log.NewNopLogger())
		b.broker = NewBroker(b.self, store, b.tracker, b.runner, log.NewNopLogger())
		b.broker.SetSender(b)
		net.boxes[r.ID] = b
	}
	for _, b := range net.boxes {
		go b.runner.Run(ctx)
		go b.broker.Run(ctx)
	}
	go net.runHeartbeats(ctx)
	return net
}

// runHeartbeats exchanges heartbeats between connected boxes until ctx ends.
func (n *network) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, a := range n.boxes {
			for _, b := range n.boxes {
				if a == b || n.isDisconnected(a.id, b.id) {
					continue
				}
				b.tracker.RecordHeartbeat(now, membership.Heartbeat{Box: a.id, Incarnation: a.self.Incarnation})
				a.link(b.id).conn.SetEchoNanos(a.self.MonotonicNanos())
			}
		}
		time.Sleep(membership.HeartbeatInterval)
	}
}

// setIsolated disconnects a box from all others, or reconnects it.
func (n *network) setIsolated(id string, isolated bool) {
	n.mu.Lock()
	for other := range n.boxes {
		n.disconnected[[2]string{id, other}], n.disconnected[[2]string{other, id}] = isolated, isolated
	}
	n.mu.Unlock()
	for _, a := range n.boxes {
		for other := range n.boxes {
			switch {
			case a.id != id && other != id, a.id == other:
			case isolated:
				n.boxes[other].runner.HandleLinkDown(a.link(other).conn)
			default:
				a.broker.HandleLinkUp(other)
			}
		}
	}
}

func (n *network) acquire(ctx context.Context, box, class string) (*Slot, error) {
	b := n.boxes[box].broker
	q := SlotRequest{Class: class, Organisation: "o", PromptTokens: 10, Arrival: time.Now(), Deadline: time.Now().Add(time.Minute)}
	return b.Acquire(ctx, b.store.Current().Shards(), q)
}

// slotCounts sums the running and the free slots over all owners.
func (n *network) slotCounts() (running, free int) {
	for _, b := range n.boxes {
		for _, s := range b.runner.Status(time.Now()) {
			running += int(s.GetRunning())
			free += int(s.GetFree())
		}
	}
	return running, free
}

// withNetwork runs fn with n boxes under virtual time.
func withNetwork(t *testing.T, n int, fn func(ctx context.Context, net *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net := newNetwork(ctx, t, n)
		time.Sleep(2 * time.Second)
		fn(ctx, net)
		cancel()
		time.Sleep(time.Second)
	})
}

func TestOneOwnerForAllEntryBoxes(t *testing.T) {
	withNetwork(t, 3, func(ctx context.Context, net *network) {
		var slots []*Slot
		for i := range 2 * testSlots {
			s, err := net.acquire(ctx, fmt.Sprint("b", i%3), "high")
			require.NoError(t, err)
			slots = append(slots, s)
		}
		running, free := net.slotCounts()
		require.Equal(t, 2*testSlots, running)
		require.Zero(t, free)
		for _, s := range slots {
			s.Start()
			s.Finish(scheduler.Completion{Result: scheduler.ResultDone})
		}
		time.Sleep(time.Second)
		running, free = net.slotCounts()
		require.Zero(t, running)
		require.Equal(t, 2*testSlots, free)
	})
}

// While two boxes own the same shard, each entry box uses only the owner in its own
// view. After the partition heals, no slot is counted twice or lost.
func TestConcurrentOwners(t *testing.T) {
	withNetwork(t, 3, func(ctx context.Context, net *network) {
		v := net.boxes["b0"].tracker.View()
		owner := v.Owner("s", "")
		net.setIsolated(owner, true)
		time.Sleep(3 * time.Second)
		owners := map[string]bool{}
		for id, b := range net.boxes {
			if len(b.runner.Status(time.Now())) > 0 {
				owners[id] = true
			}
		}
		require.Len(t, owners, 2, "the shard must have an owner on both sides of the partition")
		var slots []*Slot
		for id := range net.boxes {
			s, err := net.acquire(ctx, id, "high")
			require.NoError(t, err)
			s.Start()
			slots = append(slots, s)
		}
		net.setIsolated(owner, false)
		time.Sleep(5 * time.Second)
		running, free := net.slotCounts()
		require.Equal(t, len(slots), running)
		require.Equal(t, 2*testSlots-len(slots), free)
		for _, s := range slots {
			s.Finish(scheduler.Completion{Result: scheduler.ResultDone})
		}
		time.Sleep(time.Second)
		running, _ = net.slotCounts()
		require.Zero(t, running)
	})
}

// An isolated box grants only its share of the server slots.
func TestIsolatedBoxGrantsOnlyItsShare(t *testing.T) {
	withNetwork(t, 4, func(_ context.Context, net *network) {
		net.setIsolated("b2", true)
		time.Sleep(3 * time.Second)
		st := net.boxes["b2"].runner.Status(time.Now())
		require.Len(t, st, 1)
		require.Equal(t, uint32(2*testSlots/4), st[0].GetFree())
	})
}

// Grants that are stale or come from a box other than the current owner are not used.
func TestInvalidGrantsAreIgnored(t *testing.T) {
	withNetwork(t, 3, func(ctx context.Context, net *network) {
		var slots []*Slot
		for range 2 * testSlots {
			s, err := net.acquire(ctx, "b0", "high")
			require.NoError(t, err)
			s.Start()
			slots = append(slots, s)
		}
		got := make(chan *Slot, 1)
		go func() {
			s, _ := net.acquire(ctx, "b0", "high")
			got <- s
		}()
		time.Sleep(100 * time.Millisecond)
		b := net.boxes["b0"].broker
		b.mu.Lock()
		owner, seq := b.state("s").owner, b.seq
		b.mu.Unlock()
		sendGrant := func(from, server string, echo int64) {
			b.HandleDown(from, &peerpb.DownMessage{Kind: &peerpb.DownMessage_Grant{Grant: &peerpb.Grant{Shard: "s", Seq: seq, Server: server, EchoNanos: echo}}})
		}
		for id := range net.boxes {
			if id != owner {
				sendGrant(id, "from-other-box", b.self.MonotonicNanos())
			}
		}
		if owner != "b0" {
			sendGrant(owner, "stale", b.self.MonotonicNanos()-int64(2*membership.FailureTimeout))
		}
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, got, "an invalid grant was used")
		slots[0].Finish(scheduler.Completion{Result: scheduler.ResultDone})
		s := <-got
		require.NotNil(t, s)
		require.Contains(t, []string{"v1", "v2"}, s.Server)
	})
}

// The queue limit and load shedding apply across entry boxes: high-tier requests of
// one box evict waiting low-tier requests of another.
func TestHighTierEvictsLowTierOfAnotherBox(t *testing.T) {
	withNetwork(t, 3, func(ctx context.Context, net *network) {
		for range 2 * testSlots {
			s, err := net.acquire(ctx, "b0", "high")
			require.NoError(t, err)
			s.Start()
		}
		low := make(chan error, testQueue+1)
		for range testQueue + 1 { // the queue limit and the floor place
			go func() {
				_, err := net.acquire(ctx, "b1", "low")
				low <- err
			}()
		}
		time.Sleep(time.Second)
		require.Empty(t, low)
		for range testQueue {
			go func() { _, _ = net.acquire(ctx, "b2", "high") }()
		}
		time.Sleep(time.Second)
		// The floor places of both classes are not part of the queue limit.
		require.Len(t, low, testQueue-1)
		for range testQueue - 1 {
			var refused *RefusedError
			require.ErrorAs(t, <-low, &refused)
			require.Equal(t, scheduler.ReasonQueueFull, refused.Reason)
			require.Positive(t, refused.RetryAfter)
		}
	})
}

// threeHallChange configures a service with 36 single-slot servers in three halls.
// The low class may use only the servers of lowHall.
func threeHallChange(lowHall string) config.Change {
	c := testChange()
	c.Services[0].Queue = 2
	c.Servers = nil
	for i := range 36 {
		v := config.Server{Name: fmt.Sprintf("v%02d", i), Service: "s", Hall: fmt.Sprint("h", i%3), Address: fmt.Sprint("127.0.0.1:", i+1), Slots: 1, State: config.ServerStateActive}
		c.Servers = append(c.Servers, v)
		if v.Hall == lowHall {
			c.Classes[1].Servers = append(c.Classes[1].Servers, v.Name)
		}
	}
	return c
}

// A request is refused only after every shard was tried: a waiting lower-tier
// request in any of them is evicted first.
func TestLowTierInAnotherShardIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net := newNetworkWith(ctx, t, 1, threeHallChange("h2"))
		time.Sleep(2 * time.Second)
		for range 36 {
			s, err := net.acquire(ctx, "b0", "high")
			require.NoError(t, err)
			s.Start()
		}
		results := map[string]chan error{"high": make(chan error, 10), "low": make(chan error, 10)}
		acquire := func(class string) {
			go func() {
				_, err := net.acquire(ctx, "b0", class)
				results[class] <- err
			}()
			time.Sleep(100 * time.Millisecond)
		}
		for range 3 { // the queue limit and the floor place of the last shard
			acquire("low")
		}
		require.Empty(t, results["low"])
		for range 3 { // each waits in both of the first two shards and fills them
			acquire("high")
		}
		for range 2 {
			acquire("high")
			require.Empty(t, results["high"], "a high-tier request was refused while a low-tier one waits in another shard")
		}
		require.NotEmpty(t, results["low"])
		cancel()
		time.Sleep(time.Second)
	})
}

// faultStep is one step of a random sequence of requests and disconnects.
type faultStep struct {
	Kind string
	Box  int
	Wait int
}

// No sequence of acquisitions, completions, abandoned waits and disconnects leaks a
// slot or leaves a caller without an answer.
func TestNoSlotLeaksAcrossDisconnects(t *testing.T) {
	gen := rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			Kind: rapid.SampledFrom([]string{"acquire", "acquire", "acquire", "abandon", "finish", "finish", "disconnect", "reconnect"}).Draw(t, "kind"),
			Box:  rapid.IntRange(0, 2).Draw(t, "box"),
			Wait: rapid.SampledFrom([]int{0, 1, 30, 400, 2500}).Draw(t, "wait"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(gen, 1, 40).Draw(rt, "steps")
		var runErr error
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			net := newNetwork(ctx, t, 3)
			time.Sleep(2 * time.Second)
			runErr = net.runFaults(ctx, steps)
			cancel()
			time.Sleep(time.Second)
		})
		require.NoError(rt, runErr)
	})
}

// runFaults runs the steps, reconnects all boxes, finishes all requests, and returns
// an error if a slot leaked or a caller got no answer.
func (n *network) runFaults(ctx context.Context, steps []faultStep) error {
	slots := make(chan *Slot, 1000)
	requested, answered := 0, make(chan struct{}, 1000)
	acquire := func(box string, timeout time.Duration) {
		requested++
		class := []string{"high", "low"}[requested%2]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			if s, err := n.acquire(ctx, box, class); err == nil {
				s.Start()
				slots <- s
			}
			answered <- struct{}{}
		}()
	}
	for _, st := range steps {
		box := fmt.Sprint("b", st.Box)
		switch st.Kind {
		case "acquire":
			acquire(box, time.Hour)
		case "abandon":
			acquire(box, 20*time.Millisecond)
		case "finish":
			if len(slots) > 0 {
				(<-slots).Finish(scheduler.Completion{Result: scheduler.ResultDone, OutputTokens: 5})
			}
		case "disconnect":
			n.setIsolated(box, true)
		case "reconnect":
			n.setIsolated(box, false)
		}
		time.Sleep(time.Duration(st.Wait) * time.Millisecond)
	}
	for id := range n.boxes {
		n.setIsolated(id, false)
	}
	for range 100 {
		time.Sleep(2 * time.Second)
		for len(slots) > 0 {
			(<-slots).Finish(scheduler.Completion{Result: scheduler.ResultDone})
		}
	}
	if len(answered) != requested {
		return fmt.Errorf("got answers for %d of %d callers", len(answered), requested)
	}
	if running, free := n.slotCounts(); running != 0 || free != 2*testSlots {
		return fmt.Errorf("got %d running and %d free slots after all requests finished, want 0 running and all free", running, free)
	}
	for id, b := range n.boxes {
		if b.broker.ReservationCount() != 0 {
			return errors.New(id + " still has reservations after all requests finished")
		}
	}
	return nil
}
