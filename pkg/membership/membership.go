// Package membership knows which boxes there are and which of them answer.
//
// The platform's box list is the roster: it lags, and while it is away the last
// one stays in force. Heartbeats between boxes say who answers now. From both
// follows a View, and from a View, by rendezvous hashing, who owns what. No box
// is appointed to anything.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/platform"
)

const (
	// HeartbeatEvery is the time between two heartbeats on a link, and DeadAfter
	// the silence after which a box is not relied on any more.
	HeartbeatEvery = 250 * time.Millisecond
	DeadAfter      = 1500 * time.Millisecond
	// The same in a fleet beyond MeshSize, where links are many. A process that
	// dies is noticed by its broken links all the same.
	sparseHeartbeatEvery = time.Second
	sparseDeadAfter      = 3500 * time.Millisecond
	// brokenDeadAfter is the same for a box whose link just broke: long enough to
	// make the link anew, if the box is still there.
	brokenDeadAfter = 300 * time.Millisecond
	// MeshSize is the largest roster in which every box links to every other.
	MeshSize = 32
	// ringLinks is the number of links a box keeps in a larger roster, besides
	// those to the owners that it uses.
	ringLinks = 8
)

// Box is a box as this one sees it.
type Box struct {
	platform.Box
	// Live boxes answered lately; boxes without a link count as live while the
	// roster says so.
	Live bool
	// Stopping boxes said that they own nothing: they stop, or are not ready yet.
	Stopping bool
}

// View is who is there, at one moment. It is immutable.
type View struct {
	Self  string
	Boxes []Box // by ID
	// leavingServers are backend servers that the box list shows as leaving.
	leavingServers map[string]bool

	// owners remembers what Owner worked out: at the target size the roster has
	// 1,700 boxes, and every reservation asks.
	owners sync.Map // of Key to string
}

// Box returns a box by its ID.
func (v *View) Box(id string) (Box, bool) {
	i, ok := slices.BinarySearchFunc(v.Boxes, id, func(b Box, id string) int { return strings.Compare(b.ID, id) })
	if !ok {
		return Box{}, false
	}
	return v.Boxes[i], true
}

// ServerLeaving tells whether the platform's box list shows a backend server of
// this name as leaving.
func (v *View) ServerLeaving(name string) bool { return v.leavingServers[name] }

// eligible boxes can own something.
func (b *Box) eligible() bool { return b.Live && !b.Stopping && b.State != platform.BoxLeaving }

// LiveCount returns the number of live boxes, and of all boxes in the roster.
func (v *View) LiveCount() (live, all int) {
	for i := range v.Boxes {
		if v.Boxes[i].Live {
			live++
		}
	}
	return live, len(v.Boxes)
}

// Owner returns the box that owns key: the first eligible box in rendezvous
// order, boxes of the hall before others. It returns "" when none is eligible.
func (v *View) Owner(key, hall string) string {
	k := Key{Name: key, Hall: hall}
	if o, ok := v.owners.Load(k); ok {
		return o.(string)
	}
	o := v.owner(key, hall)
	v.owners.Store(k, o)
	return o
}

func (v *View) owner(key, hall string) string {
	best := ""
	var bestScore uint64
	bestNear := false
	for i := range v.Boxes {
		b := &v.Boxes[i]
		if !b.eligible() {
			continue
		}
		near := hall != "" && b.Hall == hall
		s := score(b.ID, key)
		if best == "" || (near && !bestNear) || (near == bestNear && s > bestScore) {
			best, bestScore, bestNear = b.ID, s, near
		}
	}
	return best
}

// Candidates returns the n boxes that come first in rendezvous order for key,
// whether they are eligible or not.
func (v *View) Candidates(key, hall string, n int) []string {
	type scored struct {
		id    string
		near  bool
		score uint64
	}
	list := make([]scored, 0, len(v.Boxes))
	for _, b := range v.Boxes {
		list = append(list, scored{id: b.ID, near: hall != "" && b.Hall == hall, score: score(b.ID, key)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	ids := make([]string, 0, n)
	for _, s := range list[:min(n, len(list))] {
		ids = append(ids, s.id)
	}
	return ids
}

func score(box, key string) uint64 {
	d := xxhash.New()
	// xxhash never fails to write.
	_, _ = d.WriteString(box)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Tracker works the view out from the roster and from heartbeats.
type Tracker struct {
	self platform.Box

	mu      sync.Mutex
	roster  map[string]platform.Box
	peers   map[string]*peerState
	serving bool
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
}

// NewTracker returns a tracker that knows only this box.
func NewTracker(self platform.Box) *Tracker {
	t := &Tracker{
		self:    self,
		roster:  map[string]platform.Box{self.ID: self},
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
func (t *Tracker) SetRoster(now time.Time, boxes []platform.Box) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster = make(map[string]platform.Box, len(boxes)+1)
	t.leavingServers = make(map[string]bool)
	for _, b := range boxes {
		switch {
		case b.Peer != "":
			t.roster[b.ID] = b
		case b.State == platform.BoxLeaving:
			t.leavingServers[b.ID] = true
		}
	}
	self := t.self
	if b, ok := t.roster[self.ID]; ok {
		self.State = b.State
	}
	t.roster[self.ID] = self
	t.update(now)
}

// Roster returns the box list in force, by ID.
func (t *Tracker) Roster() []platform.Box {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]platform.Box, 0, len(t.roster))
	for _, b := range t.roster {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b platform.Box) int { return strings.Compare(a.ID, b.ID) })
	return list
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
}

// Heard takes a heartbeat in.
func (t *Tracker) Heard(now time.Time, h Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(h.Box)
	known := p.linked && p.stopping == h.Stopping && now.Sub(p.heard) < deadAfter(len(t.roster))
	p.incarnation = h.Incarnation
	p.heard = now
	p.linked = true
	p.generation = h.Generation
	p.stopping = h.Stopping
	if !known {
		t.update(now)
	}
}

// LinkBroke says that the link to a peer broke, as it does at once when its
// process dies. Unless it is heard again soon, it is not relied on.
func (t *Tracker) LinkBroke(now time.Time, box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peer(box)
	if limit := now.Add(brokenDeadAfter - deadAfter(len(t.roster))); p.heard.After(limit) {
		p.heard = limit
	}
}

// HeardAll tells whether every box of the roster sent a heartbeat at some time.
func (t *Tracker) HeardAll() bool {
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

// Linked says that this box tries to keep a link to a peer, so that its silence
// means something.
func (t *Tracker) Linked(box string) {
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

// Highest returns the box that said the highest configuration generation.
func (t *Tracker) Highest() (box string, generation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		if p.generation > generation || (p.generation == generation && id < box) {
			box, generation = id, p.generation
		}
	}
	return box, generation
}

// Tick lets time pass: silent boxes stop being live. It looks at the linked peers
// only, and works the view out anew only if one of them changed.
func (t *Tracker) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		b, known := t.view.Box(id)
		if known && p.linked && b.Live != (now.Sub(p.heard) < deadAfter(len(t.roster))) {
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
	slices.SortFunc(v.Boxes, func(a, b Box) int { return strings.Compare(a.ID, b.ID) })
	return v
}

func (t *Tracker) judge(now time.Time, id string, b platform.Box) Box {
	if id == t.self.ID {
		return Box{Box: b, Live: true, Stopping: !t.serving}
	}
	p := t.peers[id]
	if p == nil || !p.linked {
		return Box{Box: b, Live: b.State == platform.BoxLive}
	}
	return Box{Box: b, Live: now.Sub(p.heard) < deadAfter(len(t.roster)), Stopping: p.stopping}
}

// Targets returns the boxes to keep links to: all of a small roster, else a few
// neighbours and the candidates for owning the keys in use.
func (v *View) Targets(keys []Key) []string {
	set := make(map[string]bool)
	if len(v.Boxes) <= MeshSize {
		for _, b := range v.Boxes {
			set[b.ID] = true
		}
	} else {
		for _, id := range v.Candidates(v.Self, "", ringLinks+1) {
			set[id] = true
		}
		for _, k := range keys {
			for _, id := range v.Candidates(k.Name, k.Hall, linkCandidates) {
				set[id] = true
			}
		}
	}
	delete(set, v.Self)
	list := make([]string, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// linkCandidates is how many possible owners of a key a box keeps links to.
const linkCandidates = 2

// HeartbeatEvery is the time between two heartbeats in a fleet of this size.
func (v *View) HeartbeatEvery() time.Duration {
	if len(v.Boxes) <= MeshSize {
		return HeartbeatEvery
	}
	return sparseHeartbeatEvery
}

// DeadAfter is the silence that counts as death in a fleet of this size.
func (v *View) DeadAfter() time.Duration { return deadAfter(len(v.Boxes)) }

func deadAfter(boxes int) time.Duration {
	if boxes <= MeshSize {
		return DeadAfter
	}
	return sparseDeadAfter
}

// Choose returns the n names that come first in rendezvous order for a box. Boxes
// choose differently, so that their work spreads.
func Choose(box string, names []string, n int) []string {
	if len(names) <= n {
		return names
	}
	list := slices.Clone(names)
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(score(box, b), score(box, a)) })
	return list[:n]
}

// Key names something that is owned, and the hall that its owner should stand in.
type Key struct{ Name, Hall string }
