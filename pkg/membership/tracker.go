package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"headhill.example/headhill/pkg/objectstore"
)

// Tracker maintains the view from the roster and from heartbeats.
type Tracker struct {
	self objectstore.Box

	mu      sync.Mutex
	roster  map[string]objectstore.Box
	peers   map[string]*peerState
	serving bool
	// listed is set while the box list contains this box.
	listed bool
	// leavingServers holds the backend servers that the box list reports as leaving.
	leavingServers map[string]bool
	view           *View
	changed        chan struct{}
}

// peerState is the state of a peer according to its heartbeats.
type peerState struct {
	incarnation   string
	lastHeartbeat time.Time
	linked        bool
	stopping      bool
	generation    uint64
	// advertised is the box list entry that the peer advertises for itself.
	advertised objectstore.Box
}

// unlistedPeerTTL is how long a box that is not in the box list is kept after its last
// heartbeat. During an outage the list may be missing a box for hours.
const unlistedPeerTTL = time.Minute

// isFresh reports whether a peer that is not in the box list is still in the view.
func (p *peerState) isFresh(now time.Time) bool {
	return p.advertised.Peer != "" && now.Sub(p.lastHeartbeat) < unlistedPeerTTL
}

// NewTracker returns a tracker whose view contains only this box.
func NewTracker(self objectstore.Box) *Tracker {
	t := &Tracker{
		self:    self,
		roster:  map[string]objectstore.Box{self.ID: self},
		peers:   make(map[string]*peerState),
		changed: make(chan struct{}),
	}
	t.view = t.computeView(time.Now())
	return t
}

// View returns the current view.
func (t *Tracker) View() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Changed returns a channel that is closed at the next change of the view.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// SetRoster replaces the roster. This box is always part of it.
func (t *Tracker) SetRoster(now time.Time, boxes []objectstore.Box) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster = make(map[string]objectstore.Box, len(boxes)+1)
	t.leavingServers = make(map[string]bool)
	for _, b := range boxes {
		switch {
		case b.Peer != "":
			t.roster[b.ID] = b
		case b.State == objectstore.BoxLeaving:
			t.leavingServers[b.ID] = true
		}
	}
	self := t.self
	b, listed := t.roster[self.ID]
	if listed {
		self.State = b.State
	}
	t.listed = listed
	t.roster[self.ID] = self
	t.updateView(now)
}

// Roster returns all boxes in the view, sorted by ID: those in the box list and those
// known only from heartbeats or peers.
func (t *Tracker) Roster() []objectstore.Box {
	v := t.View()
	list := make([]objectstore.Box, 0, len(v.Boxes))
	for i := range v.Boxes {
		list = append(list, v.Boxes[i].Box)
	}
	return list
}

// AddDiscovered adds boxes reported by a peer. Those that are not in the box list expire
// unless they send heartbeats.
func (t *Tracker) AddDiscovered(now time.Time, boxes []objectstore.Box) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range boxes {
		if _, listed := t.roster[b.ID]; listed || b.Peer == "" {
			continue
		}
		p := t.peerFor(b.ID)
		if !p.isFresh(now) {
			p.advertised, p.lastHeartbeat = b, now
		}
	}
	t.updateView(now)
}

// SetServing sets whether this box can own keys: a starting box cannot until it is ready,
// and a stopping box no longer can.
func (t *Tracker) SetServing(now time.Time, serving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serving = serving
	t.updateView(now)
}

// Serving reports whether this box can own keys.
func (t *Tracker) Serving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serving
}

// Heartbeat is the content of a peer's heartbeat.
type Heartbeat struct {
	Box         string
	Incarnation string
	Generation  uint64
	Stopping    bool
	// Hall, Region and Peer are the sender's own box list entry.
	Hall, Region, Peer string
}

// RecordHeartbeat updates the view with a heartbeat.
func (t *Tracker) RecordHeartbeat(now time.Time, h Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peerFor(h.Box)
	unchanged := p.linked && p.stopping == h.Stopping && t.isResponsive(now, p)
	p.incarnation = h.Incarnation
	p.lastHeartbeat = now
	p.linked = true
	p.generation = h.Generation
	p.stopping = h.Stopping
	p.advertised = objectstore.Box{ID: h.Box, Hall: h.Hall, Region: h.Region, Peer: h.Peer, State: objectstore.BoxLive}
	if !unchanged {
		t.updateView(now)
	}
}

// MarkLinkDown records that the link to a peer closed, which happens at once when its
// process dies. The peer is considered dead unless it sends a heartbeat soon.
func (t *Tracker) MarkLinkDown(now time.Time, box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peerFor(box)
	if limit := now.Add(linkDownFailureTimeout - failureTimeout(len(t.roster))); p.lastHeartbeat.After(limit) {
		p.lastHeartbeat = limit
	}
}

// HeardFromAll reports whether every other box of the roster has sent a heartbeat.
func (t *Tracker) HeardFromAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.roster {
		if id == t.self.ID {
			continue
		}
		if p := t.peers[id]; p == nil || p.lastHeartbeat.IsZero() {
			return false
		}
	}
	return true
}

// MarkLinked records that this box maintains a link to a peer, so that missing heartbeats
// mean that the peer failed.
func (t *Tracker) MarkLinked(box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerFor(box).linked = true
}

func (t *Tracker) peerFor(box string) *peerState {
	p := t.peers[box]
	if p == nil {
		p = &peerState{}
		t.peers[box] = p
	}
	return p
}

// HighestGeneration returns the highest configuration generation reported by a peer, and
// that peer.
func (t *Tracker) HighestGeneration() (box string, generation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		if p.generation > generation || (p.generation == generation && id < box) {
			box, generation = id, p.generation
		}
	}
	return box, generation
}

// Self returns this box as it appears in its own view.
func (t *Tracker) Self() Box {
	b, _ := t.View().Box(t.self.ID)
	return b
}

// CountWithGeneration returns how many of the other live boxes have at least the given
// configuration generation, and the number of other live boxes.
func (t *Tracker) CountWithGeneration(generation uint64) (have, live int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.view.Boxes {
		b := &t.view.Boxes[i]
		p := t.peers[b.ID]
		if b.ID == t.self.ID || !b.Live || p == nil {
			continue
		}
		live++
		if p.generation >= generation {
			have++
		}
	}
	return have, live
}

// ExpireHeartbeats updates the view if a linked peer has become responsive or
// unresponsive by now.
func (t *Tracker) ExpireHeartbeats(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		b, known := t.view.Box(id)
		if known && p.linked && b.Live != t.isResponsive(now, p) {
			t.updateView(now)
			return
		}
	}
}

func (t *Tracker) updateView(now time.Time) {
	v := t.computeView(now)
	if slices.Equal(v.Boxes, t.view.Boxes) && maps.Equal(v.leavingServers, t.view.leavingServers) {
		return
	}
	t.view = v
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Tracker) computeView(now time.Time) *View {
	v := &View{Self: t.self.ID, Boxes: make([]Box, 0, len(t.roster)), leavingServers: t.leavingServers}
	for id, b := range t.roster {
		v.Boxes = append(v.Boxes, t.boxState(now, id, b))
	}
	for id, p := range t.peers {
		if _, listed := t.roster[id]; !listed && id != t.self.ID && p.isFresh(now) {
			v.Boxes = append(v.Boxes, t.boxState(now, id, p.advertised))
		}
	}
	slices.SortFunc(v.Boxes, func(a, b Box) int { return strings.Compare(a.ID, b.ID) })
	return v
}

// isResponsive reports whether a linked peer sent a heartbeat within the failure timeout.
func (t *Tracker) isResponsive(now time.Time, p *peerState) bool {
	return now.Sub(p.lastHeartbeat) < failureTimeout(len(t.roster))
}

func (t *Tracker) boxState(now time.Time, id string, b objectstore.Box) Box {
	if id == t.self.ID {
		return Box{Box: b, Live: true, Stopping: !t.serving, Unlisted: !t.listed}
	}
	p := t.peers[id]
	if p == nil || !p.linked {
		return Box{Box: b, Live: b.State == objectstore.BoxLive}
	}
	return Box{Box: b, Live: t.isResponsive(now, p), Stopping: p.stopping}
}
