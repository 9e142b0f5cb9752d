package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestQueuesCountWhatGoesBefore(t *testing.T) {
	var q queues
	key, other := queueKey{service: "models"}, queueKey{service: "models", regions: "north"}
	q.add(key, 0, 1)
	q.add(key, 2, 1)
	q.add(key, 2, 1)
	assert.Equal(t, 1, q.before(key, 2), "more urgent ones")
	assert.Equal(t, 3, q.before(key, 3), "and those of its rank")
	assert.Zero(t, q.before(other, 3), "requests that may go elsewhere wait for other servers")
	q.add(key, 0, -1)
	q.add(key, 2, -2)
	assert.Zero(t, q.before(key, 3))
	assert.Empty(t, q.waiting, "nothing is kept of requests that are gone")
}
