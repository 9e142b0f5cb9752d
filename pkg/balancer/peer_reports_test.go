package balancer

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// sumReports adds up the loads in the reports of some boxes.
func sumReports(peers []*Balancer, now time.Time) map[ServerKey]Load {
	total := make(map[ServerKey]Load)
	for _, b := range peers {
		for key, l := range b.Report(now).Loads {
			total[key] = total[key].Plus(l)
		}
	}
	return total
}

// makeCall makes one call to a server, with the given result.
func makeCall(b *Balancer, id int, r Result, now time.Time) {
	l, _ := b.Pick(Query{Candidates: servers(id + 1)[id:]}, now)
	l.Done(r, now)
}

// firstServerShare returns how often a box chooses the first of two servers.
func firstServerShare(b *Balancer, now time.Time) float64 {
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

// Each of many boxes sees only a few calls to a server; their failures add up.
func TestFailuresSeenByManyBoxesAddUp(t *testing.T) {
	now := time.Now()
	var peers []*Balancer
	for range 12 {
		b := New(log.NewNopLogger())
		makeCall(b, 0, ResultFailed, now)
		peers = append(peers, b)
	}
	b := New(log.NewNopLogger())
	assert.InDelta(t, 0.5, firstServerShare(b, now), 0.2, "no reports received")
	b.SetPeerLoads(sumReports(peers, now), nil, now)
	assert.Zero(t, firstServerShare(b, now))
	later := now.Add(5 * failureHalfLife)
	b.SetPeerLoads(sumReports(peers, later), nil, later)
	assert.InDelta(t, 0.5, firstServerShare(b, later), 0.2, "old failures decay")
	makeCall(b, 0, ResultDone, now)
	b.SetPeerLoads(sumReports(peers, now), nil, now)
	l, _ := b.Pick(Query{Candidates: servers(1)}, now)
	assert.Greater(t, l.Inputs.FailureRatio, 0.5)
	l.Done(ResultDone, now)
}

// Failures seen by a single box, or its broken network path, eject no server for the others.
func TestSingleBoxEjectsNothingForOthers(t *testing.T) {
	now := time.Now()
	for name, r := range map[string]Result{"fails for one box": ResultFailed, "unreachable for one box": ResultUnreached} {
		t.Run(name, func(t *testing.T) {
			failing := New(log.NewNopLogger())
			for range 40 {
				makeCall(failing, 0, r, now)
			}
			b := New(log.NewNopLogger())
			b.SetPeerLoads(sumReports([]*Balancer{failing}, now), nil, now)
			l, _ := b.Pick(Query{Candidates: servers(1)}, now)
			l.Done(ResultAbandoned, now)
			assert.False(t, (&choice{state: l.state, failureRatio: l.Inputs.FailureRatio}).ejectedByPeers(b.peerLoads[KeyOf(routing.Incarnation{ID: "i-0"})], now))
			if r == ResultUnreached {
				assert.Zero(t, l.Inputs.FailureRatio)
			}
		})
	}
}

// Once a box has reported failures, the successful calls of all boxes count, including boxes
// without failures.
func TestSuccessfulCallsOfAllBoxesCount(t *testing.T) {
	now := time.Now()
	failing, healthy, b := New(log.NewNopLogger()), New(log.NewNopLogger()), New(log.NewNopLogger())
	for range 3 {
		makeCall(failing, 0, ResultFailed, now)
	}
	for range 60 {
		makeCall(healthy, 0, ResultDone, now)
	}
	assert.Empty(t, healthy.Report(now).Loads, "nothing to report without failures")
	healthy.SetPeerLoads(sumReports([]*Balancer{failing}, now), nil, now)
	b.SetPeerLoads(sumReports([]*Balancer{failing, healthy}, now), nil, now)
	l, _ := b.Pick(Query{Candidates: servers(1)}, now)
	assert.InDelta(t, 3.0/(63+priorSuccesses), l.Inputs.FailureRatio, 0.01)
	l.Done(ResultDone, now)
}
