package incarnation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// Guards against a restart that another process has stated and that other boxes are not told of, as the box that asked has lost connections
// to many servers at once.
func TestCertainRestartIsAnnouncedAlthoughManyServersAreLost(t *testing.T) {
	f := newFakeTracker()
	for i := range massLoss {
		other := &routing.Server{ID: fmt.Sprint("other-", i), Address: "10.0.0.2:1", Version: "v1", Started: 1}
		f.RecordLost(Connection{Server: other, Opened: f.at(1), Broken: f.at(5)}, true)
	}
	f.announced = nil
	f.RecordReport(f.server, Answer{Started: 2, Sent: f.at(5.1), Received: f.at(5.11)})
	assert.Len(t, f.announced, 1)
}
