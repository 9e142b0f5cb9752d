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

// Box is a box as seen by this box.
type Box struct {
	objectstore.Box
	// Live is set for boxes that sent a heartbeat recently, and for boxes without a link that
	// are live according to the roster.
	Live bool
	// Stopping is set for boxes that cannot own keys because they are stopping or not ready.
	Stopping bool
	// Unlisted is set for this box while the box list does not contain it.
	Unlisted bool
}

// View is an immutable snapshot of the fleet's membership.
type View struct {
	Self  string
	Boxes []Box // by ID
	// leavingServers holds the backend servers that the box list reports as leaving.
	leavingServers map[string]bool

	// owners caches the results of Owner, which is called for every reservation and is linear
	// in the number of boxes.
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

// ServerLeaving reports whether the box list shows the backend server as leaving.
func (v *View) ServerLeaving(name string) bool { return v.leavingServers[name] }

// eligible reports whether the box can own keys.
func (b *Box) eligible() bool { return b.Live && !b.Stopping && b.State != objectstore.BoxLeaving }

// LiveCount returns the number of live boxes and the number of all boxes in the view.
func (v *View) LiveCount() (live, all int) {
	for i := range v.Boxes {
		if v.Boxes[i].Live {
			live++
		}
	}
	return live, len(v.Boxes)
}

// Owner returns the box that owns key: the first eligible box in rendezvous order, with
// boxes of the hall before others. It returns "" if no box is eligible.
//
// While the box list does not contain this box, other boxes do not see it as an owner. It
// then owns nothing unless no other box is eligible, as keys would have two owners.
func (v *View) Owner(key, hall string) string {
	k := Key{Name: key, Hall: hall}
	if o, ok := v.owners.Load(k); ok {
		return o.(string)
	}
	o := v.computeOwner(key, hall)
	v.owners.Store(k, o)
	return o
}

func (v *View) computeOwner(key, hall string) string {
	best := ""
	var bestScore uint64
	bestInHall := false
	for i := range v.Boxes {
		b := &v.Boxes[i]
		if !b.eligible() || b.Unlisted {
			continue
		}
		inHall := hall != "" && b.Hall == hall
		s := score(b.ID, key)
		if best == "" || (inHall && !bestInHall) || (inHall == bestInHall && s > bestScore) {
			best, bestScore, bestInHall = b.ID, s, inHall
		}
	}
	if self, ok := v.Box(v.Self); best == "" && ok && self.eligible() {
		return v.Self
	}
	return best
}

// Candidates returns the first n boxes in rendezvous order for key, eligible or not.
func (v *View) Candidates(key, hall string, n int) []string {
	type scored struct {
		id     string
		inHall bool
		score  uint64
	}
	list := make([]scored, 0, len(v.Boxes))
	for _, b := range v.Boxes {
		list = append(list, scored{id: b.ID, inHall: hall != "" && b.Hall == hall, score: score(b.ID, key)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.inHall != b.inHall {
			if a.inHall {
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
	// Writing to an xxhash digest never fails.
	_, _ = d.WriteString(box)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// LinkTargets returns the boxes to maintain links to: all boxes of a small fleet, or
// otherwise a few neighbours and the candidate owners of the keys in use.
func (v *View) LinkTargets(keys []Key) []string {
	set := make(map[string]bool)
	if len(v.Boxes) <= MaxFullMeshBoxes {
		for _, b := range v.Boxes {
			set[b.ID] = true
		}
	} else {
		for _, id := range v.Candidates(v.Self, "", neighbourLinks+1) {
			set[id] = true
		}
		for _, k := range keys {
			for _, id := range v.Candidates(k.Name, k.Hall, linksPerKey) {
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

// linksPerKey is the number of candidate owners of a key that a box maintains links to.
const linksPerKey = 2

// HeartbeatInterval returns the time between heartbeats for the size of the fleet.
func (v *View) HeartbeatInterval() time.Duration {
	if len(v.Boxes) <= MaxFullMeshBoxes {
		return HeartbeatInterval
	}
	return largeFleetHeartbeatInterval
}

// FailureTimeout returns the time without heartbeats after which a box of this fleet is
// considered dead.
func (v *View) FailureTimeout() time.Duration { return failureTimeout(len(v.Boxes)) }

func failureTimeout(boxes int) time.Duration {
	if boxes <= MaxFullMeshBoxes {
		return FailureTimeout
	}
	return largeFleetFailureTimeout
}

// SelectByRendezvous returns the first n names in rendezvous order for a box. The order
// differs between boxes, which spreads their load.
func SelectByRendezvous(box string, names []string, n int) []string {
	if len(names) <= n {
		return names
	}
	list := slices.Clone(names)
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(score(box, b), score(box, a)) })
	return list[:n]
}

// Key identifies something that a box owns, and the hall preferred for its owner.
type Key struct{ Name, Hall string }
