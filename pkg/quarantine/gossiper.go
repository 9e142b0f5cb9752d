package quarantine

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/quarantine/quarantinepb"
)

const (
	// datagramKind is the kind of the datagrams of this package.
	datagramKind = "quarantine"
	// maxDirectPeers is the largest number of peers that are all notified directly. With more peers, each box
	// sends to fanout random ones, which relay what is new to them: 99 in 100 of 300 boxes receive an
	// item within three steps, and the repetitions reach the rest.
	maxDirectPeers = 24
	fanout         = 6
	// batchDelay is how long changes are collected before they are sent.
	batchDelay = 5 * time.Millisecond
	// Changes made by this box are sent localSends times, relayed ones relayedSends times. The delay between
	// sends starts at resendDelay and is multiplied by resendBackoffFactor.
	localSends          = 3
	relayedSends        = 1
	resendDelay         = 100 * time.Millisecond
	resendBackoffFactor = 3
	// Every refreshInterval, up to maxRefreshItems items with at least refreshMinCrashes crashes are sent to
	// refreshPeers random peers, for boxes that missed earlier messages.
	refreshInterval   = time.Second
	refreshMinCrashes = 2
	refreshPeers      = 2
	maxRefreshItems   = 50
	// Until it is synced, a box asks syncRequestPeers random peers for their items every syncRequestInterval.
	// maxReplyItems limits the items of a reply.
	syncRequestInterval = 150 * time.Millisecond
	syncRequestPeers    = 3
	maxReplyItems       = 400
	// inboxCapacity limits the received messages that are queued. Further ones are dropped.
	inboxCapacity = 256
)

// GossiperDeps are the dependencies of a Gossiper.
type GossiperDeps struct {
	Port *datagram.Port
	// Peers returns the addresses of the other boxes.
	Peers  func() []*net.UDPAddr
	Ledger *Ledger
	Logger log.Logger
}

// Gossiper exchanges the evidence in the ledger with other boxes.
type Gossiper struct {
	GossiperDeps
	wake  chan struct{}
	inbox chan received

	mu sync.Mutex
	// pending holds the items that are still to be sent.
	pending map[Fingerprint]*pendingItem
	// synced is set once the ledger has the contents of the stored record.
	synced bool
}

// pendingItem is the send schedule of an item.
type pendingItem struct {
	local bool
	sends int
	next  time.Time
	delay time.Duration
}

// received is a decoded message with its sender and time of arrival.
type received struct {
	from     *net.UDPAddr
	at       time.Time
	evidence *quarantinepb.Evidence
}

// NewGossiper returns a gossiper and registers it for messages on the port.
func NewGossiper(d GossiperDeps) *Gossiper {
	g := &Gossiper{GossiperDeps: d, wake: make(chan struct{}, 1), inbox: make(chan received, inboxCapacity), pending: make(map[Fingerprint]*pendingItem)}
	d.Port.Handle(datagramKind, g.receive)
	d.Ledger.onChange = g.enqueue
	return g
}

// receive decodes a message and queues it for Run.
func (g *Gossiper) receive(m datagram.Message) {
	e := &quarantinepb.Evidence{}
	if err := proto.Unmarshal(m.Body, e); err != nil {
		_ = level.Debug(g.Logger).Log("msg", "evidence dropped", "from", m.Box, "err", err)
		return
	}
	select {
	case g.inbox <- received{from: m.From, at: m.Received, evidence: e}:
	default:
		_ = level.Debug(g.Logger).Log("msg", "evidence dropped", "from", m.Box, "err", "inbox full")
	}
}

// enqueue schedules an item for sending.
func (g *Gossiper) enqueue(f Fingerprint, local bool) {
	p := &pendingItem{local: local, sends: relayedSends, delay: resendDelay}
	if local {
		p.sends = localSends
	}
	g.mu.Lock()
	if previous, ok := g.pending[f]; ok {
		p.local = p.local || previous.local
		p.sends = max(p.sends, previous.sends)
	}
	g.pending[f] = p
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Synced reports whether this box has the contents of the stored record, from the store or from a peer.
func (g *Gossiper) Synced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.synced
}

// MarkSynced records that this box has the contents of the stored record.
func (g *Gossiper) MarkSynced() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.synced = true
}

// Run exchanges evidence until ctx is done.
func (g *Gossiper) Run(ctx context.Context) {
	refreshTicker := time.NewTicker(refreshInterval)
	defer refreshTicker.Stop()
	syncTicker := time.NewTicker(syncRequestInterval)
	defer syncTicker.Stop()
	sendTimer := time.NewTimer(0)
	defer sendTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.inbox:
			g.handle(m)
		case <-g.wake:
			sendTimer.Reset(batchDelay)
		case <-sendTimer.C:
			if wait, more := g.sendDue(clock.Now()); more {
				sendTimer.Reset(wait)
			}
		case <-syncTicker.C:
			if g.Synced() {
				syncTicker.Stop()
				continue
			}
			g.send(&quarantinepb.Evidence{Want: true}, sample(g.Peers(), syncRequestPeers))
		case <-refreshTicker.C:
			now := clock.Now()
			g.Ledger.Expire(now)
			g.sendItems(g.Ledger.Items(refreshMinCrashes, maxRefreshItems), sample(g.Peers(), refreshPeers), now)
		}
	}
}

// handle processes a received message.
func (g *Gossiper) handle(m received) {
	for _, p := range m.evidence.GetItems() {
		i, err := decodeItem(p, m.at)
		if err != nil {
			_ = level.Debug(g.Logger).Log("msg", "evidence dropped", "from", m.from, "err", err)
			continue
		}
		g.Ledger.Merge(i, m.at)
	}
	if m.evidence.GetInformed() {
		g.MarkSynced()
	}
	if m.evidence.GetWant() {
		g.reply(m.from)
	}
}

// reply sends the items of this box to a starting one, those with most crashes first. The last message
// says whether this box is synced.
func (g *Gossiper) reply(to *net.UDPAddr) {
	messages := encodeItems(g.Ledger.Items(1, maxReplyItems), clock.Now())
	if len(messages) == 0 {
		messages = []*quarantinepb.Evidence{{}}
	}
	messages[len(messages)-1].Informed = g.Synced()
	for _, m := range messages {
		g.send(m, []*net.UDPAddr{to})
	}
}

// sendDue sends the items that are due. It returns the time until the next one; false if none is left.
func (g *Gossiper) sendDue(now time.Time) (wait time.Duration, more bool) {
	local, relayed := g.takeDue(now)
	peers := g.Peers()
	direct := peers
	if len(peers) > maxDirectPeers {
		direct = sample(peers, fanout)
	}
	g.sendItems(g.items(local), direct, now)
	g.sendItems(g.items(relayed), sample(peers, fanout), now)
	return g.untilNextSend(now)
}

// takeDue returns the items that are due, with local changes apart from relayed ones, and schedules
// their next sends.
func (g *Gossiper) takeDue(now time.Time) (local, relayed []Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for f, p := range g.pending {
		if now.Before(p.next) {
			continue
		}
		if p.local {
			local = append(local, f)
		} else {
			relayed = append(relayed, f)
		}
		if p.sends--; p.sends <= 0 {
			delete(g.pending, f)
			continue
		}
		p.next = now.Add(p.delay)
		p.delay *= resendBackoffFactor
	}
	return local, relayed
}

// untilNextSend returns the time until the next item is due; false if there is none.
func (g *Gossiper) untilNextSend(now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait, more := time.Duration(0), false
	for _, p := range g.pending {
		if left := p.next.Sub(now); !more || left < wait {
			wait, more = max(left, 0), true
		}
	}
	return wait, more
}

func (g *Gossiper) items(list []Fingerprint) []Item {
	items := make([]Item, 0, len(list))
	for _, f := range list {
		if i, ok := g.Ledger.Item(f); ok {
			items = append(items, i)
		}
	}
	return items
}

func (g *Gossiper) sendItems(items []Item, to []*net.UDPAddr, now time.Time) {
	for _, m := range encodeItems(items, now) {
		g.send(m, to)
	}
}

func (g *Gossiper) send(e *quarantinepb.Evidence, to []*net.UDPAddr) {
	body, err := proto.Marshal(e)
	if err != nil || !g.Port.Send(datagramKind, body, to...) {
		_ = level.Warn(g.Logger).Log("msg", "sending evidence failed", "items", len(e.GetItems()), "bytes", len(body), "err", err)
	}
}

// sample returns up to n random peers.
func sample(peers []*net.UDPAddr, n int) []*net.UDPAddr {
	if len(peers) <= n {
		return peers
	}
	list := make([]*net.UDPAddr, 0, n)
	for _, i := range rand.Perm(len(peers))[:n] {
		list = append(list, peers[i])
	}
	return list
}
