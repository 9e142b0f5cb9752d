package fairshare

import (
	"math"
	"sync"
	"time"
)

const (
	// MaxReported limits the usages in a box's report, MaxSummarised those in a relay's summary.
	MaxReported   = 32
	MaxSummarised = 64
	// PeerTTL is how long the usages of other boxes count after they were received.
	PeerTTL = 5 * time.Second
	// levelInterval is how long a fair level is used. It limits the cost of computing it to a
	// fraction of a percent of a core at MaxTracked organisations.
	levelInterval = 100 * time.Millisecond
)

// Tracker keeps the usage of organisations at this box and, as reported, at the other boxes. It is
// safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	own    table
	peers  peers
	levels map[Group]level
	// disabled is set while nothing is counted.
	disabled bool
}

// peers holds the usages of the other boxes.
type peers struct {
	groups     map[Group]map[uint32]Usage
	receivedAt time.Time
	// floors holds, by group, the smallest use by all boxes of an organisation listed, but no more than
	// the smallest size of all groups, as the list was cut by size. It is set only if others
	// may have been left out.
	floors map[Group]float64
}

// level is the fair level of a group, computed at a time.
type level struct {
	level     float64
	contended bool
	at        time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	t := &Tracker{}
	t.clear()
	return t
}

// SetEnabled sets whether usage is counted. While it is not, a tracker holds no usage. A request
// that read the settings before they changed may count afterwards, which has no effect then.
func (t *Tracker) SetEnabled(enabled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.disabled = !enabled; t.disabled {
		t.clear()
	}
}

// clear forgets all usage.
func (t *Tracker) clear() {
	t.own = table{groups: make(map[Group]map[uint32]sums)}
	t.peers = peers{}
	t.levels = make(map[Group]level)
}

// Admitted counts the tokens of a request that is sent to a server.
func (t *Tracker) Admitted(k Key, tokens int, now time.Time) { t.add(k, float64(tokens), 0, now) }

// Refund takes back tokens that were counted as admitted, as the request did not run.
func (t *Tracker) Refund(k Key, tokens int, now time.Time) { t.add(k, -float64(tokens), 0, now) }

// Refused counts the tokens of a request that was refused for lack of capacity.
func (t *Tracker) Refused(k Key, tokens int, now time.Time) { t.add(k, 0, float64(tokens), now) }

func (t *Tracker) add(k Key, admitted, refused float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.disabled {
		return
	}
	t.own.add(k.ID(), admitted, refused, now)
}

// Standing returns how an organisation's use compares with its fair share.
func (t *Tracker) Standing(k Key, now time.Time) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := k.ID()
	return t.standing(id, t.own.get(id, now).admitted, now)
}

// standing is like Standing, given the tokens admitted by this box.
func (t *Tracker) standing(id ID, own float64, now time.Time) Standing {
	l := t.levelOf(id.Group, now)
	if l.level <= 0 {
		return Standing{Ratio: 1, Contended: l.contended}
	}
	return Standing{Ratio: min(t.peers.use(id, own, now)/l.level, maxRatio), Contended: l.contended}
}

// levelOf returns the fair level of a group, at most levelInterval old. The time may be earlier than
// that of the level, as callers read the clock before they wait for the lock.
func (t *Tracker) levelOf(g Group, now time.Time) level {
	if l, ok := t.levels[g]; ok && now.Sub(l.at).Abs() < levelInterval {
		return l
	}
	l := level{at: now}
	l.level, l.contended = FairLevel(t.usages(g, now))
	if t.levels[g] = l; len(t.levels) > MaxTracked {
		clear(t.levels)
	}
	return l
}

// usages returns the use of a group by all boxes.
func (t *Tracker) usages(g Group, now time.Time) []Usage {
	list := t.own.usages(g, now)
	if !t.peers.fresh(now) {
		return list
	}
	own := t.own.groups[g]
	for i, u := range list {
		list[i].Admitted = t.peers.use(u.ID, u.Admitted, now)
		list[i].Refused += t.peers.groups[g][u.Organisation].Refused
	}
	for organisation, u := range t.peers.groups[g] {
		if _, counted := own[organisation]; !counted {
			list = append(list, u)
		}
	}
	return list
}

// fresh reports whether the usages of the other boxes count.
func (p *peers) fresh(now time.Time) bool {
	return len(p.groups) > 0 && now.Sub(p.receivedAt) <= PeerTTL
}

// use returns the tokens of an organisation that all boxes have admitted, given those of this box.
// An organisation that a full list leaves out counts as the smallest one listed.
func (p *peers) use(id ID, own float64, now time.Time) float64 {
	if !p.fresh(now) {
		return own
	}
	if u, listed := p.groups[id.Group][id.Organisation]; listed {
		return own + u.Admitted
	}
	return max(own, p.floors[id.Group])
}

// Enabled reports whether usages are tracked.
func (t *Tracker) Enabled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.disabled
}

// SetPeers replaces the usages of the other boxes. A list of MaxSummarised usages counts as one from
// which smaller ones have been left out.
func (t *Tracker) SetPeers(list []Usage, now time.Time) {
	t.setPeers(list, len(list) >= MaxSummarised, now)
}

// SetLargestPeers is SetPeers for a list of any length from which smaller usages have been left out.
func (t *Tracker) SetLargestPeers(list []Usage, now time.Time) { t.setPeers(list, true, now) }

func (t *Tracker) setPeers(list []Usage, cut bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.disabled {
		return
	}
	t.peers = peers{groups: make(map[Group]map[uint32]Usage), receivedAt: now, floors: make(map[Group]float64)}
	for _, u := range list {
		if t.peers.groups[u.Group] == nil {
			t.peers.groups[u.Group] = make(map[uint32]Usage)
		}
		t.peers.groups[u.Group][u.Organisation] = u
	}
	if !cut {
		return
	}
	smallest := math.Inf(1)
	for _, u := range list {
		smallest = min(smallest, u.total()+t.own.get(u.ID, now).total())
	}
	for g, usages := range t.peers.groups {
		floor := smallest
		for _, u := range usages {
			floor = min(floor, u.Admitted+t.own.get(u.ID, now).admitted)
		}
		t.peers.floors[g] = floor
	}
}

// Report returns the usages of this box to send to the other boxes: the largest of the groups in
// which this box or another one has refused requests.
func (t *Tracker) Report(now time.Time) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Usage
	for g := range t.own.groups {
		usages := t.own.usages(g, now)
		if t.refusedIn(g, usages, now) {
			list = append(list, usages...)
		}
	}
	return Largest(list, MaxReported)
}

// refusedIn reports whether this box, whose usages are given, or another one has refused requests
// of a group.
func (t *Tracker) refusedIn(g Group, own []Usage, now time.Time) bool {
	refused := 0.0
	for _, u := range own {
		refused += u.Refused
	}
	if t.peers.fresh(now) {
		for _, u := range t.peers.groups[g] {
			refused += u.Refused
		}
	}
	return refused >= minTokens
}

// State describes a tracker for metrics.
type State struct {
	// Organisations is the number of organisations tracked, counted by service and rank.
	Organisations int
	// Contended is the number of services and ranks of which requests are refused.
	Contended int
	// Above is the number of tracked organisations whose use is above 1.25 times the fair level.
	Above int
	// MaxRatio is the largest ratio of an organisation that this box tracks, zero if none is contended.
	MaxRatio float64
}

// State returns the state at a time.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s State
	for g := range t.own.groups {
		usages := t.own.usages(g, now)
		s.Organisations += len(usages)
		if !t.levelOf(g, now).contended {
			continue
		}
		s.Contended++
		for _, u := range usages {
			ratio := t.standing(u.ID, u.Admitted, now).Ratio
			s.MaxRatio = max(s.MaxRatio, ratio)
			if ratio > highRatio {
				s.Above++
			}
		}
	}
	return s
}
