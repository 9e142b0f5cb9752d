package resumption

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/roster"
)

// Keepers returns up to n boxes that keep the record of a stream, the first ones to ask first. They are
// chosen by rendezvous hashing, so that boxes with somewhat different rosters agree on most of them, each
// from another hall as long as there are others. The box with the name except is left out.
func Keepers(boxes []roster.Entry, k Key, n int, except string) []roster.Entry {
	chosen := make([]roster.Entry, 0, n)
	taken := make(map[string]bool, n)
	halls := make(map[string]bool)
	for len(chosen) < n {
		best, found := highest(boxes, k, func(e roster.Entry) bool { return !taken[e.Box] && e.Box != except && !halls[e.Hall] })
		if !found && len(halls) == 0 {
			break
		}
		if !found {
			clear(halls)
			continue
		}
		chosen = append(chosen, best)
		taken[best.Box], halls[best.Hall] = true, true
	}
	return chosen
}

// highest returns the box with the highest score of those that are eligible.
func highest(boxes []roster.Entry, k Key, eligible func(roster.Entry) bool) (best roster.Entry, found bool) {
	highestScore := uint64(0)
	for _, e := range boxes {
		if !eligible(e) {
			continue
		}
		if s := score(e.Box, k); !found || s > highestScore {
			best, found, highestScore = e, true, s
		}
	}
	return best, found
}

func score(box string, k Key) uint64 {
	var buf [2 * 8]byte
	binary.LittleEndian.PutUint64(buf[:], xxhash.Sum64String(box))
	binary.LittleEndian.PutUint64(buf[8:], binary.LittleEndian.Uint64(k[:]))
	return xxhash.Sum64(buf[:])
}
