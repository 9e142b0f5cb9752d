package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newTable(organisations []Organisation, routes ...Route) *Table {
	return NewTable(Content{Version: 1, Routes: routes, Organisations: organisations})
}

func TestLongestPrefixWins(t *testing.T) {
	x := newTable(nil, Route{Name: "short", Host: "A.example", Prefix: "/a/"}, Route{Name: "long", Host: "a.example", Prefix: "/a/b/"}, Route{Name: "root", Host: "b.example", Prefix: "/"})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/a/b/c", "long"}, {"A.EXAMPLE:80", "/a/bc", "short"}, {"a.example", "/a", ""}, {"a.example", "/b/", ""},
		{"b.example", "/anything", "root"}, {"c.example", "/a/", ""}, {"a.example", "", ""}, {"a.example", "/a%2Fb/", ""},
	} {
		r, ok := x.Match(c.host, c.path)
		assert.Equal(t, c.want != "", ok, c)
		if ok {
			assert.Equal(t, c.want, r.Name, c)
		}
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"none", 0}, {"b", 10}}}
	assert.Equal(t, "a", r.PickService(0))
	assert.Equal(t, "a", r.PickService(0.899))
	assert.Equal(t, "b", r.PickService(0.901))
	assert.Equal(t, "b", r.PickService(0.9999999))
	assert.Empty(t, (&Route{}).PickService(0.5))
}

func TestRankPreservesPriorityOrder(t *testing.T) {
	var organisations []Organisation
	var routes []Route
	for i := range 7 {
		organisations = append(organisations, Organisation{Name: string(rune('a' + i)), Priority: i, Keys: []string{string(rune('a' + i))}})
		routes = append(routes, Route{Priority: i})
	}
	x := newTable(organisations, routes...)
	last := 0
	for i := range organisations {
		for j := range routes {
			rank := x.Rank(&organisations[i], &routes[j])
			require.GreaterOrEqual(t, rank, last)
			require.LessOrEqual(t, rank, MaxRank)
			last = rank
		}
	}
	assert.Equal(t, MaxRank, last)
	few := newTable([]Organisation{{Priority: 1}}, Route{Priority: 0}, Route{Priority: 2})
	assert.Less(t, few.Rank(&Organisation{Priority: 1}, &Route{Priority: 0}), few.Rank(&Organisation{Priority: 1}, &Route{Priority: 2}))
}

func TestNeedsKeyOnlyWithOrganisations(t *testing.T) {
	with := newTable([]Organisation{{Name: "a", Keys: []string{"k"}}})
	without := newTable(nil)
	assert.True(t, with.NeedsKey(&Route{}))
	assert.False(t, with.NeedsKey(&Route{Public: true}))
	assert.False(t, without.NeedsKey(&Route{}))
}

// Guards against routes that are open to everybody once all keys were revoked, and against an empty key that lets in
// callers without one.
func TestKeysAreNeededWhileNoneIsInForce(t *testing.T) {
	for name, c := range map[string]Content{
		"organisation without keys":       {Organisations: []Organisation{{Name: "a"}}},
		"organisation with an empty key":  {Organisations: []Organisation{{Name: "a", Keys: []string{""}}}},
		"no organisation, but their list": {KeysRequired: true},
	} {
		table := NewTable(c)
		assert.True(t, table.NeedsKey(&Route{}), name)
		_, ok := table.OrganisationByKey("")
		assert.False(t, ok, name)
	}
}

// Guards against a change of the table that is applied without the need for keys.
func TestDeltaKeepsWhetherKeysAreNeeded(t *testing.T) {
	withKeys := NewTable(Content{Version: 1, KeysRequired: true, Organisations: []Organisation{{Name: "a", Keys: []string{"k"}}}})
	revoked, open := NewTable(Content{Version: 2, KeysRequired: true}), NewTable(Content{Version: 3})
	next, ok := withKeys.Apply(Diff(withKeys, revoked))
	require.True(t, ok)
	assert.True(t, next.NeedsKey(&Route{}))
	next, ok = next.Apply(Diff(revoked, open))
	require.True(t, ok)
	assert.False(t, next.NeedsKey(&Route{}))
	forgotten := Diff(withKeys, revoked)
	forgotten.KeysRequired = false
	_, ok = withKeys.Apply(forgotten)
	assert.False(t, ok, "a delta that does not hold it")
}
