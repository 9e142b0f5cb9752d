package shard

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/config"
	"headhill.example/headhill/pkg/mailbox"
	"headhill.example/headhill/pkg/membership"
	"headhill.example/headhill/pkg/peer"
	"headhill.example/headhill/pkg/peer/peerpb"
	"headhill.example/headhill/pkg/scheduler"
)

const (
	// refusalGrace is how long past its deadline a request waits for the owner's
	// refusal, which carries a better retry-after than defaultRetryAfter.
	refusalGrace = 250 * time.Millisecond
	// registerRetryDelay is the delay before registering again after NotOwner.
	registerRetryDelay = 50 * time.Millisecond
	// defaultRetryAfter is the retry-after when no owner answered in time.
	defaultRetryAfter = 2 * time.Second
)

// RefusedError reports that a request was not run, and when it may be retried.
type RefusedError struct {
	Reason     scheduler.Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run (%s): ask again in %s", e.Reason, e.RetryAfter.Round(time.Millisecond))
}

// Sender sends a message to a connected box.
type Sender interface {
	Send(box string, m *peerpb.UpMessage) bool
}

// Broker requests slots from shard owners and tracks the reservations of this box.
type Broker struct {
	self    *peer.Self
	store   *config.Store
	tracker *membership.Tracker
	logger  log.Logger
	// local is the owner on this box. Messages to it are queued in localMailbox, as
	// those to a peer are queued in its link.
	local        peer.UpHandler
	localConn    *peer.Conn
	localMailbox *mailbox.Mailbox[*peerpb.UpMessage]

	mu     sync.Mutex
	sender Sender
	seq    uint64
	shards map[string]*shardState
}

// shardState is the broker's state of one shard.
type shardState struct {
	owner        string
	reservations map[uint64]*reservation
	// registerPending is set while a registration after NotOwner is scheduled.
	registerPending bool
}

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	Class        string
	Organisation string
	PromptTokens int
	Arrival      time.Time
	Deadline     time.Time
	PrefixHashes []uint64
	AvoidServers []string
}

// reservation is a slot request sent to one shard.
type reservation struct {
	SlotRequest
	shard    string
	seq      uint64
	granted  bool
	server   string
	outcomes chan<- outcome
}

// outcome is the owner's decision on a reservation; refusal is nil for a grant.
type outcome struct {
	reservation *reservation
	refusal     *RefusedError
}

// NewBroker returns a broker; call SetSender before using it.
func NewBroker(self *peer.Self, store *config.Store, tracker *membership.Tracker, local peer.UpHandler, logger log.Logger) *Broker {
	b := &Broker{
		self:    self,
		store:   store,
		tracker: tracker,
		local:   local,

		localMailbox: mailbox.NewUnbounded[*peerpb.UpMessage](),
		logger:       logger,
		shards:       make(map[string]*shardState),
	}
	b.localConn = peer.NewConn(self.Instance, func(m *peerpb.DownMessage) { b.HandleDown(self.Box, m) })
	return b
}

// SetSender sets the sender for messages to other boxes.
func (b *Broker) SetSender(s Sender) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sender = s
}

// Run watches the membership view and the configuration until ctx ends, and
// registers the reservations of this box with every new owner.
func (b *Broker) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { b.deliverLocal(ctx) })
	for {
		viewChanged, configChanged := b.tracker.Changed(), b.store.Changed()
		b.updateOwners()
		select {
		case <-ctx.Done():
			return
		case <-viewChanged:
		case <-configChanged:
		}
	}
}

// deliverLocal delivers queued messages to the owner on this box.
func (b *Broker) deliverLocal(ctx context.Context) {
	for {
		batch, ok := b.localMailbox.Take(ctx)
		if !ok {
			return
		}
		for _, m := range batch {
			b.local.HandleUp(b.localConn, m)
		}
	}
}

// updateOwners registers with the new owner of each shard whose owner changed.
func (b *Broker) updateOwners() {
	v := b.tracker.View()
	for _, sh := range b.store.Current().Shards() {
		owner := v.Owner(sh.ID, sh.Hall)
		b.mu.Lock()
		if s := b.state(sh.ID); s.owner != owner {
			level.Debug(b.logger).Log("msg", "shard has a new owner", "shard", sh.ID, "owner", owner)
			s.owner = owner
			b.register(sh.ID)
		}
		b.mu.Unlock()
	}
}

// state returns the state of a shard, creating it if needed. b.mu must be held.
func (b *Broker) state(shard string) *shardState {
	s := b.shards[shard]
	if s == nil {
		s = &shardState{reservations: make(map[uint64]*reservation)}
		b.shards[shard] = s
	}
	return s
}

// HandleLinkUp implements peer.DownHandler.
func (b *Broker) HandleLinkUp(box string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.shards {
		if s.owner == box {
			b.register(id)
		}
	}
}

// register sends a shard's owner all reservations in the shard. b.mu must be held
// here and in send, so that the owner receives messages in order: a late
// registration could otherwise restore a reservation that has ended.
func (b *Broker) register(shard string) {
	s := b.state(shard)
	m := &peerpb.Register{Shard: shard}
	for _, r := range s.reservations {
		if r.granted {
			m.Running = append(m.Running, &peerpb.Running{Reserve: r.reserveMessage(), Server: r.server})
			continue
		}
		m.Waiting = append(m.Waiting, r.reserveMessage())
	}
	b.send(s.owner, &peerpb.UpMessage{Kind: &peerpb.UpMessage_Register{Register: m}})
}

// send sends a message to an owner without blocking. Without a connection the
// message is dropped; HandleLinkUp registers all reservations again.
func (b *Broker) send(owner string, m *peerpb.UpMessage) {
	if owner == b.self.Box {
		b.localMailbox.Put(m)
		return
	}
	if b.sender != nil && owner != "" {
		b.sender.Send(owner, m)
	}
}

func (r *reservation) reserveMessage() *peerpb.Reserve {
	m := &peerpb.Reserve{
		Shard:        r.shard,
		Seq:          r.seq,
		Class:        r.Class,
		Organisation: r.Organisation,
		PromptTokens: uint32(r.PromptTokens),
		WaitedNanos:  int64(time.Since(r.Arrival)),
		Prefix:       r.PrefixHashes,
		Avoid:        r.AvoidServers,
	}
	if !r.Deadline.IsZero() {
		m.RemainingNanos = max(1, int64(time.Until(r.Deadline)))
	}
	return m
}

// reserve requests a slot from the owner of one shard, which answers on outcomes.
func (b *Broker) reserve(shard string, req SlotRequest, outcomes chan<- outcome) *reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	r := &reservation{SlotRequest: req, shard: shard, seq: b.seq, outcomes: outcomes}
	s := b.state(shard)
	s.reservations[r.seq] = r
	b.send(s.owner, &peerpb.UpMessage{Kind: &peerpb.UpMessage_Reserve{Reserve: r.reserveMessage()}})
	return r
}

// release removes a reservation and sends m to the owner.
func (b *Broker) release(r *reservation, m *peerpb.UpMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(r.shard)
	if s.reservations[r.seq] == nil {
		return
	}
	delete(s.reservations, r.seq)
	b.send(s.owner, m)
}

func (b *Broker) cancel(r *reservation) { b.release(r, cancelMessage(r.shard, r.seq)) }

func cancelMessage(shard string, seq uint64) *peerpb.UpMessage {
	return &peerpb.UpMessage{Kind: &peerpb.UpMessage_Cancel{Cancel: &peerpb.Cancel{Shard: shard, Seq: seq}}}
}

// HandleDown implements peer.DownHandler: it handles an owner's decision.
func (b *Broker) HandleDown(owner string, m *peerpb.DownMessage) {
	switch k := m.GetKind().(type) {
	case *peerpb.DownMessage_Grant:
		b.handleGrant(owner, k.Grant)
	case *peerpb.DownMessage_Refuse:
		b.handleRefusal(owner, k.Refuse)
	case *peerpb.DownMessage_NotOwner:
		b.handleNotOwner(owner, k.NotOwner.GetShard())
	}
}

// handleGrant accepts a grant that is fresh, comes from the current owner, and
// belongs to a reservation that still waits. Otherwise it returns the slot, or
// registers again if the grant was only stale. A grant is stale if the last
// heartbeat that its owner had received from this box is older than the dead-box
// timeout, as happens when an owner resumes after a pause.
func (b *Broker) handleGrant(owner string, g *peerpb.Grant) {
	fresh := owner == b.self.Box || b.self.MonotonicNanos()-g.GetEchoNanos() < int64(b.tracker.View().FailureTimeout())
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(g.GetShard())
	r := s.reservations[g.GetSeq()]
	if fresh && s.owner == owner && r != nil && !r.granted {
		r.granted = true
		r.server = g.GetServer()
		r.outcomes <- outcome{reservation: r}
		return
	}
	level.Debug(b.logger).Log("msg", "grant ignored", "shard", g.GetShard(), "owner", owner, "fresh", fresh)
	if s.owner != owner || r == nil {
		b.send(owner, cancelMessage(g.GetShard(), g.GetSeq()))
		return
	}
	if !r.granted {
		// The owner counts the stale grant as running: correct it.
		b.register(g.GetShard())
	}
}

func (b *Broker) handleRefusal(owner string, f *peerpb.Refuse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(f.GetShard())
	r := s.reservations[f.GetSeq()]
	if s.owner != owner || r == nil || r.granted {
		return
	}
	delete(s.reservations, f.GetSeq())
	r.outcomes <- outcome{reservation: r, refusal: &RefusedError{
		Reason:     scheduler.Reason(f.GetReason()),
		RetryAfter: time.Duration(f.GetRetryAfterNanos()),
	}}
}

// handleNotOwner registers again after a delay: the two boxes' views differ for now.
func (b *Broker) handleNotOwner(owner, shard string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(shard)
	if s.owner != owner || s.registerPending {
		return
	}
	s.registerPending = true
	time.AfterFunc(registerRetryDelay, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.registerPending = false
		if s.owner == owner {
			b.register(shard)
		}
	})
}

// ReservationCount returns the number of waiting and granted reservations.
func (b *Broker) ReservationCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.shards {
		n += len(s.reservations)
	}
	return n
}
