package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleetOf returns boxes assigned to halls round-robin, of which one in fastEach has a fast link.
func fleetOf(boxes, halls int, fastEach int) []Entry {
	var entries []Entry
	for i := range boxes {
		e := Entry{Box: fmt.Sprintf("box-%04d", i), Hall: fmt.Sprint("hall-", i%halls), LinkMbps: 20}
		if i/halls%fastEach == 0 {
			e.LinkMbps = 200
		}
		entries = append(entries, e)
	}
	return entries
}

// hops returns the number of hops from a reader to a box.
func hops(t *testing.T, providers map[string][]Entry, box string) int {
	count := 0
	for len(providers[box]) > 0 {
		box = providers[box][0].Box
		count++
		require.Less(t, count, 30, "the providers form a cycle")
	}
	return count
}

// Each box is reached from a reader within a few hops, and no box has more children within its
// hall than its link allows.
func TestTreeReachesAllBoxes(t *testing.T) {
	for _, c := range []struct{ boxes, halls, fastEach, maxHops int }{
		{2, 1, 1, 0}, {3, 3, 1, 1}, {7, 3, 9, 3}, {87, 5, 20, 4}, {300, 5, 20, 3}, {1700, 7, 20, 3}, {1700, 7, 1000000, 8},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			entries := fleetOf(c.boxes, c.halls, c.fastEach)
			hallOf := make(map[string]string)
			providers, childCount := make(map[string][]Entry), make(map[string]int)
			fetching := 0
			for _, e := range entries {
				hallOf[e.Box] = e.Hall
				providers[e.Box] = ProvidersOf(entries, e)
				if len(providers[e.Box]) == 0 {
					continue
				}
				fetching++
				if first := providers[e.Box][0]; first.Hall == e.Hall {
					childCount[first.Box]++
				}
			}
			assert.Equal(t, max(0, c.boxes-readerCount), fetching, "all but the readers have providers")
			for _, e := range entries {
				assert.LessOrEqual(t, childCount[e.Box], fanOut(e), e.Box)
				assert.LessOrEqual(t, hops(t, providers, e.Box), c.maxHops, e.Box)
			}
		})
	}
}

// At startup each box sees a different part of the roster. The providers must not form a cycle,
// or no box would read the store.
func TestProvidersFormNoCycle(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		entries := fleetOf(60, 3, 5)
		providers := make(map[string][]Entry)
		for _, e := range entries {
			seen := []Entry{e}
			for _, other := range entries {
				if other.Box != e.Box && random.IntN(4) == 0 {
					seen = append(seen, other)
				}
			}
			providers[e.Box] = ProvidersOf(seen, e)
		}
		for _, e := range entries {
			for _, p := range providers[e.Box] {
				assert.Equal(t, p, SortByRank([]Entry{e, p})[0], "providers have a lower rank")
			}
			hops(t, providers, e.Box)
		}
	}
}
