package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 3}

// Retries in any window stay within the slack plus the ratio of the requests in that window,
// widened by one slot.
func TestBudgetHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(limits)
		now := time.Now()
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("calls", now)
				requests = append(requests, now)
				continue
			}
			if b.Spend("calls", now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-limits.Window)
			// The budget counts in slots, so its window may start up to one slot earlier.
			allowed := limits.Slack + limits.Ratio*float64(count(requests, from.Add(-limits.Window/slotsPerWindow), end))
			if got := float64(count(retries, from, end)); got > allowed {
				t.Fatalf("%v retries in a window that allows %v", got, allowed)
			}
		}
	})
}

func count(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && !at.After(to) {
			n++
		}
	}
	return n
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := NewBudget(limits)
	now := time.Now()
	for b.Spend("calls", now) {
	}
	assert.True(t, b.Spend("models", now))
}

func TestBudgetRecoversAfterWindow(t *testing.T) {
	b := NewBudget(limits)
	now := time.Now()
	for b.Spend("calls", now) {
	}
	assert.False(t, b.Spend("calls", now.Add(limits.Window-time.Second)))
	assert.True(t, b.Spend("calls", now.Add(limits.Window+2*time.Second)))
}

func TestReducedSlackAppliesAtOnce(t *testing.T) {
	b := NewBudget(limits)
	now := time.Now()
	assert.True(t, b.Spend("calls", now))
	reduced := limits
	reduced.Slack = 1
	b.SetLimits(reduced)
	assert.False(t, b.Spend("calls", now), "earlier retries still count")
}
