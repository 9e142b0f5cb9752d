package membership

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/objectstore"
)

// Box is a box as this one sees it.
type Box struct {
	objectstore.Box
	// Live boxes answered lately; boxes without a link count as live while the
	// roster says so.
	Live bool
	// Stopping boxes said that they own nothing: they stop, or are not ready yet.
	Stopping bool
	// Unlisted is this box while the list does not show it.
	Unlisted bool
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
func (b *Box) eligible() bool { return b.Live && !b.Stopping && b.State != objectstore.BoxLeaving }

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
//
// While the list does not show this box, the others don't count on it, and it owns
// nothing beside them: two owners would stand until the list has caught up.
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
		if !b.eligible() || b.Unlisted {
			continue
		}
		near := hall != "" && b.Hall == hall
		s := score(b.ID, key)
		if best == "" || (near && !bestNear) || (near == bestNear && s > bestScore) {
			best, bestScore, bestNear = b.ID, s, near
		}
	}
	if self, ok := v.Box(v.Self); best == "" && ok && self.eligible() {
		return v.Self
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

// LinkTargets returns the boxes to keep links to: all of a small roster, else a few
// neighbours and the candidates for owning the keys in use.
func (v *View) LinkTargets(keys []Key) []string {
	set := make(map[string]bool)
	if len(v.Boxes) <= MaxFullMeshBoxes {
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

// HeartbeatInterval is the time between two heartbeats in a fleet of this size.
func (v *View) HeartbeatInterval() time.Duration {
	if len(v.Boxes) <= MaxFullMeshBoxes {
		return HeartbeatInterval
	}
	return sparseHeartbeatEvery
}

// FailureTimeout is the silence that counts as death in a fleet of this size.
func (v *View) FailureTimeout() time.Duration { return deadAfter(len(v.Boxes)) }

func deadAfter(boxes int) time.Duration {
	if boxes <= MaxFullMeshBoxes {
		return FailureTimeout
	}
	return sparseDeadAfter
}

// SelectByRendezvous returns the n names that come first in rendezvous order for a box. Boxes
// choose differently, so that their work spreads.
func SelectByRendezvous(box string, names []string, n int) []string {
	if len(names) <= n {
		return names
	}
	list := slices.Clone(names)
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(score(box, b), score(box, a)) })
	return list[:n]
}

// Key names something that is owned, and the hall that its owner should stand in.
type Key struct{ Name, Hall string }
