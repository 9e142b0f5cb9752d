package balancer

import (
	"time"

	"headhill.example/headhill/pkg/routing"
)

// PendingPrefill is how many tokens wait to be prefilled for requests of each rank.
type PendingPrefill [routing.MaxRank + 1]int

// add counts tokens of a rank, fewer than none for those that wait no more.
func (w *PendingPrefill) add(rank, tokens int) { w[rank] = max(0, w[rank]+tokens) }

// plus is what waits in both.
func (w PendingPrefill) plus(o PendingPrefill) PendingPrefill {
	for rank := range w {
		w[rank] += o[rank]
	}
	return w
}

// minus is what waits without a part of it, which may be newer than the whole.
func (w PendingPrefill) minus(o PendingPrefill) PendingPrefill {
	for rank := range w {
		w[rank] = max(0, w[rank]-o[rank])
	}
	return w
}

// before is how many tokens are prefilled before those of a new request of a rank: engines take
// the more urgent first, and among equals the one that came first.
func (w *PendingPrefill) before(rank int) int {
	sum := 0
	for _, tokens := range w[:rank+1] {
		sum += tokens
	}
	return sum
}

// QueueEstimate is when a new request of a rank has its turn at the engines of a service.
type QueueEstimate struct {
	// Wait is how long the engines need for what is before it.
	Wait time.Duration
	// Overtakes tells that more waits which is less urgent than what is before it: the engines take
	// the request before that, though it holds places already.
	Overtakes bool
	// MoreUrgentSeen tells that more urgent requests came of late, for which places are to be kept.
	MoreUrgentSeen bool
}

const (
	// urgentFor is how long a rank counts as one whose requests come.
	urgentFor = 10 * time.Second
	// placesFew is how many places an engine has of which none are kept: a share of fewer is a
	// place or two, and what waits for one has it soon.
	placesFew = 8
)

// ranksSeen is when requests came to this box.
type ranksSeen struct {
	// first is when any came, latest when one of each rank last did.
	first  time.Time
	latest [routing.MaxRank + 1]time.Time
}

func (s *ranksSeen) note(rank int, now time.Time) {
	if s.first.IsZero() {
		s.first = now
	}
	s.latest[rank] = now
}

// urgent tells whether requests that are more urgent than a rank came of late. A box that has not
// looked for long enough takes it that they do: most overloads hit boxes that have just started.
func (s *ranksSeen) urgent(rank int, now time.Time) bool {
	if rank > 0 && now.Sub(s.first) < urgentFor {
		return true
	}
	for _, at := range s.latest[:rank] {
		if !at.IsZero() && now.Sub(at) < urgentFor {
			return true
		}
	}
	return false
}

// EstimateQueue estimates when a new request of a rank has its turn at the engines of a service, with so
// many servers that take work. It returns false while too little is known.
func (b *Balancer) EstimateQueue(service string, rank, servers int, now time.Time) (QueueEstimate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.lanesOf(service)
	l.seen.note(rank, now)
	turn := QueueEstimate{MoreUrgentSeen: l.seen.urgent(rank, now)}
	d := l.report(now)
	if b.othersKnown(now) {
		d = d.Plus(l.others)
	}
	speed := d.speed() * float64(servers)
	if speed == 0 {
		return turn, false
	}
	before, all := d.PendingPrefill.before(rank), d.PendingPrefill.before(routing.MaxRank)
	turn.Wait = time.Duration(float64(before) / speed * float64(time.Second))
	turn.Overtakes = all-before > before
	return turn, true
}

// hasPlace tells whether a request may go to a server by the places that are taken there.
func hasPlace(s *routing.Server, l Load, places float64) bool {
	return s.Slots < placesFew || float64(l.Running) < places*float64(s.Slots)
}

// withPlaces leaves out engines on which too many places are taken for a request; if that leaves
// none, it leaves out none.
func withPlaces(q Query, choices []choice) []choice {
	if !q.Engine || q.MaxOccupancy == 0 {
		return choices
	}
	fit := make([]choice, 0, len(choices))
	for i := range choices {
		if hasPlace(choices[i].Server, choices[i].load, q.MaxOccupancy) {
			fit = append(fit, choices[i])
		}
	}
	if len(fit) == 0 {
		return choices
	}
	return fit
}

// HasFreeSlot tells whether any of some engines has a place for a request that may go where a share
// of the places is taken.
func (b *Balancer) HasFreeSlot(servers []routing.Server, places float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range servers {
		s := &servers[i]
		key := KeyOf(s.Incarnation())
		l := b.other(key, now)
		if own, ok := b.servers[key]; ok {
			l = l.Plus(own.load())
		}
		if hasPlace(s, l, places) {
			return true
		}
	}
	return false
}
