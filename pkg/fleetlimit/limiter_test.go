package fleetlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"headhill.example/headhill/pkg/fleetlimit/limittest"
	"headhill.example/headhill/pkg/routing"
)

// What the operators allow a server that warms up to get within a second, for what it bears.
const (
	overshoot = 1.5
	slack     = 5.0
)

// step is how often a box tries to send: more often than a keeper may.
const step = 50 * time.Millisecond

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("box-%d", i)
	}
	return list
}

// box sends to a server as often as it may, and is killed now and then.
type box struct {
	name    string
	list    []string
	limiter *Limiter
}

func (b *box) start(now time.Time) {
	b.limiter = New(b.name, log.NewNopLogger())
	b.limiter.SetBoxes(b.list, now)
}

// mostInASecond is the most of some times, in order, that lie within any second.
func mostInASecond(times []time.Time) int { return limittest.MaxWithin(times, time.Second) }

// Eager boxes stay within what a server bears, though two parts of the fleet have lists of boxes
// with nothing in common, boxes are killed and start, and one more box is new to most.
func TestFleetStaysWithinWhatAServerBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{7, 30, 84}).Draw(t, "boxes")
		w := routing.WarmUp{Duration: 3 * time.Second, PerSecond: rapid.Float64Range(3, 40).Draw(t, "per second")}
		server := routing.Incarnation{ID: rapid.StringMatching(`i-[0-9a-f]{6}`).Draw(t, "server")}
		all := names(n)
		cut := rapid.IntRange(0, n/2).Draw(t, "cut")
		now := time.Now()
		boxes := make([]*box, n)
		for i, name := range all {
			list := all[cut:]
			if i < cut {
				list = all[:cut]
			}
			boxes[i] = &box{name: name, list: list}
			boxes[i].start(now.Add(-2 * warmUpSettle))
		}
		late := &box{name: "box-new", list: append(names(n), "box-new")}
		late.start(now.Add(-warmUpSettle))
		boxes = append(boxes, late)

		kill := rapid.Float64Range(0, 0.02).Draw(t, "kills") / float64(n)
		draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var sent []time.Time
		for range int(1.2 * float64(warmUpSettle) / float64(step)) {
			now = now.Add(step)
			for _, b := range boxes {
				if draw.Float64() < kill {
					b.start(now)
				}
				if b.limiter.Allows(server, WarmUpLimit(w), now) {
					b.limiter.Take(server, WarmUpLimit(w), now)
					sent = append(sent, now)
				}
			}
		}
		if most, bound := mostInASecond(sent), w.PerSecond*overshoot+slack; float64(most) > bound {
			t.Fatalf("%d requests in a second, allowed are %.1f", most, bound)
		}
	})
}

// A server that warms up is not starved: it gets nearly the keepers' part of what it bears from
// boxes that agree, also where one of its keepers is down.
func TestServerGetsItsPart(t *testing.T) {
	w := routing.WarmUp{Duration: 3 * time.Second, PerSecond: 8}
	for _, n := range []int{1, 7, 84, 985} {
		t.Run(fmt.Sprintf("boxes=%d", n), func(t *testing.T) {
			begin := time.Now()
			all := names(n)
			const servers = 20
			sent := make([]int, servers)
			keeping := make([]int, servers)
			for _, name := range all {
				b := &box{name: name, list: all}
				b.start(begin.Add(-warmUpSettle))
				for s := range servers {
					life := routing.Incarnation{ID: fmt.Sprintf("i-%d", s)}
					before := sent[s]
					for now := begin; now.Before(begin.Add(w.Duration)); now = now.Add(step) {
						if b.limiter.Allows(life, WarmUpLimit(w), now) {
							b.limiter.Take(life, WarmUpLimit(w), now)
							sent[s]++
						}
					}
					if sent[s] > before {
						keeping[s]++
					}
				}
			}
			kept := min(n, warmUpKeepers)
			least := int(w.PerSecond * warmUpShare / warmUpKeepers * float64(kept) * w.Duration.Seconds())
			for s := range servers {
				assert.Equal(t, kept, keeping[s], "keepers of server %d", s)
				assert.GreaterOrEqual(t, sent[s], least)
			}
		})
	}
}

// A box that knows nobody, and one that has just learned who is there, sends nothing.
func TestNewBoxSendsNothing(t *testing.T) {
	now := time.Now()
	limit, server := WarmUpLimit(routing.WarmUp{Duration: time.Second, PerSecond: 1000}), routing.Incarnation{ID: "i-1"}
	l := New("box-0", log.NewNopLogger())
	assert.False(t, l.Allows(server, limit, now.Add(time.Hour)))
	l.SetBoxes(names(1), now)
	assert.False(t, l.Allows(server, limit, now.Add(warmUpSettle-step)))
	assert.True(t, l.Allows(server, limit, now.Add(warmUpSettle)))
	l.Take(server, limit, now.Add(warmUpSettle))
	assert.False(t, l.Allows(server, limit, now.Add(warmUpSettle)))
}

// A box more changes the keepers of few servers.
func TestOneMoreBoxMovesFewServers(t *testing.T) {
	const boxes, servers = 84, 1000
	before, after := newRing(names(boxes)), newRing(names(boxes+1))
	moved := 0
	for s := range servers {
		key := routing.Incarnation{ID: fmt.Sprintf("i-%d", s)}.Hash()
		for _, box := range names(boxes) {
			if before.has(box, key, warmUpKeepers) != after.has(box, key, warmUpKeepers) {
				moved++
			}
		}
	}
	assert.Less(t, moved, 2*warmUpKeepers*servers/boxes*2)
}

// BenchmarkNewRing is what a change of the boxes costs.
func BenchmarkNewRing(b *testing.B) {
	for _, n := range []int{985, 1970} {
		list := names(n)
		b.Run(fmt.Sprintf("boxes=%d", n), func(b *testing.B) {
			for range b.N {
				newRing(list)
			}
		})
	}
}
