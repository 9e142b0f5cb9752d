package fleetlimit

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerBox is the number of points of each box on the ring. More points distribute servers more
// evenly but make the ring more expensive to build.
const pointsPerBox = 16

// point is a position of a box on the ring.
type point struct {
	hash uint64
	box  string
}

// ring is an immutable consistent-hash ring of boxes.
type ring struct {
	points []point
	boxes  int
}

func newRing(boxes []string) *ring {
	r := &ring{points: make([]point, 0, len(boxes)*pointsPerBox), boxes: len(boxes)}
	for _, box := range boxes {
		for i := range pointsPerBox {
			r.points = append(r.points, point{hash: xxhash.Sum64String(box + "#" + strconv.Itoa(i)), box: box})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.box, b.box)) })
	return r
}

// selects reports whether a box is among the first n distinct boxes that follow a key on the ring.
func (r *ring) selects(box string, key uint64, n int) bool {
	if n >= r.boxes {
		return slices.ContainsFunc(r.points, func(p point) bool { return p.box == box })
	}
	first, _ := slices.BinarySearchFunc(r.points, key, func(p point, key uint64) int { return cmp.Compare(p.hash, key) })
	seen := make(map[string]bool, n)
	for i := range r.points {
		p := r.points[(first+i)%len(r.points)]
		if p.box == box {
			return true
		}
		if seen[p.box] = true; len(seen) == n {
			return false
		}
	}
	return false
}
