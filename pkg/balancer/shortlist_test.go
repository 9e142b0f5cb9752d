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

// longList is a list length at which a choice evaluates only a sample of the candidates.
const longList = 4 * maxFullScan

func TestBoxesAgreeOnHomesInLongLists(t *testing.T) {
	now := time.Now()
	first, second := New(log.NewNopLogger()), New(log.NewNopLogger())
	homes := make(map[string]int)
	for i := range 200 {
		q := query(longList, fmt.Sprintf("part-%d", i))
		a, ok := first.Pick(q, now)
		require.True(t, ok)
		// A list change, after which the homes are mostly the same.
		q.Candidates = append(servers(longList), routing.Server{ID: fmt.Sprintf("i-new-%d", i), Service: "models"})
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
	q := query(longList, "shared")
	holder := KeyOf(q.Candidates[longList/2].Incarnation())
	b.RecordPlacements([]Placement{{Server: holder, Parts: prefixOf(q.sharedParts()).keys, Prefilled: true}}, now)
	l, ok := b.Pick(q, now)
	require.True(t, ok)
	assert.Equal(t, q.Candidates[longList/2].ID, l.Server.ID)
	assert.Equal(t, 8000, l.Inputs.CachedTokens)
}

// maxRunning sends a thousand requests with one prefix, and returns the highest number at one
// server.
func maxRunning(t *testing.T, servers int) int {
	now := time.Now()
	b := New(log.NewNopLogger())
	q := query(servers, "shared")
	for i := range q.Candidates {
		q.Candidates[i].Slots = 16
	}
	running := make(map[string]int)
	highest := 0
	for range 1000 {
		l, ok := b.Pick(q, now)
		require.True(t, ok)
		running[l.Server.ID]++
		highest = max(highest, running[l.Server.ID])
		l.PrefillDone(now)
	}
	return highest
}

// Requests with the same prefix spread over a long list about as evenly as over a list that is
// evaluated completely.
func TestLoadIsSpreadInLongLists(t *testing.T) {
	assert.LessOrEqual(t, maxRunning(t, longList), maxRunning(t, maxFullScan)+1)
}

func TestExcludedServersAreNotPickedFromLongLists(t *testing.T) {
	now := time.Now()
	b := New(log.NewNopLogger())
	q := query(longList, "shared")
	for range 5 {
		l, ok := b.Pick(q, now)
		require.True(t, ok)
		assert.NotContains(t, q.Exclude, l.Server.Incarnation())
		q.Exclude = append(q.Exclude, l.Server.Incarnation())
		l.Done(ResultUnreached, now)
	}
}

// The state recorded by a choice does not grow with the list.
func TestPickStateDoesNotGrowWithListLength(t *testing.T) {
	now := time.Now()
	for _, n := range []int{longList, 2 * longList} {
		b := New(log.NewNopLogger())
		q := query(n, "shared")
		l, ok := b.Pick(q, now)
		require.True(t, ok)
		assert.LessOrEqual(t, len(b.servers), homesPerPrefix+maxHolders+sampleSize)
		l.Done(ResultDone, now)
	}
}
