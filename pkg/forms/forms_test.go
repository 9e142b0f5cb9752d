package forms

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a message that is taken for complete because its sender states no level, or a lower one.
func TestAbsentAndLowerLevelsAreIncomplete(t *testing.T) {
	for level, complete := range map[int]bool{0: false, LevelFirst: false, Level - 1: false, Level: true, Level + 1: true, -1: false} {
		assert.Equal(t, complete, Complete(level), level)
	}
	assert.Equal(t, LevelFirst, EffectiveLevel(0))
	assert.Equal(t, LevelKeysRequired, Level)
}
