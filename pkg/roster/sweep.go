package roster

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/stall"
)

// Kinds of datagrams.
const (
	kindPing = "ping"
	kindPong = "pong"
)

const (
	// pingAfter is how long a box may send nothing before it is pinged.
	pingAfter = 30 * time.Second
	// removeAfter and minPings are how long and how often a box must have been pinged without
	// a response before it is removed.
	removeAfter = time.Minute
	minPings    = 5
	// A sweep pings up to pingsPerSweep boxes, or the fraction pingShare of all boxes if
	// that is more. With a sweep every second or two, most boxes respond within pingAfter.
	pingsPerSweep = 4
	pingShare     = 0.1
)

// maxPingsPerSweep returns how many boxes of a fleet are pinged in one sweep.
func maxPingsPerSweep(boxes int) int { return max(pingsPerSweep, int(pingShare*float64(boxes))) }

// Sweeper removes boxes from the roster that crashed without deregistering. It relies on
// received datagrams and the monotonic clock only, since wall clocks differ between boxes.
type Sweeper struct {
	roster *Roster
	port   *datagram.Port
	logger log.Logger
	now    func() time.Time

	mu sync.Mutex
	// lastReceived is when each box last sent a datagram, unanswered the boxes that have not
	// responded to a ping.
	lastReceived map[string]time.Time
	unanswered   map[string]unansweredBox
}

// unansweredBox is a box that was pinged without a response.
type unansweredBox struct {
	since time.Time
	pings int
}

// NewSweeper returns a Sweeper and registers its handlers on the port.
func NewSweeper(r *Roster, port *datagram.Port, logger log.Logger) *Sweeper {
	s := &Sweeper{roster: r, port: port, logger: logger, now: time.Now, lastReceived: make(map[string]time.Time), unanswered: make(map[string]unansweredBox)}
	port.OnReceive(s.recordReceived)
	port.Handle(kindPing, func(m datagram.Message) { port.Send(kindPong, nil, m.From) })
	port.Handle(kindPong, func(datagram.Message) {})
	return s
}

func (s *Sweeper) recordReceived(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived[box] = s.now()
	delete(s.unanswered, box)
}

// Sweep pings some of the boxes that have been silent, and removes those that have not responded
// for long. It is called after each refresh of the roster.
func (s *Sweeper) Sweep(ctx context.Context) {
	toPing, toRemove := s.classify(s.roster.Entries(), s.now())
	for _, e := range toPing {
		if address := e.Address(); address != nil {
			s.port.Send(kindPing, nil, address)
		}
	}
	for _, e := range toRemove {
		s.roster.remove(ctx, e)
	}
}

// classify returns the boxes to ping and those to remove.
func (s *Sweeper) classify(entries []Entry, now time.Time) (toPing, toRemove []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictUnlisted(entries)
	responding := 0
	for _, e := range entries {
		if e.Box == s.roster.self.Box {
			continue
		}
		received, known := s.lastReceived[e.Box]
		if !known {
			s.lastReceived[e.Box] = now
			continue
		}
		if now.Sub(received) <= pingAfter {
			responding++
			continue
		}
		b, pinged := s.unanswered[e.Box]
		if !pinged {
			b.since = now
		}
		if pinged && b.pings >= minPings && now.Sub(b.since) >= removeAfter {
			toRemove = append(toRemove, e)
			continue
		}
		if len(toPing) < maxPingsPerSweep(len(entries)) {
			b.pings++
			s.unanswered[e.Box] = b
			toPing = append(toPing, e)
		}
	}
	// A box that receives datagrams from few others may be partitioned itself.
	if 2*responding < len(entries)-1-len(toRemove) || responding == 0 {
		toRemove = nil
	}
	return toPing, toRemove
}

// evictUnlisted deletes the state of boxes that are no longer in the roster.
func (s *Sweeper) evictUnlisted(entries []Entry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Box] = true
	}
	for box := range s.lastReceived {
		if !listed[box] {
			delete(s.lastReceived, box)
			delete(s.unanswered, box)
		}
	}
}

// remove deletes the entry of a failed box from the store.
func (r *Roster) remove(ctx context.Context, e Entry) {
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	err := r.store.Deregister(ctx, e)
	_ = level.Info(r.logger).Log("msg", "unresponsive box removed from roster", "box", e.Box, "reason", "no response to pings", "err", err)
}
