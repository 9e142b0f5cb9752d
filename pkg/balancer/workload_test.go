package balancer

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/routing"
)

// A prefix cached by a draining server is transferred from it instead of being prefilled again.
func TestPrefixIsTransferredFromDrainingServer(t *testing.T) {
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

// A workload includes the load and the prefill speed reported by other boxes.
func TestWorkloadIncludesPeers(t *testing.T) {
	now := time.Now()
	one, two := New(log.NewNopLogger()), New(log.NewNopLogger())
	q := query(4, "part")
	q.Service, q.Class = "models", "class"
	for range minSpeedSamples {
		l, _ := two.Pick(q, now)
		l.backlog = 10 * minSpeedSampleTokens
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
	assert.InDelta(t, 10*minSpeedSampleTokens, w.EngineSpeed, minSpeedSampleTokens)
	late := now.Add(2 * peerLoadTTL)
	assert.Equal(t, 1, one.Workload(q.Service, q.Candidates, late).Running, "peer loads have expired")
}

func TestShortPrefillsAreNoSpeedSamples(t *testing.T) {
	var p prefillSpeed
	p.add(minSpeedSampleTokens-1, time.Millisecond)
	assert.Zero(t, p.tokensPerSecond())
	for i := range 3 * maxSpeedSamples {
		p.add(minSpeedSampleTokens, time.Duration(100+i%10)*time.Millisecond)
	}
	assert.Len(t, p.samples, maxSpeedSamples)
	assert.InDelta(t, minSpeedSampleTokens/0.1, p.tokensPerSecond(), minSpeedSampleTokens)
}
