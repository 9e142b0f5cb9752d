package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"headhill.example/headhill/pkg/objectstore"
)

// Tracker works the view out from the roster and from heartbeats.
type Tracker struct {
	self objectstore.Box

	mu      sync.Mutex
	roster  map[string]objectstore.Box
	peers   map[string]*peerState
	serving bool
	// listed tells whether the box list shows this box.
	listed bool
	// leavingServers are entries of the box list that are no boxes of ours.
	leavingServers map[string]bool
	view           *View
	changed        chan struct{}
}

// peerState is what a box's heartbeats say.
type peerState struct {
	incarnation string
	heard       time.Time
	linked      bool
	stopping    bool
	generation  uint64
	// entry is what the box says of itself.
	entry objectstore.Box
}

// metFor is how long a box that the list does not show is kept after it was last
// heard. The list lags, and in an outage it may lack a box for hours.
const metFor = time.Minute

// met tells whether a peer counts although the list does not show it.
func (p *peerState) met(now time.Time) bool {
	return p.entry.Peer != "" && now.Sub(p.heard) < metFor
}

// NewTracker returns a tracker that knows only this box.
func NewTracker(self objectstore.Box) *Tracker {
	t := &Tracker{
		self:    self,
		roster:  map[string]objectstore.Box{self.ID: self},
		peers:   make(map[string]*peerState),
		changed: make(chan struct{}),
	}
	t.view = t.compute(time.Now())
	return t
}

// View returns the view as last worked out.
func (t *Tracker) View() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Changed returns a channel that is closed when the view next changes.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// SetRoster puts a newer box list in force. This box always belongs to it.
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
	t.update(now)
}

// Roster returns the boxes that this one knows of, by ID: those of the list in
// force and those that it only heard.
func (t *Tracker) Roster() []objectstore.Box {
	v := t.View()
	list := make([]objectstore.Box, 0, len(v.Boxes))
	for i := range v.Boxes {
		list = append(list, v.Boxes[i].Box)
	}
	return list
}

// AddDiscovered takes in boxes that a peer knows of. Those that the list does not show are
// kept while they are heard.
func (t *Tracker) AddDiscovered(now time.Time, boxes []objectstore.Box) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range boxes {
		if _, listed := t.roster[b.ID]; listed || b.Peer == "" {
			continue
		}
		p := t.peer(b.ID)
		if !p.met(now) {
			p.entry, p.heard = b, now
		}
	}
	t.update(now)
}

// SetServing says whether this box can own anything: a starting box can't before
// it is ready, and a stopping one can't any more.
func (t *Tracker) SetServing(now time.Time, serving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serving = serving
	t.update(now)
}

// Serving tells whether this box can own anything.
func (t *Tracker) Serving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serving
}

// Heartbeat is what a peer said of itself.
type Heartbeat struct {
	Box         string
	Incarnation string
	Generation  uint64
	Stopping    bool
	// Hall, Region and Peer are the sender's own entry of the box list.
	Hall, Region, Peer string
}

// RecordHeartbeat takes a heartbeat in.
func (t *Tracker) RecordHeartbeat(now time.Time, h Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(h.Box)
	known := p.linked && p.stopping == h.Stopping && t.answers(now, p)
	p.incarnation = h.Incarnation
	p.heard = now
	p.linked = true
	p.generation = h.Generation
	p.stopping = h.Stopping
	p.entry = objectstore.Box{ID: h.Box, Hall: h.Hall, Region: h.Region, Peer: h.Peer, State: objectstore.BoxLive}
	if !known {
		t.update(now)
	}
}

// MarkLinkDown says that the link to a peer broke, as it does at once when its
// process dies. Unless it is heard again soon, it is not relied on.
func (t *Tracker) MarkLinkDown(now time.Time, box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(box)
	if limit := now.Add(brokenDeadAfter - deadAfter(len(t.roster))); p.heard.After(limit) {
		p.heard = limit
	}
}

// HeardFromAll tells whether every box of the roster sent a heartbeat at some time.
func (t *Tracker) HeardFromAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.roster {
		if id == t.self.ID {
			continue
		}
		if p := t.peers[id]; p == nil || p.heard.IsZero() {
			return false
		}
	}
	return true
}

// MarkLinked says that this box tries to keep a link to a peer, so that its silence
// means something.
func (t *Tracker) MarkLinked(box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peer(box).linked = true
}

func (t *Tracker) peer(box string) *peerState {
	p := t.peers[box]
	if p == nil {
		p = &peerState{}
		t.peers[box] = p
	}
	return p
}

// HighestGeneration returns the box that said the highest configuration generation.
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

// Self returns this box as its view shows it.
func (t *Tracker) Self() Box {
	b, _ := t.View().Box(t.self.ID)
	return b
}

// CountWithGeneration counts the other live boxes, and those of them that said that they have a
// configuration generation in force.
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

// ExpireHeartbeats lets time pass: silent boxes stop being live. It looks at the linked peers
// only, and works the view out anew only if one of them changed.
func (t *Tracker) ExpireHeartbeats(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		b, known := t.view.Box(id)
		if known && p.linked && b.Live != t.answers(now, p) {
			t.update(now)
			return
		}
	}
}

func (t *Tracker) update(now time.Time) {
	v := t.compute(now)
	if slices.Equal(v.Boxes, t.view.Boxes) && maps.Equal(v.leavingServers, t.view.leavingServers) {
		return
	}
	t.view = v
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Tracker) compute(now time.Time) *View {
	v := &View{Self: t.self.ID, Boxes: make([]Box, 0, len(t.roster)), leavingServers: t.leavingServers}
	for id, b := range t.roster {
		v.Boxes = append(v.Boxes, t.judge(now, id, b))
	}
	for id, p := range t.peers {
		if _, listed := t.roster[id]; !listed && id != t.self.ID && p.met(now) {
			v.Boxes = append(v.Boxes, t.judge(now, id, p.entry))
		}
	}
	slices.SortFunc(v.Boxes, func(a, b Box) int { return strings.Compare(a.ID, b.ID) })
	return v
}

// answers tells whether a linked peer was heard lately enough to be relied on.
func (t *Tracker) answers(now time.Time, p *peerState) bool {
	return now.Sub(p.heard) < deadAfter(len(t.roster))
}

func (t *Tracker) judge(now time.Time, id string, b objectstore.Box) Box {
	if id == t.self.ID {
		return Box{Box: b, Live: true, Stopping: !t.serving, Unlisted: !t.listed}
	}
	p := t.peers[id]
	if p == nil || !p.linked {
		return Box{Box: b, Live: b.State == objectstore.BoxLive}
	}
	return Box{Box: b, Live: t.answers(now, p), Stopping: p.stopping}
}
