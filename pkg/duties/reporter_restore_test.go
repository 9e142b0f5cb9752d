package duties

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/metering"
)

// Guards against windows that a holder closes a second time because it has just started, so that it learns
// only from other boxes what a restore of the store has lost.
func TestRestoredLedgerWaitsForOtherBoxes(t *testing.T) {
	r := NewReporter(ReporterDeps{})
	r.attach(nil, nil, log.NewNopLogger())
	now := clock.Now()
	r.restore(&metering.Ledger{Next: 5}, true)
	assert.False(t, r.caughtUp(now))
	r.ObserveNext(8)
	assert.False(t, r.caughtUp(now))
	assert.True(t, r.caughtUp(now.Add(2*catchUpDelay)))
	assert.Equal(t, metering.Window(8), r.Ledger().Next)
	assert.True(t, r.caughtUp(now), "the ledger is brought up to date once")
}

func TestLedgerOfPreviousHolderIsUsedAtOnce(t *testing.T) {
	r := NewReporter(ReporterDeps{})
	r.attach(nil, nil, log.NewNopLogger())
	r.ObserveNext(8)
	r.restore(&metering.Ledger{Next: 5}, false)
	assert.True(t, r.caughtUp(clock.Now()))
	assert.Equal(t, metering.Window(5), r.Ledger().Next)
}
