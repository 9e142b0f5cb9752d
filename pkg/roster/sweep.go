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
	// silentAfter is how long a box may say nothing before it is asked whether it is
	// there.
	silentAfter = 30 * time.Second
	// goneAfter and pingsLeast are how long and how often a box must have been asked
	// in vain to be taken out.
	goneAfter  = time.Minute
	pingsLeast = 5
	// pingsAtOnce bounds the boxes that are asked with one sweep, pingShare is the part of
	// all boxes that may be asked where that is more: sweeps come each second or two, and
	// within silentAfter most boxes must have been heard.
	pingsAtOnce = 4
	pingShare   = 0.1
)

// pingsMost is how many of some boxes are asked with one sweep.
func pingsMost(boxes int) int { return max(pingsAtOnce, int(pingShare*float64(boxes))) }

// Sweeper takes boxes out of the roster that are gone for good without having said so.
// Only what it hears counts, by the steady clock: the time of day of boxes differs.
type Sweeper struct {
	roster *Roster
	port   *datagram.Port
	logger log.Logger
	now    func() time.Time

	mu sync.Mutex
	// heard is when each box was last heard, silent which are asked in vain.
	heard  map[string]time.Time
	silent map[string]silentBox
}

// silentBox is one that is asked in vain.
type silentBox struct {
	since time.Time
	pings int
}

// NewSweeper returns a sweeper that hears the port's messages from now on.
func NewSweeper(r *Roster, port *datagram.Port, logger log.Logger) *Sweeper {
	s := &Sweeper{roster: r, port: port, logger: logger, now: time.Now, heard: make(map[string]time.Time), silent: make(map[string]silentBox)}
	port.OnReceive(s.hear)
	port.Handle(kindPing, func(m datagram.Message) { port.Send(kindPong, nil, m.From) })
	port.Handle(kindPong, func(datagram.Message) {})
	return s
}

func (s *Sweeper) hear(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[box] = s.now()
	delete(s.silent, box)
}

// Sweep asks some boxes that have fallen silent whether they are there, and takes out
// those that have not answered for long. It is called after each reading of the roster.
func (s *Sweeper) Sweep(ctx context.Context) {
	ask, gone := s.look(s.roster.Entries(), s.now())
	for _, e := range ask {
		if address := e.Address(); address != nil {
			s.port.Send(kindPing, nil, address)
		}
	}
	for _, e := range gone {
		s.roster.remove(ctx, e)
	}
}

// look tells which boxes are to be asked, and which are gone.
func (s *Sweeper) look(entries []Entry, now time.Time) (ask, gone []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(entries)
	answering := 0
	for _, e := range entries {
		if e.Box == s.roster.self.Box {
			continue
		}
		heard, known := s.heard[e.Box]
		if !known {
			s.heard[e.Box] = now
			continue
		}
		if now.Sub(heard) <= silentAfter {
			answering++
			continue
		}
		b, asked := s.silent[e.Box]
		if !asked {
			b.since = now
		}
		if asked && b.pings >= pingsLeast && now.Sub(b.since) >= goneAfter {
			gone = append(gone, e)
			continue
		}
		if len(ask) < pingsMost(len(entries)) {
			b.pings++
			s.silent[e.Box] = b
			ask = append(ask, e)
		}
	}
	// A box that hears few others may be cut off itself.
	if 2*answering < len(entries)-1-len(gone) || answering == 0 {
		gone = nil
	}
	return ask, gone
}

// forget drops what is known of boxes that the roster has not any more.
func (s *Sweeper) forget(entries []Entry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Box] = true
	}
	for box := range s.heard {
		if !listed[box] {
			delete(s.heard, box)
			delete(s.silent, box)
		}
	}
}

// remove takes the entry of a box that is gone out of the store.
func (r *Roster) remove(ctx context.Context, e Entry) {
	ctx, cancel := stall.WithLimits(ctx, r.limits)
	defer cancel()
	err := r.store.Deregister(ctx, e)
	_ = level.Info(r.logger).Log("msg", "box taken out of the roster", "box", e.Box, "reason", "it has not answered for long", "err", err)
}
