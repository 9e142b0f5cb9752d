package resumption

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/roster"
)

// Keepers returns up to n boxes that keep the record of a stream, the first ones to ask first. They are
// chosen by rendezvous hashing, so that boxes with somewhat different rosters agree on most of them, each
// from another hall as long as there are others. The box with the name except is left out.
func Keepers(boxes []roster.Entry, k Key, n int, except string) []roster.Entry {
	scores := make([]uint64, len(boxes))
	for i := range boxes {
		if boxes[i].Box != except {
			scores[i] = score(boxes[i].Box, k)
		}
	}
	chosen := make([]roster.Entry, 0, n)
	var halls []string
	for len(chosen) < n {
		best := highest(boxes, scores, halls)
		switch {
		case best < 0 && len(halls) == 0:
			return chosen
		case best < 0:
			halls = halls[:0]
			continue
		}
		chosen = append(chosen, boxes[best])
		halls = append(halls, boxes[best].Hall)
		scores[best] = 0
	}
	return chosen
}

// highest returns the index of the box with the highest score outside of some halls, or -1 if there is none
// with a score.
func highest(boxes []roster.Entry, scores []uint64, halls []string) int {
	best, highestScore := -1, uint64(0)
	for i, s := range scores {
		if s > highestScore && !slices.Contains(halls, boxes[i].Hall) {
			best, highestScore = i, s
		}
	}
	return best
}

// score returns the score of a box for a key, which is not zero.
func score(box string, k Key) uint64 {
	return (xxhash.Sum64String(box)^binary.LittleEndian.Uint64(k[:]))*0x9e3779b97f4a7c15 | 1
}
