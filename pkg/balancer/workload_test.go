package balancer

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/routing"
)

// What a server has cached is taken from it while it leaves: nothing of the prefix has to be
// prefilled again.
func TestPrefixesAreTakenFromServersThatLeave(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	q := query(3, "part")
	first, ok := b.Pick(q, now)
	require.True(t, ok)
	first.PrefillDone(now)
	first.Done(ResultDone, now)
	var staying, leaving []routing.Server
	for _, s := range q.Candidates {
		if s.ID == first.Server.ID {
			leaving = append(leaving, s)
			continue
		}
		staying = append(staying, s)
	}
	q.Candidates, q.Draining = staying, leaving
	next, ok := b.Pick(q, now)
	require.True(t, ok)
	assert.Equal(t, first.Server.Address, next.Source)
	assert.NotEqual(t, first.Server.ID, next.Server.ID)
	assert.Less(t, next.Inputs.PrefillTokens, first.Inputs.PrefillTokens)
}

// A workload holds what all boxes have the servers do, and the speed that all of them saw.
func TestWorkloadIsThatOfAllBoxes(t *testing.T) {
	now := time.Now()
	one, two := New(log.NewNopLogger()), New(log.NewNopLogger())
	q := query(4, "part")
	q.Service, q.Class = "models", "class"
	for range samplesLeast {
		l, _ := two.Pick(q, now)
		l.backlog = 10 * speedTokens
		l.state.backlog = l.backlog
		l.PrefillDone(now.Add(time.Second))
		l.Done(ResultDone, now.Add(time.Second))
	}
	l, _ := two.Pick(q, now)
	defer l.Done(ResultDone, now)
	assert.Zero(t, one.Workload(q.Service, q.Candidates, now).EngineSpeed)
	own, _ := one.Pick(q, now)
	defer own.Done(ResultDone, now)
	r := two.Report(now)
	one.SetPeerLoads(r.Loads, r.Demands, now)
	w := one.Workload(q.Service, q.Candidates, now)
	assert.Equal(t, 2, w.Running)
	assert.Positive(t, w.PrefillDemand)
	assert.InDelta(t, 10*speedTokens, w.EngineSpeed, speedTokens)
	late := now.Add(2 * othersFor)
	assert.Equal(t, 1, one.Workload(q.Service, q.Candidates, late).Running, "the others' word is too old")
}

func TestSpeedIsLearnedFromLongPrefillsOnly(t *testing.T) {
	var p prefillSpeed
	p.add(speedTokens-1, time.Millisecond)
	assert.Zero(t, p.tokensPerSecond())
	for i := range 3 * speedSamples {
		p.add(speedTokens, time.Duration(100+i%10)*time.Millisecond)
	}
	assert.Len(t, p.samples, speedSamples)
	assert.InDelta(t, speedTokens/0.1, p.tokensPerSecond(), speedTokens)
}
