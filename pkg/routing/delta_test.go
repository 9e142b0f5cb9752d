package routing

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawContent generates a configuration whose items have unique names.
func drawContent(t *rapid.T, version uint64) Content {
	c := Content{Version: version, Limits: Limits{BodyBytes: rapid.IntRange(1, 3).Draw(t, "body")}}
	for i := range 6 {
		if rapid.Bool().Draw(t, "route") {
			c.Routes = append(c.Routes, Route{
				Name: fmt.Sprintf("r%d", i), Host: "host", Prefix: fmt.Sprintf("/%d/", i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Targets: []Target{{Service: "s", Weight: rapid.IntRange(1, 2).Draw(t, "weight")}},
			})
		}
		if rapid.Bool().Draw(t, "organisation") {
			c.Organisations = append(c.Organisations, Organisation{
				Name: fmt.Sprintf("o%d", i), Keys: rapid.SliceOfN(rapid.StringMatching("[a-c]"), 1, 3).Draw(t, "keys"),
			})
		}
		if rapid.Bool().Draw(t, "service") {
			c.Services = append(c.Services, Service{Name: fmt.Sprintf("s%d", i), Engine: rapid.Bool().Draw(t, "engine")})
		}
	}
	return c
}

// Applying a delta that was encoded and decoded gives the target configuration.
func TestDeltaLeadsToTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := NewTable(drawContent(t, 3)), NewTable(drawContent(t, 8))
		data, err := json.Marshal(Diff(from, to))
		require.NoError(t, err)
		var d Delta
		require.NoError(t, json.Unmarshal(data, &d))
		got, ok := from.Apply(d)
		require.True(t, ok)
		assert.Equal(t, to.Version, got.Version)
		assert.Equal(t, to.Limits, got.Limits)
		assert.ElementsMatch(t, to.content.Routes, got.content.Routes)
		assert.ElementsMatch(t, to.content.Services, got.content.Services)
		assert.ElementsMatch(t, to.content.Organisations, got.content.Organisations)
	})
}

func TestApplyRejectsMismatchedDelta(t *testing.T) {
	at := func(version uint64, names ...string) *Table {
		c := Content{Version: version}
		for _, n := range names {
			c.Routes = append(c.Routes, Route{Name: n, Host: "host", Prefix: "/" + n + "/"})
		}
		return NewTable(c)
	}
	d := Diff(at(3, "a"), at(5, "a", "b"))
	_, ok := at(4, "a").Apply(d)
	assert.False(t, ok, "base version differs")
	_, ok = at(3, "a", "c").Apply(d)
	assert.False(t, ok, "same version, different content")
	_, ok = at(3, "a").Apply(Diff(at(3, "a"), at(2, "a")))
	assert.False(t, ok, "target version is lower")
	next, ok := at(3, "a").Apply(d)
	require.True(t, ok)
	_, found := next.Match("host", "/b/x")
	assert.True(t, found)
}
