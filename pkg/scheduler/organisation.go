package scheduler

import (
	"time"

	"golang.org/x/time/rate"
)

// organisation is one caller's account on this shard.
type organisation struct {
	name    string
	limits  Limits
	running int
	// requests and tokens enforce the rates; nil means unlimited.
	requests *rate.Limiter
	tokens   *rate.Limiter
	seen     time.Time
}

// burstSeconds is how many seconds of an organisation's rate it may use at once.
const burstSeconds = 2

func newOrganisation(name string, l Limits) *organisation {
	o := &organisation{name: name}
	o.setLimits(l)
	return o
}

func (o *organisation) setLimits(l Limits) {
	if o.limits != l || o.requests == nil {
		o.requests = newLimiter(l.RequestsPerSecond)
		o.tokens = newLimiter(l.TokensPerSecond)
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

func (o *organisation) blocked() bool {
	return o.limits.Concurrency > 0 && o.running >= o.limits.Concurrency
}

// admit takes one request and its prompt tokens from the organisation's rates.
// When a rate is used up it returns how long until there is room.
func (o *organisation) admit(now time.Time, promptTokens int) (wait time.Duration, ok bool) {
	if w := untilRoom(o.tokens, now, promptTokens); w > 0 {
		return w, false
	}
	if w := untilRoom(o.requests, now, 1); w > 0 {
		return w, false
	}
	o.tokens.AllowN(now, promptTokens)
	o.requests.AllowN(now, 1)
	return 0, true
}

// charge takes the output tokens after the fact; the balance may go negative.
func (o *organisation) charge(now time.Time, tokens int) {
	if o.tokens.Limit() == rate.Inf {
		return
	}
	for tokens > 0 {
		n := min(tokens, o.tokens.Burst())
		o.tokens.ReserveN(now, n)
		tokens -= n
	}
}

// untilRoom is how long until l holds n tokens. A request larger than the burst
// needs a full bucket only.
func untilRoom(l *rate.Limiter, now time.Time, n int) time.Duration {
	if l.Limit() == rate.Inf {
		return 0
	}
	short := float64(min(n, l.Burst())) - l.TokensAt(now)
	if short <= 0 {
		return 0
	}
	return time.Duration(short / float64(l.Limit()) * float64(time.Second))
}
