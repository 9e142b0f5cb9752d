package serverpath

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/tunnel"
)

func peersOf(n, halls int) []Peer {
	peers := make([]Peer, n)
	for i := range peers {
		peers[i] = Peer{Address: fmt.Sprint(i), Hall: fmt.Sprint(i % halls)}
	}
	return peers
}

func allHalls(_, _ string) bool { return true }

func TestOwnHallAndHallOfServerComeFirst(t *testing.T) {
	r := newRelays("0", allHalls)
	now := time.Unix(1000, 0)
	halls := make(map[string]bool)
	for range 20 {
		order := r.order(peersOf(985, 5), "3", now)
		assert.LessOrEqual(t, len(order), 3*maxUnproven, "a bounded part of a large fleet")
		for _, p := range order[:2] {
			var i int
			_, _ = fmt.Sscan(p.Address, &i)
			halls[fmt.Sprint(i%5)] = true
		}
	}
	assert.Equal(t, map[string]bool{"0": true, "3": true}, halls)
}

func TestProvenRelaysAreUsedEvenly(t *testing.T) {
	r := newRelays("0", allHalls)
	now := time.Unix(1000, 0)
	for i := range minProven {
		r.recordOpened(fmt.Sprint(i), now)
		r.recordClosed(fmt.Sprint(i))
	}
	used := make(map[string]int)
	for range 30 {
		first := r.order(peersOf(20, 1), "", now)[0].Address
		used[first]++
		r.recordOpened(first, now)
	}
	assert.Equal(t, map[string]int{"0": 10, "1": 10, "2": 10}, used)
}

// With a single proven relay, others are explored at a bounded rate.
func TestFurtherRelaysAreExplored(t *testing.T) {
	r := newRelays("0", allHalls)
	now := time.Unix(1000, 0)
	r.recordOpened("0", now)
	explored := 0
	for i := range 1000 {
		if r.order(peersOf(20, 1), "", now.Add(time.Duration(i)*time.Millisecond))[0].Address != "0" {
			explored++
		}
	}
	assert.Equal(t, int(time.Second/exploreInterval), explored)
}

func TestFailedRelaysComeLast(t *testing.T) {
	r := newRelays("0", allHalls)
	now := time.Unix(1000, 0)
	r.recordFailed("1", errors.New("no route"), now)
	r.recordFailed("2", &tunnel.RefusedError{Reason: tunnel.ReasonUnsupported}, now)
	r.recordFailed("0", &tunnel.RefusedError{Reason: tunnel.ReasonServerRefused}, now)
	assert.Equal(t, peersOf(3, 1), r.order(peersOf(3, 1), "", now))
	assert.ElementsMatch(t, peersOf(2, 1), r.order(peersOf(3, 1), "", now.Add(relayBackoff))[:2])
	assert.Equal(t, int64(1), r.counts(now.Add(relayBackoff))["failed"])
}

// Boxes that left the roster must not be kept for good.
func TestRelaysOutsideTheRosterAreForgotten(t *testing.T) {
	r := newRelays("0", allHalls)
	now := time.Unix(1000, 0)
	for i := range 100 {
		r.recordFailed(fmt.Sprint(i), errors.New("no route"), now)
	}
	r.order(peersOf(10, 1), "", now)
	assert.Len(t, r.known, 10)
}

// BenchmarkOrder measures the choice of relays in a fleet of the target size.
func BenchmarkOrder(b *testing.B) {
	r := newRelays("0", allHalls)
	peers := peersOf(1700, 9)
	for b.Loop() {
		r.order(peers, "3", time.Unix(1000, 0))
	}
}
