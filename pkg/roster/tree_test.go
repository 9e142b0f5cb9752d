package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleetOf draws boxes in halls, of which some have fast links.
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

// steps is how many boxes an answer passes from a reader to one.
func steps(t *testing.T, providers map[string][]Entry, box string) int {
	count := 0
	for len(providers[box]) > 0 {
		box = providers[box][0].Box
		count++
		require.Less(t, count, 30, "in a circle")
	}
	return count
}

// Each box is reached from the readers within a few steps, and none passes on to more
// boxes than its link bears, the roots of other halls left out.
func TestTreeReachesAllBoxes(t *testing.T) {
	for _, c := range []struct{ boxes, halls, fastEach, most int }{
		{2, 1, 1, 0}, {3, 3, 1, 1}, {7, 3, 9, 3}, {87, 5, 20, 4}, {300, 5, 20, 3}, {1700, 7, 20, 3}, {1700, 7, 1000000, 8},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			entries := fleetOf(c.boxes, c.halls, c.fastEach)
			hallOf := make(map[string]string)
			providers, takes := make(map[string][]Entry), make(map[string]int)
			asking := 0
			for _, e := range entries {
				hallOf[e.Box] = e.Hall
				providers[e.Box] = ProvidersOf(entries, e)
				if len(providers[e.Box]) == 0 {
					continue
				}
				asking++
				if first := providers[e.Box][0]; first.Hall == e.Hall {
					takes[first.Box]++
				}
			}
			assert.Equal(t, max(0, c.boxes-readers), asking, "all but the readers ask others")
			for _, e := range entries {
				assert.LessOrEqual(t, takes[e.Box], children(e), e.Box)
				assert.LessOrEqual(t, steps(t, providers, e.Box), c.most, e.Box)
			}
		})
	}
}

// While all boxes start, each sees others of the roster: whom they ask must not go in a
// circle, or nobody would ask the store.
func TestNobodyWaitsForItselfThoughAllSeeOthers(t *testing.T) {
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
				assert.Equal(t, p, SortByRank([]Entry{e, p})[0], "a box asks those before it")
			}
			steps(t, providers, e.Box)
		}
	}
}
