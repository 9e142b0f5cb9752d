package gateway

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/retry"
)

// errRetryDenied is the cause of a send that the retry budget does not allow.
var errRetryDenied = errors.New("the retry budget of the service allows no further send: retry later")

// sends counts how often a request was written to a server.
type sends struct {
	count int
	// retry is the latest retry that was charged to the budget, chargeAge how long before its send.
	retry     *retry.Retry
	chargeAge time.Duration
}

// chargeRetry charges a retry to the budget and reports whether it is allowed.
func (x *exchange) chargeRetry() bool {
	now := clock.Now()
	x.sends.retry.Release(now)
	x.sends.retry = x.gateway.Budget.Charge(x.service.Name, now)
	if x.sends.retry == nil {
		x.logRetryDenied(now)
		return false
	}
	return true
}

// releaseRetry returns the charge of a retry that was not sent.
func (x *exchange) releaseRetry() { x.sends.retry.Release(clock.Now()) }

// beforeSend counts a request that is about to be written to a server. All sends pass it. The first one must not be too late in a
// shutdown, and each further one needs a retry that was charged for it.
func (x *exchange) beforeSend() error {
	now := clock.Now()
	x.sends.chargeAge = 0
	if x.sends.count == 0 {
		if err := x.checkSendDuringShutdown(now); err != nil {
			return err
		}
	}
	if x.sends.count > 0 {
		if x.sends.retry == nil || !x.sends.retry.Send(now) {
			x.logRetryDenied(now)
			return errRetryDenied
		}
		x.sends.chargeAge = now.Sub(x.sends.retry.ChargedAt())
	}
	x.sends.count++
	return nil
}

// isSendDenied reports whether an error is one of beforeSend, after which no other server is tried.
func isSendDenied(err error) bool {
	return errors.Is(err, errRetryDenied) || errors.Is(err, errStopping)
}

func (x *exchange) logRetryDenied(now time.Time) {
	u := x.gateway.Budget.Usage(x.service.Name, now)
	_ = level.Info(x.gateway.Logger).Log("msg", "retry denied by the budget", "id", x.call.ID, "service", x.service.Name,
		"requests", u.Requests, "retries", u.Retries, "allowed", u.Allowed, "slack", x.gateway.Budget.Slack(now), "sends", x.sends.count)
}
