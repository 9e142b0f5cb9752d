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
	// kind marks the datagrams of this package.
	kind = "quarantine"
	// directMost is how many other boxes are told directly. With more, each box tells
	// fanout others, drawn anew for each message, and these tell on what they did not know:
	// of 300 boxes 99 in 100 hear of an item so, within three steps, and the repeats reach
	// the rest.
	directMost = 24
	fanout     = 6
	// gatherPause lets what comes close together go out together.
	gatherPause = 5 * time.Millisecond
	// sendsOwn is how often what this box has found out is told, sendsPassed how often what it
	// passes on; sendPause lies between, growing by sendGrowth.
	sendsOwn    = 3
	sendsPassed = 1
	sendPause   = 100 * time.Millisecond
	sendGrowth  = 3
	// refreshPause is how often the most suspect requests, those with refreshLeast ends, are
	// told again to refreshPeers boxes, so that one that missed all of it learns of them: a
	// box hears from two others a second on average. At most refreshMost are told.
	refreshPause = time.Second
	refreshLeast = 2
	refreshPeers = 2
	refreshMost  = 50
	// askPause is how often a box that has just started asks askPeers others what they know;
	// answerMost bounds the items of the answer.
	askPause   = 150 * time.Millisecond
	askPeers   = 3
	answerMost = 400
	inboxMost  = 256
)

// SharerDeps are what a Sharer is built on.
type SharerDeps struct {
	Port *datagram.Port
	// Peers are the addresses of the other boxes.
	Peers  func() []*net.UDPAddr
	Ledger *Ledger
	Logger log.Logger
}

// Sharer tells other boxes what this one's ledger learns, and the ledger what they tell.
type Sharer struct {
	SharerDeps
	kick  chan struct{}
	inbox chan received

	mu sync.Mutex
	// rumours are the items that are being told.
	rumours  map[Fingerprint]*rumour
	informed bool
}

// rumour is an item that is told some times more.
type rumour struct {
	own   bool
	sends int
	next  time.Time
	pause time.Duration
}

// received is a message that has arrived.
type received struct {
	from     *net.UDPAddr
	at       time.Time
	evidence *quarantinepb.Evidence
}

// NewSharer returns a sharer that hears the port's messages from now on.
func NewSharer(d SharerDeps) *Sharer {
	s := &Sharer{SharerDeps: d, kick: make(chan struct{}, 1), inbox: make(chan received, inboxMost), rumours: make(map[Fingerprint]*rumour)}
	d.Port.Handle(kind, s.receive)
	d.Ledger.onChange = s.noteChange
	return s
}

// receive decodes a message and hands it to the sharer's goroutine.
func (s *Sharer) receive(m datagram.Message) {
	e := &quarantinepb.Evidence{}
	if err := proto.Unmarshal(m.Body, e); err != nil {
		_ = level.Debug(s.Logger).Log("msg", "evidence dropped", "from", m.Box, "err", err)
		return
	}
	select {
	case s.inbox <- received{from: m.From, at: m.Received, evidence: e}:
	default:
		_ = level.Debug(s.Logger).Log("msg", "evidence dropped", "from", m.Box, "err", "too many messages wait")
	}
}

// noteChange lets an item be told.
func (s *Sharer) noteChange(f Fingerprint, own bool) {
	r := &rumour{own: own, sends: sendsPassed, pause: sendPause}
	if own {
		r.sends = sendsOwn
	}
	s.mu.Lock()
	if before, ok := s.rumours[f]; ok {
		r.own = r.own || before.own
		r.sends = max(r.sends, before.sends)
	}
	s.rumours[f] = r
	s.mu.Unlock()
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Informed tells whether this box knows what the store's record tells, by itself or by others.
func (s *Sharer) Informed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.informed
}

// SetInformed says that this box knows what the store's record tells.
func (s *Sharer) SetInformed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.informed = true
}

// Run shares until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	refresh := time.NewTicker(refreshPause)
	defer refresh.Stop()
	ask := time.NewTicker(askPause)
	defer ask.Stop()
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.inbox:
			s.take(in)
		case <-s.kick:
			again.Reset(gatherPause)
		case <-again.C:
			if wait, more := s.tell(clock.Now()); more {
				again.Reset(wait)
			}
		case <-ask.C:
			if s.Informed() {
				ask.Stop()
				continue
			}
			s.send(&quarantinepb.Evidence{Want: true}, draw(s.Peers(), askPeers))
		case <-refresh.C:
			now := clock.Now()
			s.Ledger.Forget(now)
			s.sendItems(s.Ledger.Items(refreshLeast, refreshMost), draw(s.Peers(), refreshPeers), now)
		}
	}
}

// take takes a message in.
func (s *Sharer) take(in received) {
	for _, p := range in.evidence.GetItems() {
		i, err := decodeItem(p, in.at)
		if err != nil {
			_ = level.Debug(s.Logger).Log("msg", "evidence dropped", "from", in.from, "err", err)
			continue
		}
		s.Ledger.Take(i, in.at)
	}
	if in.evidence.GetInformed() {
		s.SetInformed()
	}
	if in.evidence.GetWant() {
		s.answer(in.from)
	}
}

// answer tells a box that has just started what this one knows, the most suspect first. The last
// message says whether that is all there is to know.
func (s *Sharer) answer(to *net.UDPAddr) {
	messages := encode(s.Ledger.Items(1, answerMost), clock.Now())
	if len(messages) == 0 {
		messages = []*quarantinepb.Evidence{{}}
	}
	messages[len(messages)-1].Informed = s.Informed()
	for _, m := range messages {
		s.send(m, []*net.UDPAddr{to})
	}
}

// tell sends the rumours that are due. It returns when the next one is.
func (s *Sharer) tell(now time.Time) (wait time.Duration, more bool) {
	own, passed := s.due(now)
	peers := s.Peers()
	direct := peers
	if len(peers) > directMost {
		direct = draw(peers, fanout)
	}
	s.sendItems(s.items(own), direct, now)
	s.sendItems(s.items(passed), draw(peers, fanout), now)
	return s.nextDue(now)
}

// due takes the rumours whose time has come: what this box has found out, and what it passes on.
func (s *Sharer) due(now time.Time) (own, passed []Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, r := range s.rumours {
		if now.Before(r.next) {
			continue
		}
		if r.own {
			own = append(own, f)
		} else {
			passed = append(passed, f)
		}
		if r.sends--; r.sends <= 0 {
			delete(s.rumours, f)
			continue
		}
		r.next = now.Add(r.pause)
		r.pause *= sendGrowth
	}
	return own, passed
}

func (s *Sharer) nextDue(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, more := time.Duration(0), false
	for _, r := range s.rumours {
		if left := r.next.Sub(now); !more || left < wait {
			wait, more = max(left, 0), true
		}
	}
	return wait, more
}

func (s *Sharer) items(list []Fingerprint) []Item {
	items := make([]Item, 0, len(list))
	for _, f := range list {
		if i, ok := s.Ledger.Item(f); ok {
			items = append(items, i)
		}
	}
	return items
}

func (s *Sharer) sendItems(items []Item, to []*net.UDPAddr, now time.Time) {
	for _, m := range encode(items, now) {
		s.send(m, to)
	}
}

func (s *Sharer) send(e *quarantinepb.Evidence, to []*net.UDPAddr) {
	body, err := proto.Marshal(e)
	if err != nil || !s.Port.Send(kind, body, to...) {
		_ = level.Warn(s.Logger).Log("msg", "evidence not sent", "items", len(e.GetItems()), "bytes", len(body), "err", err)
	}
}

// draw returns some of the boxes, by chance.
func draw(peers []*net.UDPAddr, most int) []*net.UDPAddr {
	if len(peers) <= most {
		return peers
	}
	list := make([]*net.UDPAddr, 0, most)
	for _, i := range rand.Perm(len(peers))[:most] {
		list = append(list, peers[i])
	}
	return list
}
