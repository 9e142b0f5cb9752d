package incarnation

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// Guards against a certain restart that is overlooked as idle connections to other servers are found closed at the same time.
func TestIdleClosesOfOtherServersDoNotHideARestart(t *testing.T) {
	f := newFakeTracker()
	for _, id := range []string{"b", "c"} {
		f.RecordIdleClosed(Connection{Server: &routing.Server{ID: id, Address: id}, Opened: f.at(2), Broken: f.at(5)})
	}
	f.lose(f.server, false, 5.01)
	f.lose(f.server, false, 5.02)
	f.lose(f.server, true, 5.03)
	assert.True(t, f.MayHaveRestarted(f.server, true, f.at(5.1)))
	assert.NotEmpty(t, f.announced)
}
