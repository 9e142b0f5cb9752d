package fleetlimit

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// pointsPerBox is how many points each box has on the ring: with more of them the servers are
// spread more evenly, and a new ring takes longer to make.
const pointsPerBox = 16

// point is a place of a box on the ring.
type point struct {
	at  uint64
	box string
}

// ring is a consistent hash of boxes. It is immutable.
type ring struct {
	points []point
	boxes  int
}

func newRing(boxes []string) *ring {
	r := &ring{points: make([]point, 0, len(boxes)*pointsPerBox), boxes: len(boxes)}
	for _, box := range boxes {
		for i := range pointsPerBox {
			r.points = append(r.points, point{at: xxhash.Sum64String(box + "#" + strconv.Itoa(i)), box: box})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.box, b.box)) })
	return r
}

// has tells whether a box is among the first n distinct ones behind a key.
func (r *ring) has(box string, key uint64, n int) bool {
	if n >= r.boxes {
		return slices.ContainsFunc(r.points, func(p point) bool { return p.box == box })
	}
	begin, _ := slices.BinarySearchFunc(r.points, key, func(p point, key uint64) int { return cmp.Compare(p.at, key) })
	seen := make(map[string]bool, n)
	for i := range r.points {
		p := r.points[(begin+i)%len(r.points)]
		if p.box == box {
			return true
		}
		if seen[p.box] = true; len(seen) == n {
			return false
		}
	}
	return false
}
