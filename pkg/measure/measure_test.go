package measure

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSameSeedGivesSameResults(t *testing.T) {
	for _, v := range append(Mechanisms()[:2], FaultVariants()[0]) {
		a, err := json.Marshal(Run(Recife(), v, 3))
		require.NoError(t, err)
		b, err := json.Marshal(Run(Recife(), v, 3))
		require.NoError(t, err)
		require.JSONEq(t, string(a), string(b), v.Name)
	}
}

// Guards attainment of the top tier, wasted work, goodput and occupancy against
// regressions, and every class against starvation.
func TestScenariosMeetTheirTargets(t *testing.T) {
	for _, s := range []Scenario{Hanoi(), Recife()} {
		list := Measure(s, Mechanisms()[:2], 3)
		headhill, baseline := list[0], list[1]
		require.GreaterOrEqual(t, headhill.Classes[0].BurstAttainment.Min, 0.99, "%s: burst attainment of the top tier", s.Name)
		require.Less(t, headhill.Wasted.Max, 0.01, "%s: wasted work", s.Name)
		require.Greater(t, headhill.Goodput.Min, baseline.Goodput.Max, "%s: goodput", s.Name)
		require.Greater(t, headhill.Occupancy.Min, 0.95, "%s: engine occupancy in the burst", s.Name)
		for i, c := range headhill.Classes[1:] {
			require.Positive(t, c.BurstStartShare.Min, "%s: %s starved", s.Name, s.Classes[i+1].Name)
		}
	}
}
