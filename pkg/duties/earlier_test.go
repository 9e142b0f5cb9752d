package duties

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/metering"
)

// earlierState is the state as the first build with duties reads and writes it.
type earlierState struct {
	Metering *struct {
		Next   metering.Window `json:"next"`
		Closed []struct {
			Window metering.Window `json:"window"`
			Counts map[string]int  `json:"counts"`
		} `json:"closed"`
	} `json:"metering"`
}

// Guards against windows that are reported twice, or not at all, as a holder of another build takes over.
func TestLedgerIsContinuedByOtherBuilds(t *testing.T) {
	for name, recorded := range formstest.Recorded(t, "headhill-leases-duties.json") {
		var record struct{ Spec struct{ State []byte } }
		require.NoError(t, json.Unmarshal(recorded, &record), name)
		var before, after earlierState
		require.NoError(t, json.Unmarshal(record.Spec.State, &before), name)
		b := newBox(&fakeCloud{})
		b.duties.Restore(record.Spec.State, false)
		require.NotNil(t, before.Metering, name)
		assert.Equal(t, before.Metering.Next, b.duties.Reporter.Ledger().Next, name)

		closed := metering.Report{Window: before.Metering.Next, Counts: map[string]int{"alpha": 3}}
		b.duties.Reporter.ledger.with(func(l *metering.Ledger) { l.Next, l.Closed = l.Next+1, append(l.Closed, closed) })
		state, _ := b.duties.State()
		require.NoError(t, json.Unmarshal(state, &after), name)
		assert.Equal(t, before.Metering.Next+1, after.Metering.Next, name)
		last := after.Metering.Closed[len(after.Metering.Closed)-1]
		assert.Equal(t, closed, metering.Report{Window: last.Window, Counts: last.Counts}, name)
	}
}
