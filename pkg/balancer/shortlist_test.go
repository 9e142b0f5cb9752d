package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/routing"
)

// many is a list that is too long to look at each candidate.
const many = 4 * lookAtAll

func TestBoxesAgreeOnHomesInLongLists(t *testing.T) {
	now := time.Now()
	first, second := New(log.NewNopLogger()), New(log.NewNopLogger())
	homes := make(map[string]int)
	for i := range 200 {
		q := query(many, fmt.Sprintf("part-%d", i))
		a, ok := first.Pick(q, now)
		require.True(t, ok)
		// Lists are made anew with each change, of which most leave the homes alone.
		q.Candidates = append(servers(many), routing.Server{ID: fmt.Sprintf("i-new-%d", i), Service: "models"})
		b, _ := second.Pick(q, now)
		assert.Equal(t, a.Server.ID, b.Server.ID)
		homes[a.Server.ID]++
		for _, l := range []*Lease{a, b} {
			l.PrefillDone(now)
			l.Done(ResultDone, now)
		}
	}
	assert.Greater(t, len(homes), 150, "homes are spread")
}

func TestCachedPrefixIsFoundInLongLists(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	q := query(many, "shared")
	at := KeyOf(q.Candidates[many/2].Incarnation())
	b.RecordPlacements([]Placement{{Server: at, Parts: prefixOf(q.shared()).keys, Prefilled: true}}, now)
	l, ok := b.Pick(q, now)
	require.True(t, ok)
	assert.Equal(t, q.Candidates[many/2].ID, l.Server.ID)
	assert.Equal(t, 8000, l.Inputs.CachedTokens)
}

// busiest is the most requests that a server of so many gets of a thousand with one prefix.
func busiest(t *testing.T, servers int) int {
	now := time.Now()
	b := New(log.NewNopLogger())
	q := query(servers, "shared")
	for i := range q.Candidates {
		q.Candidates[i].Slots = 16
	}
	running := make(map[string]int)
	most := 0
	for range 1000 {
		l, ok := b.Pick(q, now)
		require.True(t, ok)
		running[l.Server.ID]++
		most = max(most, running[l.Server.ID])
		l.PrefillDone(now)
	}
	return most
}

// Requests that share a prefix are spread over a long list about as they are over a short one, of
// which each server is looked at.
func TestLoadIsSpreadInLongLists(t *testing.T) {
	assert.LessOrEqual(t, busiest(t, many), busiest(t, lookAtAll)+1)
}

func TestTriedServersAreLeftOutOfLongLists(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	q := query(many, "shared")
	for range 5 {
		l, ok := b.Pick(q, now)
		require.True(t, ok)
		assert.NotContains(t, q.Exclude, l.Server.Incarnation())
		q.Exclude = append(q.Exclude, l.Server.Incarnation())
		l.Done(ResultUnreached, now)
	}
}

// What a choice remembers does not grow with the list, nor does what it looks at.
func TestChoiceDoesNotGrowWithTheList(t *testing.T) {
	now := time.Now()
	for _, n := range []int{many, 2 * many} {
		b := New(log.NewNopLogger())
		q := query(n, "shared")
		l, ok := b.Pick(q, now)
		require.True(t, ok)
		assert.LessOrEqual(t, len(b.servers), homesMost+holdersMost+drawnMost)
		l.Done(ResultDone, now)
	}
}
