package loadshare

import (
	"time"

	"headhill.example/headhill/pkg/forms"
)

const (
	// maxFlatHall is the size of a hall up to which all boxes exchange statistics with the relay. At this
	// size and 90 servers, the relay sends 60 kB and receives 48 kB a second (docs/CAPACITY.md).
	maxFlatHall = 64
	// treeChildren is the number of children of a box. With 6, a hall of 243 boxes is three levels deep:
	// usages, valid for 5 s, take up to three of them to the root and one to another hall. Fewer children
	// leave each more bytes, but add a level.
	treeChildren = 6
	// statisticsBytesPerSecond limits what a box of a tree exchanges with its partners, in each
	// direction. Half of the 18 kB of control a second, less a margin for answers and for reports to a
	// second ancestor.
	statisticsBytesPerSecond = 8000
	// aliveTime is the age up to which a report shows that an inner box is alive, so that its sum counts
	// and not the reports of its children that passed it over. Reports come once a second.
	aliveTime = 1500 * time.Millisecond
)

// tree is the tree of a hall's boxes along which statistics pass: reports up to the relay, summaries
// down. It follows from the roster alone. Boxes of builds that know no tree are not in it.
type tree struct {
	// boxes are in order of rank. The children of box i are treeChildren*i+1 and the following ones.
	boxes []member
	index map[string]int
	// halls is the number of other halls.
	halls int
}

// newTree returns the tree of a hall. It returns false for a hall that needs none.
func newTree(members []member, hall string) (tree, bool) {
	t := tree{index: make(map[string]int)}
	size, halls := 0, make(map[string]bool)
	for _, m := range members {
		halls[m.hall] = true
		if m.hall != hall {
			continue
		}
		size++
		if forms.EffectiveLevel(m.level) >= forms.LevelStatisticsTree {
			t.index[m.box] = len(t.boxes)
			t.boxes = append(t.boxes, m)
		}
	}
	t.halls = len(halls) - 1
	return t, size > maxFlatHall
}

// position is the place of a box in a tree, with the hall's relay as that box sees it.
type position struct {
	tree
	self, relay int
}

// parent returns the parent of a box other than the first.
func parent(i int) int { return (i - 1) / treeChildren }

// children returns the number of children of a box.
func (t tree) children(i int) int {
	return min(max(len(t.boxes)-treeChildren*i-1, 0), treeChildren)
}

// ancestors returns the boxes that may take the report of this box, its parent first. The relay takes
// the place of a lost root. The relay has no ancestors.
func (p position) ancestors() []int {
	var list []int
	for i := p.self; i != p.relay; {
		if i = parent(i); i <= 0 {
			return append(list, p.relay)
		}
		list = append(list, i)
	}
	return list
}

// partners returns the number of boxes with which a box exchanges statistics. A relay other than the
// root serves the children of the root as well.
func (p position) partners(i int) int {
	switch {
	case i != p.relay:
		return p.children(i) + 1
	case i == 0:
		return p.children(i) + p.halls
	}
	return p.children(i) + treeChildren + p.halls
}

// linkBytes returns how many bytes a second two boxes may send to each other.
func (p position) linkBytes(a, b int) int {
	return statisticsBytesPerSecond / max(p.partners(a), p.partners(b), 1)
}

// reportBytes returns how many bytes a second this box may send to its nth ancestor. The children of
// a lost box share what that box had.
func (p position) reportBytes(ancestor, n int) int {
	bytes := p.linkBytes(p.self, ancestor)
	for range n {
		bytes /= treeChildren
	}
	return bytes
}

// discarded returns the senders whose reports this box does not add up, given the time of their last
// reports. Those in moved are not below this box, as the roster or the relay has changed. Those in
// superseded are contained in other reports: boxes below an inner box that has reported as well, and
// an inner box that has fallen silent and is passed over by boxes below it.
func (p position) discarded(heard map[string]time.Time, now time.Time) (moved, superseded []string) {
	for box, at := range heard {
		i, ok := p.index[box]
		if !ok || i == p.relay {
			moved = append(moved, box)
			continue
		}
		for i != p.self && i != 0 {
			i = parent(i)
			inner := p.boxes[i].box
			innerAt, reported := heard[inner]
			if i == p.self || !reported {
				continue
			}
			if now.Sub(innerAt) <= aliveTime || !at.After(innerAt) {
				superseded = append(superseded, box)
				break
			}
			superseded = append(superseded, inner)
		}
		if i != p.self && i == 0 && p.self != p.relay {
			moved = append(moved, box)
		}
	}
	return moved, superseded
}
