package balancer

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// told is what a box is told of the only server that fails, from the reports of others.
func told(others []*Balancer, now time.Time) map[ServerKey]Load {
	total := make(map[ServerKey]Load)
	for _, b := range others {
		for key, l := range b.Report(now).Loads {
			total[key] = total[key].Plus(l)
		}
	}
	return total
}

// callOn makes one call to a server, which ends in some way.
func callOn(b *Balancer, id int, r Result, now time.Time) {
	l, _ := b.Pick(Query{Candidates: servers(id + 1)[id:]}, now)
	l.Done(r, now)
}

// share is how often a box that saw nothing itself chooses the first of two servers.
func share(b *Balancer, now time.Time) float64 {
	const picks = 400
	count := 0
	for range picks {
		l, _ := b.Pick(Query{Candidates: servers(2)}, now)
		if l.Server.ID == "i-0" {
			count++
		}
		l.Done(ResultAbandoned, now)
	}
	return float64(count) / picks
}

// Of a server each of many boxes sees only a few calls. What they see together is known to
// each.
func TestFailuresOfManyBoxesAreKnownToAll(t *testing.T) {
	now := time.Now()
	var others []*Balancer
	for range 12 {
		b := New(log.NewNopLogger())
		callOn(b, 0, ResultFailed, now)
		others = append(others, b)
	}
	b := New(log.NewNopLogger())
	assert.InDelta(t, 0.5, share(b, now), 0.2, "it knows nothing")
	b.SetPeerLoads(told(others, now), nil, now)
	assert.Zero(t, share(b, now))
	later := now.Add(5 * failureHalfLife)
	b.SetPeerLoads(told(others, later), nil, later)
	assert.InDelta(t, 0.5, share(b, later), 0.2, "old failures are forgotten")
	callOn(b, 0, ResultDone, now)
	b.SetPeerLoads(told(others, now), nil, now)
	l, _ := b.Pick(Query{Candidates: servers(1)}, now)
	assert.Greater(t, l.Inputs.FailureRatio, 0.5)
	l.Done(ResultDone, now)
}

// One box's bad luck, or a path that is cut for it, ejects nothing for the others.
func TestOneBoxEjectsNothingForOthers(t *testing.T) {
	now := time.Now()
	for name, r := range map[string]Result{"it fails for one box": ResultFailed, "one box can't reach it": ResultUnreached} {
		t.Run(name, func(t *testing.T) {
			unlucky := New(log.NewNopLogger())
			for range 40 {
				callOn(unlucky, 0, r, now)
			}
			b := New(log.NewNopLogger())
			b.SetPeerLoads(told([]*Balancer{unlucky}, now), nil, now)
			l, _ := b.Pick(Query{Candidates: servers(1)}, now)
			l.Done(ResultAbandoned, now)
			assert.False(t, (&choice{state: l.state, failures: l.Inputs.FailureRatio}).ejectedByOthers(b.others[KeyOf(routing.Incarnation{ID: "i-0"})], now))
			if r == ResultUnreached {
				assert.Zero(t, l.Inputs.FailureRatio)
			}
		})
	}
}

// Calls that went well count where any box has told of failures, also those of boxes that
// saw none.
func TestCallsThatWentWellCount(t *testing.T) {
	now := time.Now()
	unlucky, lucky, b := New(log.NewNopLogger()), New(log.NewNopLogger()), New(log.NewNopLogger())
	for range 3 {
		callOn(unlucky, 0, ResultFailed, now)
	}
	for range 60 {
		callOn(lucky, 0, ResultDone, now)
	}
	assert.Empty(t, lucky.Report(now).Loads, "without failures there is nothing to tell")
	lucky.SetPeerLoads(told([]*Balancer{unlucky}, now), nil, now)
	b.SetPeerLoads(told([]*Balancer{unlucky, lucky}, now), nil, now)
	l, _ := b.Pick(Query{Candidates: servers(1)}, now)
	assert.InDelta(t, 3.0/(63+priorCalls), l.Inputs.FailureRatio, 0.01)
	l.Done(ResultDone, now)
}
