package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 3}

// In any window, repeats stay within the ratio of the requests of that window, or of
// one that began up to a whole window before, and the slack.
func TestBudgetHoldsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(limits)
		now := time.Now()
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("calls", now)
				requests = append(requests, now)
				continue
			}
			if b.Spend("calls", now) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			from := end.Add(-limits.Window)
			// The budget counts in slots, so that its window may begin one later.
			allowed := limits.Slack + limits.Ratio*float64(count(requests, from.Add(-limits.Window/parts), end))
			if got := float64(count(repeats, from, end)); got > allowed {
				t.Fatalf("%v repeats in a window that allows %v", got, allowed)
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

func TestBudgetsOfServicesAreApart(t *testing.T) {
	b := NewBudget(limits)
	now := time.Now()
	for b.Spend("calls", now) {
	}
	assert.True(t, b.Spend("models", now))
}

func TestBudgetComesBackAfterItsWindow(t *testing.T) {
	b := NewBudget(limits)
	now := time.Now()
	for b.Spend("calls", now) {
	}
	assert.False(t, b.Spend("calls", now.Add(limits.Window-time.Second)))
	assert.True(t, b.Spend("calls", now.Add(limits.Window+2*time.Second)))
}

func TestShareThatShrinksHoldsAtOnce(t *testing.T) {
	b := NewBudget(limits)
	now := time.Now()
	assert.True(t, b.Spend("calls", now))
	less := limits
	less.Slack = 1
	b.SetLimits(less)
	assert.False(t, b.Spend("calls", now), "what was spent before still counts")
}
