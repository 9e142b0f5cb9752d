package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/fleetlimit"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// limitedFleet is a balancer of the only box of a fleet, two servers, and a word that the first names a
// limit.
func limitedFleet(now time.Time) (*Balancer, Query) {
	b := New(log.NewNopLogger())
	l := fleetlimit.New("box-1", log.NewNopLogger())
	l.SetBoxes([]string{"box-1"}, now)
	b.SetLimiter(l)
	q := Query{Service: "calls", Candidates: []routing.Server{{ID: "i-1"}, {ID: "i-2"}}}
	b.Signals().Note(q.Candidates[0].Life(), signals.Signals{Limit: signals.Limit{Named: true, PerSecond: 1}}, now, now)
	return b, q
}

func pickedOf(b *Balancer, q Query, calls int, now time.Time) map[string]int {
	picked := make(map[string]int)
	for range calls {
		if l, ok := b.Pick(q, now); ok {
			picked[l.Server.ID]++
			l.Done(ResultDone, now)
		}
	}
	return picked
}

func TestLimitedServerGetsItsPartAndTheOthersTheRest(t *testing.T) {
	now := time.Now()
	b, q := limitedFleet(now)
	assert.Equal(t, map[string]int{"i-1": 1, "i-2": 99}, pickedOf(b, q, 100, now))
	assert.Equal(t, Closed{Limited: 1, PerSecond: fleetlimit.Named(1).PerSecond, Open: 1}, b.Closed(q, now))
	assert.Equal(t, q.Candidates[1:], b.Open(q.Candidates, now))
}

func TestLimitedServerIsNotUsedBeyondItsPartThoughNoOtherIsLeft(t *testing.T) {
	now := time.Now()
	b, q := limitedFleet(now)
	q.Candidates = q.Candidates[:1]
	assert.Equal(t, map[string]int{"i-1": 1}, pickedOf(b, q, 100, now))
	assert.Equal(t, q.Candidates, b.Open(q.Candidates, now), "a service whose servers are all limited has them still")
	q.Yield = true
	assert.Empty(t, pickedOf(b, q, 100, now.Add(10*time.Second)), "others wait for it")
	q.Yield = false
	assert.Equal(t, map[string]int{"i-1": 1}, pickedOf(b, q, 100, now.Add(10*time.Second)))
}

// A prefix can be taken from a server that leaves as long as it is there.
func TestServerThatLeavesByItsWordGetsNothingAndIsASourceOfPrefixes(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	q := Query{
		Service: "models", Engine: true, Tokens: 9000, Candidates: []routing.Server{{ID: "i-1", Address: "1"}, {ID: "i-2", Address: "2"}},
		Parts: []Part{{ID: "shared", Tokens: 8000}, {ID: "own", Tokens: 1000}},
	}
	first, ok := b.Pick(q, now)
	require.True(t, ok)
	first.Begun(now)
	first.Done(ResultDone, now)
	b.Signals().Note(first.Server.Life(), signals.Signals{Leaving: true}, now, now)
	second, ok := b.Pick(q, now)
	require.True(t, ok)
	assert.NotEqual(t, first.Server.ID, second.Server.ID)
	assert.Equal(t, first.Server.Address, second.Source)
	q.Avoid = []routing.Life{second.Server.Life()}
	_, ok = b.Pick(q, now)
	assert.False(t, ok, "nothing is left")
	assert.Len(t, b.Open(q.Candidates, now), 1)
}

func TestServerThatRestsIsTriedByOneRequestAfterwards(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	q := Query{Service: "calls", Candidates: []routing.Server{{ID: "i-1"}}}
	life := q.Candidates[0].Life()
	b.Signals().Note(life, signals.Signals{Rest: time.Second}, now, now)
	_, ok := b.Pick(q, now.Add(time.Second/2))
	assert.False(t, ok, "though no other is left")
	assert.Equal(t, 1, b.Closed(q, now).Resting)

	now = now.Add(2 * time.Second)
	trial, ok := b.Pick(q, now)
	require.True(t, ok)
	_, ok = b.Pick(q, now)
	assert.False(t, ok, "the first one finds out")
	trial.Done(ResultUnreached, now)
	now = now.Add(ejectMost)
	trial, ok = b.Pick(q, now)
	require.True(t, ok, "another one does where it did not")
	b.Signals().Note(life, signals.Signals{}, now, now)
	_, ok = b.Pick(q, now)
	assert.True(t, ok)
	trial.Done(ResultDone, now)
	_, ok = b.Pick(q, now)
	assert.True(t, ok)
}

// Of a long list a choice looks at some servers only, which all may be closed.
func TestOpenServersOfALongListCount(t *testing.T) {
	now := time.Now()
	b, _ := limitedFleet(now)
	q := Query{Service: "calls"}
	for i := range 2 * lookAtAll {
		q.Candidates = append(q.Candidates, routing.Server{ID: fmt.Sprintf("i-%d", i)})
	}
	for i := range lookAtAll {
		b.Signals().Note(q.Candidates[i].Life(), signals.Signals{Leaving: i%2 == 0, Rest: time.Minute}, now, now)
	}
	closed := b.Closed(q, now)
	assert.Equal(t, lookAtAll, closed.Open)
	assert.Equal(t, lookAtAll/2, closed.Resting)
	assert.Len(t, b.Open(q.Candidates, now), lookAtAll)
}
