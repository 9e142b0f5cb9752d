package roster

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/stall"
)

// A single box of an older build determines the lowest forms level.
func TestLowestLevelIsThatOfOldestBuild(t *testing.T) {
	r := New(nil, Entry{Box: "a", Level: forms.Level}, stall.Limits{}, log.NewNopLogger())
	assert.Equal(t, forms.Level, r.LowestLevel())
	r.apply([]Entry{{Box: "a", Level: forms.Level}, {Box: "b"}, {Box: "c", Level: forms.Level + 1}}, 1, false)
	assert.Equal(t, forms.LevelFirst, r.LowestLevel())
	assert.Equal(t, []string{"b"}, r.OlderBuilds(9))
	assert.Empty(t, r.OlderBuilds(0))
	r.apply([]Entry{{Box: "a", Level: forms.Level}, {Box: "b", Level: forms.Level}}, 2, false)
	assert.Equal(t, forms.Level, r.LowestLevel())
}
