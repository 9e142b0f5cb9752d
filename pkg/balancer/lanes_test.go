package balancer

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// classQuery is a request of a class whose prompt has no shared part.
func classQuery(class string, tokens int) Query {
	return Query{
		Candidates: servers(20), Hall: "hall-0", Engine: true, Service: "models", Class: class,
		PromptTokens: tokens, Parts: []Part{{ID: "own", Tokens: tokens}},
	}
}

// Interactive requests and long prompts use disjoint sets of servers.
func TestInteractiveRequestsUseSeparateServers(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	used := map[string]map[string]bool{"interactive": {}, "long": {}}
	for i := range 400 {
		class, tokens := "long", 12000
		if i%4 == 0 {
			class, tokens = "interactive", 1000
		}
		l, ok := b.Pick(classQuery(class, tokens), now)
		require.True(t, ok)
		if i >= 100 {
			used[class][l.Server.ID] = true
		}
		now = now.Add(100 * time.Millisecond)
		l.PrefillDone(now)
		l.Done(ResultDone, now)
	}
	assert.NotEmpty(t, used["interactive"])
	for id := range used["interactive"] {
		assert.False(t, used["long"][id], "server %s got both classes", id)
	}
}

// A single class uses all servers.
func TestOneClassUsesAllServers(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	used := make(map[string]bool)
	for range 400 {
		l, _ := b.Pick(classQuery("only", 3000), now)
		used[l.Server.ID] = true
		now = now.Add(time.Millisecond)
	}
	assert.Len(t, used, 20)
}

func TestLaneSizeFollowsDemand(t *testing.T) {
	now := time.Now()
	var stats serviceStats
	assert.Zero(t, stats.laneSize(20, now), "no demand recorded")
	stats.recordPrefill(false, 9000, now)
	assert.Zero(t, stats.laneSize(20, now))
	stats.recordPrefill(true, 1000, now)
	assert.Equal(t, int(laneHeadroomFactor*2), stats.laneSize(20, now))
	assert.Zero(t, stats.laneSize(2, now), "less than half a server")
	stats.peers = Demand{Interactive: 1e6}
	assert.Equal(t, int(maxLaneShare*20), stats.laneSize(20, now))
	assert.InDelta(t, 0.1, stats.local.Interactive/(stats.local.Interactive+stats.local.Bulk), 0.001)
	stats.peers = Demand{}
	stats.decay(now.Add(20 * demandDecayTime))
	assert.Less(t, stats.local.Bulk, 1.0, "demand decays")
}

// The lane does not depend on the order of the candidates.
func TestBoxesAgreeOnTheLane(t *testing.T) {
	b, now := New(log.NewNopLogger()), time.Now()
	list := servers(20)
	inLane := func(reverse bool) map[string]bool {
		var choices []choice
		for i := range list {
			if reverse {
				i = len(list) - 1 - i
			}
			choices = append(choices, choice{Server: &list[i], state: b.server(KeyOf(list[i].Incarnation()), now)})
		}
		stats := serviceStats{classes: make(profiles), peers: Demand{Interactive: 1, Bulk: 9}}
		l := stats.laneOf(Query{Class: "any", PromptTokens: 1000}, keysOf(nil, choices), now)
		ids := make(map[string]bool)
		for _, c := range choices {
			if c.state.key <= l.maxKey {
				ids[c.ID] = true
			}
		}
		return ids
	}
	assert.Equal(t, inLane(false), inLane(true))
	assert.Len(t, inLane(false), int(laneHeadroomFactor*2))
}
