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
	// deadlineGrace is how long after its deadline a request still waits for the
	// owner's own refusal, which knows when to come back.
	deadlineGrace = 250 * time.Millisecond
	// askAgain is the pause after an owner said that it is none.
	askAgain = 50 * time.Millisecond
	// ownRetryAfter is told when no owner answered in time.
	ownRetryAfter = 2 * time.Second
)

// RefusedError says that a request was not run, why, and when to ask again.
type RefusedError struct {
	Reason     scheduler.Reason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("not run (%s): ask again in %s", e.Reason, e.RetryAfter.Round(time.Millisecond))
}

// Sender sends a message to a linked box.
type Sender interface {
	Send(box string, m *peerpb.UpMessage) bool
}

// Broker asks the shards' owners for slots and holds what they gave.
type Broker struct {
	self    *peer.Self
	store   *config.Store
	tracker *membership.Tracker
	logger  log.Logger
	// local is the owner on this box. Its messages pass a mailbox, as a peer's
	// pass a link.
	local     peer.Owner
	localConn *peer.Conn
	localMail *mailbox.Mailbox[*peerpb.UpMessage]

	mu     sync.Mutex
	sender Sender
	seq    uint64
	shards map[string]*shardView
}

// shardView is what the broker knows of one shard.
type shardView struct {
	owner string
	held  map[uint64]*reservation
	// asking is set while a registration waits for the views to agree.
	asking bool
}

// SlotRequest is a request for a slot.
type SlotRequest struct {
	Class        string
	Organisation string
	PromptTokens int
	Arrival      time.Time
	Deadline     time.Time
	Prefix       []uint64
	Avoid        []string
}

// reservation is a query at one shard.
type reservation struct {
	SlotRequest
	shard   string
	seq     uint64
	granted bool
	server  string
	decided chan<- outcome
}

// outcome is what an owner decided of a reservation.
type outcome struct {
	res     *reservation
	refusal *RefusedError
}

// NewBroker returns a broker; SetSender must be called before it is used.
func NewBroker(self *peer.Self, store *config.Store, tracker *membership.Tracker, local peer.Owner, logger log.Logger) *Broker {
	b := &Broker{
		self:    self,
		store:   store,
		tracker: tracker,
		local:   local,

		localMail: mailbox.NewUnbounded[*peerpb.UpMessage](),
		logger:    logger,
		shards:    make(map[string]*shardView),
	}
	b.localConn = peer.NewConn(self.Origin, func(m *peerpb.DownMessage) { b.Down(self.Box, m) })
	return b
}

// SetSender gives the broker its links.
func (b *Broker) SetSender(s Sender) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sender = s
}

// Run follows the view and the configuration until ctx ends, and registers what
// this box holds with every new owner.
func (b *Broker) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { b.runLocal(ctx) })
	for {
		view, conf := b.tracker.Changed(), b.store.Changed()
		b.reconcile()
		select {
		case <-ctx.Done():
			return
		case <-view:
		case <-conf:
		}
	}
}

// runLocal passes messages to the owner on this box.
func (b *Broker) runLocal(ctx context.Context) {
	for {
		batch, ok := b.localMail.Take(ctx)
		if !ok {
			return
		}
		for _, m := range batch {
			b.local.Up(b.localConn, m)
		}
	}
}

// reconcile finds shards whose owner changed.
func (b *Broker) reconcile() {
	v := b.tracker.View()
	for _, sh := range b.store.Current().Shards() {
		owner := v.Owner(sh.ID, sh.Hall)
		b.mu.Lock()
		if s := b.view(sh.ID); s.owner != owner {
			level.Debug(b.logger).Log("msg", "shard has a new owner", "shard", sh.ID, "owner", owner)
			s.owner = owner
			b.register(sh.ID)
		}
		b.mu.Unlock()
	}
}

// view is called with the lock held.
func (b *Broker) view(shard string) *shardView {
	s := b.shards[shard]
	if s == nil {
		s = &shardView{held: make(map[uint64]*reservation)}
		b.shards[shard] = s
	}
	return s
}

// LinkUp implements peer.Holder.
func (b *Broker) LinkUp(box string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.shards {
		if s.owner == box {
			b.register(id)
		}
	}
}

// register tells a shard's owner everything held there. It is called with the
// lock held, as send is: what an owner hears must be in the order in which it
// came to be, or a registration could bring back what had ended.
func (b *Broker) register(shard string) {
	s := b.view(shard)
	m := &peerpb.Register{Shard: shard}
	for _, r := range s.held {
		if r.granted {
			m.Running = append(m.Running, &peerpb.Running{Reserve: r.message(), Server: r.server})
			continue
		}
		m.Waiting = append(m.Waiting, r.message())
	}
	b.send(s.owner, &peerpb.UpMessage{Kind: &peerpb.UpMessage_Register{Register: m}})
}

// send passes a message to an owner, without waiting. Without a link it is lost:
// LinkUp registers everything.
func (b *Broker) send(owner string, m *peerpb.UpMessage) {
	if owner == b.self.Box {
		b.localMail.Put(m)
		return
	}
	if b.sender != nil && owner != "" {
		b.sender.Send(owner, m)
	}
}

func (r *reservation) message() *peerpb.Reserve {
	m := &peerpb.Reserve{
		Shard:        r.shard,
		Seq:          r.seq,
		Class:        r.Class,
		Organisation: r.Organisation,
		PromptTokens: uint32(r.PromptTokens),
		WaitedNanos:  int64(time.Since(r.Arrival)),
		Prefix:       r.Prefix,
		Avoid:        r.Avoid,
	}
	if !r.Deadline.IsZero() {
		m.RemainingNanos = max(1, int64(time.Until(r.Deadline)))
	}
	return m
}

// reserve asks one shard's owner; the outcome comes on decided.
func (b *Broker) reserve(shard string, q SlotRequest, decided chan<- outcome) *reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	r := &reservation{SlotRequest: q, shard: shard, seq: b.seq, decided: decided}
	s := b.view(shard)
	s.held[r.seq] = r
	b.send(s.owner, &peerpb.UpMessage{Kind: &peerpb.UpMessage_Reserve{Reserve: r.message()}})
	return r
}

// release forgets a reservation and tells the owner so with m.
func (b *Broker) release(r *reservation, m *peerpb.UpMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.view(r.shard)
	if s.held[r.seq] == nil {
		return
	}
	delete(s.held, r.seq)
	b.send(s.owner, m)
}

func (b *Broker) cancel(r *reservation) { b.release(r, cancelMessage(r.shard, r.seq)) }

func cancelMessage(shard string, seq uint64) *peerpb.UpMessage {
	return &peerpb.UpMessage{Kind: &peerpb.UpMessage_Cancel{Cancel: &peerpb.Cancel{Shard: shard, Seq: seq}}}
}

// Down implements peer.Holder: it takes an owner's decision in.
func (b *Broker) Down(owner string, m *peerpb.DownMessage) {
	switch k := m.GetKind().(type) {
	case *peerpb.DownMessage_Grant:
		b.granted(owner, k.Grant)
	case *peerpb.DownMessage_Refuse:
		b.refused(owner, k.Refuse)
	case *peerpb.DownMessage_NotOwner:
		b.notOwner(owner, k.NotOwner.GetShard())
	}
}

// granted heeds a grant if it comes from the owner that this box computes now,
// is fresh, and the request still waits. Else it gives the slot back. A grant is
// stale if the owner's last word from this box lies further back than the silence
// that counts as death: it stops grants of an owner that was frozen.
func (b *Broker) granted(owner string, g *peerpb.Grant) {
	fresh := owner == b.self.Box || b.self.Clock()-g.GetEchoNanos() < int64(b.tracker.View().DeadAfter())
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.view(g.GetShard())
	r := s.held[g.GetSeq()]
	if fresh && s.owner == owner && r != nil && !r.granted {
		r.granted = true
		r.server = g.GetServer()
		r.decided <- outcome{res: r}
		return
	}
	level.Debug(b.logger).Log("msg", "grant not heeded", "shard", g.GetShard(), "owner", owner, "fresh", fresh)
	if s.owner != owner || r == nil {
		b.send(owner, cancelMessage(g.GetShard(), g.GetSeq()))
		return
	}
	if !r.granted {
		// The owner counts a stale grant as given: tell it what is so.
		b.register(g.GetShard())
	}
}

func (b *Broker) refused(owner string, f *peerpb.Refuse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.view(f.GetShard())
	r := s.held[f.GetSeq()]
	if s.owner != owner || r == nil || r.granted {
		return
	}
	delete(s.held, f.GetSeq())
	r.decided <- outcome{res: r, refusal: &RefusedError{
		Reason:     scheduler.Reason(f.GetReason()),
		RetryAfter: time.Duration(f.GetRetryAfterNanos()),
	}}
}

// notOwner asks again soon: the two views differ for a moment.
func (b *Broker) notOwner(owner, shard string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.view(shard)
	if s.owner != owner || s.asking {
		return
	}
	s.asking = true
	time.AfterFunc(askAgain, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.asking = false
		if s.owner == owner {
			b.register(shard)
		}
	})
}

// ReservationCount counts the reservations of this box, waiting and granted.
func (b *Broker) ReservationCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.shards {
		n += len(s.held)
	}
	return n
}
