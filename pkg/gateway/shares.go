package gateway

import (
	"math"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/fairshare"
)

// Shares tracks what organisations use of the services of engines.
type Shares interface {
	Admitted(k fairshare.Key, tokens int, now time.Time)
	Refund(k fairshare.Key, tokens int, now time.Time)
	Refused(k fairshare.Key, tokens int, now time.Time)
	Standing(k fairshare.Key, now time.Time) fairshare.Standing
}

// share is what a request has counted against its organisation's share.
type share struct {
	// charged are the tokens of the latest attempt, counted at chargedAt.
	charged   int
	chargedAt time.Time
	// standing and factor are those at admission.
	standing fairshare.Standing
	factor   float64
}

// countsShare reports whether the request counts against its organisation's share.
func (x *exchange) countsShare() bool {
	return x.service.Engine && x.gateway.Shares != nil && x.gateway.scheduling().FairShares
}

func (x *exchange) shareKey() fairshare.Key {
	key := fairshare.Key{Service: x.service.Name, Rank: x.rank()}
	if x.organisation != nil {
		key.Organisation = x.organisation.Name
	}
	return key
}

// waitFactor returns the factor on the maximum queueing time of the request that follows from what
// its organisation has used. It is 1 while fair shares are switched off.
func (x *exchange) waitFactor() float64 {
	if !x.countsShare() {
		return 1
	}
	x.share.standing = x.gateway.Shares.Standing(x.shareKey(), clock.Now())
	x.share.factor = x.share.standing.WaitFactor()
	return x.share.factor
}

// chargeShare counts the tokens of an attempt that is about to be sent.
func (x *exchange) chargeShare(lease *balancer.Lease) {
	x.share.charged = 0
	if !x.countsShare() {
		return
	}
	x.share.charged, x.share.chargedAt = lease.Inputs.PrefillTokens+x.call.OutputTokens, clock.Now()
	x.gateway.Shares.Admitted(x.shareKey(), x.share.charged, x.share.chargedAt)
}

// refundShare takes back what is left of the tokens of an attempt that did not run.
func (x *exchange) refundShare() {
	if x.share.charged == 0 {
		return
	}
	now := clock.Now()
	left := float64(x.share.charged) * fairshare.Remaining(now.Sub(x.share.chargedAt))
	x.share.charged = 0
	x.gateway.Shares.Refund(x.shareKey(), int(math.Round(left)), now)
}

// countRefusedShare counts the tokens of a request that was refused at admission. How much of the
// prompt is cached is unknown then, so that all of it counts.
func (x *exchange) countRefusedShare() {
	if x.countsShare() {
		x.gateway.Shares.Refused(x.shareKey(), x.call.PromptTokens+x.call.OutputTokens, clock.Now())
	}
}

// shareFields returns the log fields of the organisation's share, none if fair shares are switched
// off.
func (x *exchange) shareFields() []any {
	if !x.countsShare() {
		return nil
	}
	return []any{
		"organisation", x.shareKey().Organisation, "contended", x.share.standing.Contended,
		"share_ratio", roundTo(x.share.standing.Ratio, 100), "share_factor", roundTo(x.share.factor, 100),
	}
}

// roundTo rounds a value to a multiple of 1/steps.
func roundTo(v, steps float64) float64 { return math.Round(v*steps) / steps }
