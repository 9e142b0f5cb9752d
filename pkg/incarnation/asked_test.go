package incarnation

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against streams that go on at the version of an entry though another process may have begun them, and against those that are
// refused for good as their server has ended since.
func TestVersionOfServerThatWasAskedAfterItsConnectionBroke(t *testing.T) {
	confirm := func(at float64) func(*fakeTracker) {
		return func(f *fakeTracker) { f.list.confirmed = f.at(at) }
	}
	for name, c := range map[string]struct {
		record func(*fakeTracker)
		// version is "" if it can't be told.
		version string
	}{
		"no answer":                                    {func(*fakeTracker) {}, "v1"},
		"its process runs":                             {func(f *fakeTracker) { f.report(1, 6) }, "v1"},
		"its process had answered before":              {func(f *fakeTracker) { f.report(1, 4) }, "v1"},
		"another process, not listed":                  {func(f *fakeTracker) { f.report(2, 6) }, ""},
		"another process, of the same version":         {func(f *fakeTracker) { f.report(2, 6); f.relist("v1", 7) }, "v1"},
		"another process, of another version":          {func(f *fakeTracker) { f.report(2, 6); f.relist("v2", 7) }, "v2"},
		"another version listed, no answer":            {func(f *fakeTracker) { f.relist("v2", 7) }, "v2"},
		"no longer listed, no answer":                  {func(f *fakeTracker) { delete(f.list.entries, "a") }, "v1"},
		"no longer listed, another process":            {func(f *fakeTracker) { f.report(2, 6); delete(f.list.entries, "a") }, ""},
		"opened before the list was last settled":      {func(f *fakeTracker) { confirm(10)(f); f.report(2, 11) }, "v1"},
		"opened after the list was last settled":       {func(f *fakeTracker) { confirm(9)(f); f.report(2, 11) }, ""},
		"it had ended before, and was listed by a box": {func(f *fakeTracker) { f.report(2, 6); f.report(3, 7); f.relist("v1", 8) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTracker()
			c.record(f)
			version, ok := f.VersionAsked(Connection{Server: f.server, Opened: f.at(5), Broken: f.at(5.5)})
			assert.Equal(t, c.version != "", ok)
			if ok {
				assert.Equal(t, c.version, version)
			}
		})
	}
}

func TestListProvesConnections(t *testing.T) {
	f := newFakeTracker()
	c := Connection{Server: f.server, Opened: f.at(5)}
	assert.False(t, f.Proved(c), "the list was not confirmed")
	f.list.confirmed = f.at(9)
	assert.False(t, f.Proved(c), "an entry is late")
	f.list.confirmed = f.at(10)
	assert.True(t, f.Proved(c))
	f.report(2, 11)
	assert.True(t, f.Proved(c), "its process has ended since")
	f.relist("v1", 12)
	assert.False(t, f.Proved(c), "the entry is that of another process")
}
