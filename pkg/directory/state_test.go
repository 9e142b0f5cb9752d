package directory

import (
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
)

func TestStatesReportAgeAndFailures(t *testing.T) {
	now := time.Now()
	d := New(log.NewNopLogger())
	assert.Equal(t, map[string]State{PartTable: {}, PartServers: {}}, d.States(now))
	d.setTable(tableOf(4, "a"), now.Add(-3*time.Second))
	d.table.advance(position{revision: 9, changed: 9})
	d.list.recordResult(errors.New("source unavailable"))
	assert.Equal(t, map[string]State{
		PartTable:   {Revision: 9, Age: 3 * time.Second},
		PartServers: {Failures: 1},
	}, d.States(now))
}
