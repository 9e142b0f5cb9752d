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

// The warm-up limit may be exceeded within a second by the factor overshoot and by slackRequests.
const (
	overshoot     = 1.5
	slackRequests = 5.0
)

// sendInterval is how often a box tries to send, which is more often than a sender may.
const sendInterval = 50 * time.Millisecond

func boxNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("box-%d", i)
	}
	return list
}

// box is a fleet member that sends as many requests as its limiter allows, and can be restarted.
type box struct {
	name    string
	members []string
	limiter *Limiter
}

func (b *box) start(now time.Time) {
	b.limiter = New(b.name, log.NewNopLogger())
	b.limiter.SetBoxes(b.members, now)
}

// maxInASecond returns the maximum number of times, given in order, within any second.
func maxInASecond(times []time.Time) int { return limittest.MaxWithin(times, time.Second) }

// The warm-up limit must hold if two parts of the fleet have disjoint member lists, boxes restart, and
// one box is unknown to most others.
func TestFleetStaysWithinWarmUpLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{7, 30, 84}).Draw(t, "boxes")
		w := routing.WarmUp{Duration: 3 * time.Second, PerSecond: rapid.Float64Range(3, 40).Draw(t, "per second")}
		server := routing.Incarnation{ID: rapid.StringMatching(`i-[0-9a-f]{6}`).Draw(t, "server")}
		all := boxNames(n)
		cut := rapid.IntRange(0, n/2).Draw(t, "cut")
		now := time.Now()
		boxes := make([]*box, n)
		for i, name := range all {
			list := all[cut:]
			if i < cut {
				list = all[:cut]
			}
			boxes[i] = &box{name: name, members: list}
			boxes[i].start(now.Add(-2 * warmUpSettleTime))
		}
		newBox := &box{name: "box-new", members: append(boxNames(n), "box-new")}
		newBox.start(now.Add(-warmUpSettleTime))
		boxes = append(boxes, newBox)

		restartProbability := rapid.Float64Range(0, 0.02).Draw(t, "restarts") / float64(n)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var sent []time.Time
		for range int(1.2 * float64(warmUpSettleTime) / float64(sendInterval)) {
			now = now.Add(sendInterval)
			for _, b := range boxes {
				if rng.Float64() < restartProbability {
					b.start(now)
				}
				if b.limiter.Allows(server, WarmUpLimit(w), now) {
					b.limiter.Take(server, WarmUpLimit(w), now)
					sent = append(sent, now)
				}
			}
		}
		if got, bound := maxInASecond(sent), w.PerSecond*overshoot+slackRequests; float64(got) > bound {
			t.Fatalf("%d requests within a second, want at most %.1f", got, bound)
		}
	})
}

// A server that is warming up must get requests at nearly the rate of its senders if all boxes have the
// same member list.
func TestWarmingServerIsNotStarved(t *testing.T) {
	w := routing.WarmUp{Duration: 3 * time.Second, PerSecond: 8}
	for _, n := range []int{1, 7, 84, 985} {
		t.Run(fmt.Sprintf("boxes=%d", n), func(t *testing.T) {
			start := time.Now()
			all := boxNames(n)
			const servers = 20
			sent := make([]int, servers)
			senders := make([]int, servers)
			for _, name := range all {
				b := &box{name: name, members: all}
				b.start(start.Add(-warmUpSettleTime))
				for s := range servers {
					server := routing.Incarnation{ID: fmt.Sprintf("i-%d", s)}
					before := sent[s]
					for now := start; now.Before(start.Add(w.Duration)); now = now.Add(sendInterval) {
						if b.limiter.Allows(server, WarmUpLimit(w), now) {
							b.limiter.Take(server, WarmUpLimit(w), now)
							sent[s]++
						}
					}
					if sent[s] > before {
						senders[s]++
					}
				}
			}
			wantSenders := min(n, warmUpSenders)
			minSent := int(w.PerSecond * warmUpShare / warmUpSenders * float64(wantSenders) * w.Duration.Seconds())
			for s := range servers {
				assert.Equal(t, wantSenders, senders[s], "senders for server %d", s)
				assert.GreaterOrEqual(t, sent[s], minSent)
			}
		})
	}
}

// A box must not send to limited servers before it has known the other boxes for the settle time.
func TestNewBoxSendsNothing(t *testing.T) {
	now := time.Now()
	limit, server := WarmUpLimit(routing.WarmUp{Duration: time.Second, PerSecond: 1000}), routing.Incarnation{ID: "i-1"}
	l := New("box-0", log.NewNopLogger())
	assert.False(t, l.Allows(server, limit, now.Add(time.Hour)))
	l.SetBoxes(boxNames(1), now)
	assert.False(t, l.Allows(server, limit, now.Add(warmUpSettleTime-sendInterval)))
	assert.True(t, l.Allows(server, limit, now.Add(warmUpSettleTime)))
	l.Take(server, limit, now.Add(warmUpSettleTime))
	assert.False(t, l.Allows(server, limit, now.Add(warmUpSettleTime)))
}

// Adding a box must change the senders of few servers.
func TestAddedBoxMovesFewServers(t *testing.T) {
	const boxes, servers = 84, 1000
	before, after := newRing(boxNames(boxes)), newRing(boxNames(boxes+1))
	moved := 0
	for s := range servers {
		key := routing.Incarnation{ID: fmt.Sprintf("i-%d", s)}.Hash()
		for _, box := range boxNames(boxes) {
			if before.selects(box, key, warmUpSenders) != after.selects(box, key, warmUpSenders) {
				moved++
			}
		}
	}
	assert.Less(t, moved, 2*warmUpSenders*servers/boxes*2)
}

// BenchmarkNewRing measures the cost of a membership change.
func BenchmarkNewRing(b *testing.B) {
	for _, n := range []int{985, 1970} {
		list := boxNames(n)
		b.Run(fmt.Sprintf("boxes=%d", n), func(b *testing.B) {
			for range b.N {
				newRing(list)
			}
		})
	}
}

// The parts of all boxes must add up to the places that are shared.
func TestSharesAddUp(t *testing.T) {
	for boxes := 1; boxes <= 40; boxes += 3 {
		names := make([]string, boxes)
		for i := range names {
			names[i] = fmt.Sprintf("box-%d", i)
		}
		for _, total := range []int{1, 6, 56, 100} {
			sum := 0
			for _, name := range names {
				l := New(name, log.NewNopLogger())
				l.SetBoxes(names, time.Unix(1000, 0))
				sum += l.Share(routing.Incarnation{ID: "i-1"}, total)
			}
			assert.Equal(t, total, sum, "%d boxes", boxes)
		}
	}
	assert.Zero(t, New("box", log.NewNopLogger()).Share(routing.Incarnation{ID: "i-1"}, 6), "the other boxes are not known yet")
}
