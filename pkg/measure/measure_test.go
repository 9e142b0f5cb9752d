package measure

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSameSeedSameFigures(t *testing.T) {
	for _, v := range append(Mechanisms()[:2], FaultVariants()[0]) {
		a, err := json.Marshal(Run(Recife(), v, 3))
		require.NoError(t, err)
		b, err := json.Marshal(Run(Recife(), v, 3))
		require.NoError(t, err)
		require.JSONEq(t, string(a), string(b), v.Name)
	}
}

// What the users weigh most must not get worse unnoticed.
func TestAimsHoldInBothDays(t *testing.T) {
	for _, s := range []Scenario{Hanoi(), Recife()} {
		list := Measure(s, Mechanisms()[:2], 3)
		ours, base := list[0], list[1]
		require.GreaterOrEqual(t, ours.Classes[0].Burst.Min, 0.99, "%s: the top tier in the burst", s.Name)
		require.Less(t, ours.Wasted.Max, 0.01, "%s: wasted work", s.Name)
		require.Greater(t, ours.Goodput.Min, base.Goodput.Max, "%s: goodput", s.Name)
		require.Greater(t, ours.Occupancy.Min, 0.95, "%s: what the engines can do", s.Name)
		for i, c := range ours.Classes[1:] {
			require.Positive(t, c.BurstStarts.Min, "%s: %s starved", s.Name, s.Classes[i+1].Name)
		}
	}
}
