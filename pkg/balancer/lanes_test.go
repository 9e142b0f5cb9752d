package balancer

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// classQuery is a request of a class whose prompt has one part of its own.
func classQuery(class string, tokens int) Query {
	return Query{
		Candidates: servers(20), Hall: "hall-0", Engine: true, Service: "models", Class: class,
		PromptTokens: tokens, Parts: []Part{{ID: "own", Tokens: tokens}},
	}
}

// Streams of short prompts keep away from servers that read long ones, also before
// those have begun.
func TestShortPromptsHaveServersOfTheirOwn(t *testing.T) {
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
		assert.False(t, used["long"][id], "server %s reads both", id)
	}
}

// With one class alone there is nothing to be cached apart.
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

func TestLaneGrowsWithItsDemand(t *testing.T) {
	now := time.Now()
	var l lanes
	assert.Zero(t, l.size(20, now), "nothing is known")
	l.note(false, 9000, now)
	assert.Zero(t, l.size(20, now))
	l.note(true, 1000, now)
	assert.Equal(t, int(laneHeadroom*2), l.size(20, now))
	assert.Zero(t, l.size(2, now), "less than half a server")
	l.others = Demand{Interactive: 1e6}
	assert.Equal(t, int(laneMost*20), l.size(20, now))
	assert.InDelta(t, 0.1, l.own.Interactive/(l.own.Interactive+l.own.Bulk), 0.001)
	l.others = Demand{}
	l.decay(now.Add(20 * demandTime))
	assert.Less(t, l.own.Bulk, 1.0, "demand is forgotten")
}

// Boxes agree on the lane though their candidates come in another order.
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
		l := lanes{classes: make(profiles), others: Demand{Interactive: 1, Bulk: 9}}
		r := l.laneOf(Query{Class: "any", PromptTokens: 1000}, keysOf(nil, choices), now)
		ids := make(map[string]bool)
		for _, c := range choices {
			if c.state.key <= r.most {
				ids[c.ID] = true
			}
		}
		return ids
	}
	assert.Equal(t, inLane(false), inLane(true))
	assert.Len(t, inLane(false), int(laneHeadroom*2))
}
