package gateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/retry"
	"headhill.example/headhill/pkg/routing"
)

func newBudgetedExchange(slack float64) *exchange {
	b := retry.NewBudget(retry.Limits{Window: time.Minute, Slack: slack}, time.Now().Add(-time.Hour))
	b.ObserveRoster(1, true, time.Now())
	return &exchange{gateway: &Gateway{Deps: Deps{Budget: b, Logger: log.NewNopLogger(), Shutdown: func() *Shutdown { return nil }}}, service: &routing.Service{Name: "s"}}
}

// Guards against a path by which a request is sent again without a charge to the retry budget.
func TestEachFurtherSendNeedsACharge(t *testing.T) {
	x := newBudgetedExchange(100)
	assert.NoError(t, x.beforeSend())
	assert.ErrorIs(t, x.beforeSend(), errRetryDenied)
	assert.True(t, x.chargeRetry())
	assert.NoError(t, x.beforeSend())
	assert.ErrorIs(t, x.beforeSend(), errRetryDenied, "one send for a charge")
	assert.EqualValues(t, 1, x.gateway.Budget.Totals().Sent)
}

// Guards against charges of retries that were never sent, which would use up the budget.
func TestUnsentRetriesAreReleased(t *testing.T) {
	x := newBudgetedExchange(3)
	for range 10 {
		assert.True(t, x.chargeRetry())
	}
	x.releaseRetry()
	assert.Zero(t, x.gateway.Budget.Usage("s", time.Now()).Retries)
}
