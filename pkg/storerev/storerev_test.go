package storerev

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against revisions that are ordered by their numbers across a restore.
func TestOrderIsByEraThenNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, number := rapid.Uint64Range(0, maxEra), rapid.Uint64Range(0, maxNumber)
		e1, n1, e2, n2 := era.Draw(t, "era1"), number.Draw(t, "number1"), era.Draw(t, "era2"), number.Draw(t, "number2")
		r1, err1 := New(e1, n1)
		r2, err2 := New(e2, n2)
		require.NoError(t, err1)
		require.NoError(t, err2)
		assert.Equal(t, e1 < e2 || e1 == e2 && n1 < n2, r1 < r2)
		assert.Equal(t, e1, r1.Era())
		assert.Equal(t, n1, r1.Number())
		assert.LessOrEqual(t, StartOf(e1), r1)
		assert.Equal(t, e1 == e2, r1.SameEra(r2))
	})
}

func TestOutOfRange(t *testing.T) {
	for _, c := range []struct{ era, number uint64 }{{maxEra + 1, 0}, {0, maxNumber + 1}} {
		_, err := New(c.era, c.number)
		var outOfRange *RangeError
		require.ErrorAs(t, err, &outOfRange)
	}
}

func TestString(t *testing.T) {
	assert.Equal(t, "41", Revision(41).String())
	r, err := New(2, 41)
	require.NoError(t, err)
	assert.Equal(t, "2/41", r.String())
}
