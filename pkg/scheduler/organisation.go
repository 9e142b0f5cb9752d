package scheduler

import (
	"time"

	"golang.org/x/time/rate"
)

// organisation is the state of one organisation on this shard.
type organisation struct {
	name    string
	limits  Limits
	running int
	// requestLimiter and tokenLimiter enforce the rate limits.
	requestLimiter *rate.Limiter
	tokenLimiter   *rate.Limiter
	lastActive     time.Time
}

// burstSeconds is the burst size of a rate limit, in seconds of its rate.
const burstSeconds = 2

func newOrganisation(name string, l Limits) *organisation {
	o := &organisation{name: name}
	o.setLimits(l)
	return o
}

func (o *organisation) setLimits(l Limits) {
	if o.limits != l || o.requestLimiter == nil {
		o.requestLimiter = newLimiter(l.RequestsPerSecond)
		o.tokenLimiter = newLimiter(l.TokensPerSecond)
	}
	o.limits = l
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

func (o *organisation) weight() float64 {
	if o.limits.Weight <= 0 {
		return 1
	}
	return o.limits.Weight
}

func (o *organisation) atConcurrencyLimit() bool {
	return o.limits.Concurrency > 0 && o.running >= o.limits.Concurrency
}

// admit charges one request and its prompt tokens to the organisation's rate limits. If
// a limit is exceeded it charges nothing and returns the time until the request fits.
func (o *organisation) admit(now time.Time, promptTokens int) (wait time.Duration, ok bool) {
	if w := timeUntilAvailable(o.tokenLimiter, now, promptTokens); w > 0 {
		return w, false
	}
	if w := timeUntilAvailable(o.requestLimiter, now, 1); w > 0 {
		return w, false
	}
	o.tokenLimiter.AllowN(now, promptTokens)
	o.requestLimiter.AllowN(now, 1)
	return 0, true
}

// chargeOutput charges output tokens once they are known. The token balance may become
// negative.
func (o *organisation) chargeOutput(now time.Time, tokens int) {
	if o.tokenLimiter.Limit() == rate.Inf {
		return
	}
	for tokens > 0 {
		n := min(tokens, o.tokenLimiter.Burst())
		o.tokenLimiter.ReserveN(now, n)
		tokens -= n
	}
}

// timeUntilAvailable returns the time until l holds n tokens. A request larger than the
// burst size only needs a full bucket.
func timeUntilAvailable(l *rate.Limiter, now time.Time, n int) time.Duration {
	if l.Limit() == rate.Inf {
		return 0
	}
	deficit := float64(min(n, l.Burst())) - l.TokensAt(now)
	if deficit <= 0 {
		return 0
	}
	return time.Duration(deficit / float64(l.Limit()) * float64(time.Second))
}
