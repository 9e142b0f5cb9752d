package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/upstream"
)

// Quarantine tracks requests, and parts of prompts, during which servers crashed.
type Quarantine interface {
	// Find returns the verdict that decides on a request.
	Find(*quarantine.Request) quarantine.Finding
	RecordCrash(r *quarantine.Request, server quarantine.IncarnationHash, at time.Time)
	// RecordSuccess records a response; whole is set if it is successful and complete.
	RecordSuccess(r *quarantine.Request, whole bool, now time.Time)
	// BeginTrial reports whether this box may send a quarantined request to a server now.
	BeginTrial(ctx context.Context, f quarantine.Fingerprint, now time.Time) bool
}

const (
	// maxProbeWait is how long a request waits for the probe of a server whose connection broke. A
	// running machine refuses a connection within a round trip; a later result is recorded for the
	// next request.
	maxProbeWait = 50 * time.Millisecond
	// minQuarantineRetryAfter and maxQuarantineRetryAfter limit the Retry-After of a quarantined
	// request. The maximum is used if only an operator can release the request.
	minQuarantineRetryAfter = time.Second
	maxQuarantineRetryAfter = time.Hour
	// delayFromCrashes is the number of crashed servers, counted over all boxes, from which on a
	// request is delayed before its next attempt. After a single crash most requests are harmless
	// and are retried at once.
	delayFromCrashes = 2
	// minArrivalDelay is the minimum delay of a suspect request on arrival. It exceeds the delay
	// before a retry, so that a copy in progress at another box is retried, and its outcome known,
	// first.
	minArrivalDelay = 2 * quarantine.IncidentWindow
	// maxSharedParts bounds the parts of one prompt that are considered.
	maxSharedParts = 64
)

var errQuarantined = errors.New("backend servers crash of this request")

// quarantineRequest returns the properties by which the quarantine identifies the request.
func (x *exchange) quarantineRequest() quarantine.Request {
	r := quarantine.Request{Method: x.request.Method, Host: x.request.Host, Target: x.request.RequestURI, Body: x.body, Parts: x.sharedParts}
	if x.service != nil {
		r.Service = x.service.Name
	}
	if x.organisation != nil {
		r.Organisation = x.organisation.Name
	}
	return r
}

// quarantineFinding returns the verdict of all boxes that decides on the request.
func (x *exchange) quarantineFinding() quarantine.Finding {
	r := x.quarantineRequest()
	return x.gateway.Quarantine.Find(&r)
}

// checkQuarantine refuses a quarantined request unless this box runs its trial. A suspect request
// is delayed first, as its caller may resend it while the previous copy is still at a server. Without
// the delay, that crashed a fifth server in 23 of 80 runs beside other load.
func (x *exchange) checkQuarantine(ctx context.Context) error {
	x.delaySuspect(ctx, minArrivalDelay+rand.N(quarantine.IncidentWindow))
	f := x.quarantineFinding()
	if !f.Held {
		return nil
	}
	if x.gateway.Quarantine.BeginTrial(ctx, f.Fingerprint, clock.Now()) {
		x.quarantineTrial = true
		return nil
	}
	return quarantinedError(f)
}

// quarantinedError returns the error for a quarantined request, with the time of its next trial.
func quarantinedError(f quarantine.Finding) *RefusedError {
	retryAfter := maxQuarantineRetryAfter
	if !f.NextTrial.IsZero() {
		retryAfter = min(max(clock.Until(f.NextTrial), minQuarantineRetryAfter), maxQuarantineRetryAfter)
	}
	what := "this request"
	if f.Part != "" {
		what = fmt.Sprintf("a request with the part %q of this prompt", f.Part)
	}
	return &RefusedError{
		Reason:     fmt.Sprintf("%d backend servers crashed while they had %s: change it, or ask the operators to look at request %s", f.Crashes, what, f.Fingerprint),
		RetryAfter: retryAfter,
	}
}

// quarantineAllowsRetry reports whether a request whose server failed may be sent to another one.
func (x *exchange) quarantineAllowsRetry() bool {
	return !x.quarantineTrial && !x.quarantineFinding().Held
}

// delaySuspect delays a request during which several servers crashed, so that a further crash can
// be told from simultaneous crashes with another cause. Each crash reported meanwhile delays it
// again, so that copies of the request are not sent side by side.
func (x *exchange) delaySuspect(ctx context.Context, delay time.Duration) {
	for minCrashes := delayFromCrashes; ctx.Err() == nil; {
		f := x.quarantineFinding()
		if f.Held || f.Crashes < minCrashes {
			return
		}
		minCrashes = f.Crashes + 1
		pause.For(ctx, delay)
	}
}

// reportToQuarantine reports the result of an attempt to the quarantine.
func (x *exchange) reportToQuarantine(lease *balancer.Lease, result balancer.Result, f *failure, err error) {
	switch {
	case f == nil && err == nil, f != nil && f.response != nil && f.response.status != http.StatusGatewayTimeout:
		x.reportSuccess(f == nil && x.response != nil && x.response.Status < http.StatusMultipleChoices)
	case f != nil && f.disconnected && result == balancer.ResultFailed, f == nil && errors.Is(err, errUnconfirmedEnd):
		x.probeServer(lease)
	}
}

// reportSuccess reports that a server responded completely and stayed up; whole is set if it did so with success.
func (x *exchange) reportSuccess(whole bool) {
	r := x.quarantineRequest()
	x.gateway.Quarantine.RecordSuccess(&r, whole, clock.Now())
}

// probeServer checks whether a server whose connection broke has crashed. A broken connection alone
// is no evidence against the request, as servers also reset connections for other reasons.
func (x *exchange) probeServer(lease *balancer.Lease) {
	r, brokenAt := x.quarantineRequest(), clock.Now()
	r.SentAt = x.attemptStart
	if !x.end.closedAt.IsZero() {
		brokenAt = x.end.closedAt
	}
	// A server that ran a moment before may have crashed with a response that ended in order.
	probe := x.gateway.Upstream.ProbeSince(lease.Server.Incarnation().String(), lease.Server.Address, x.end.closedAt)
	report := func() { x.reportProbe(&r, lease, brokenAt, probe.State) }
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-probe.Done:
		report()
	case <-timer.C:
		go func() {
			<-probe.Done
			report()
		}()
	}
}

// reportProbe reports a crash found by a probe to the quarantine.
func (x *exchange) reportProbe(r *quarantine.Request, lease *balancer.Lease, brokenAt time.Time, state upstream.State) {
	if state == upstream.StateExited {
		x.gateway.Incarnations.RecordEnded(&lease.Server, brokenAt)
		x.gateway.Quarantine.RecordCrash(r, quarantine.IncarnationHash(lease.Server.Incarnation().Hash()), brokenAt)
	}
	_ = level.Info(x.gateway.Logger).Log("msg", "connection to server broke during a request", "id", x.call.ID, "request", quarantine.FingerprintOf(r),
		"server", lease.Server.ID, "state", state, "ends", x.gateway.Quarantine.Find(r).Crashes, "parts", strings.Join(r.Parts, ","),
		"began", x.began.Load())
}

// sharedParts returns the IDs of the parts of a prompt that other requests may have.
func sharedParts(parts []balancer.Part) []string {
	if len(parts) < 2 {
		return nil
	}
	shared := parts[:min(len(parts)-1, maxSharedParts)]
	ids := make([]string, len(shared))
	for n, p := range shared {
		ids[n] = p.ID
	}
	return ids
}

// CancelQuarantined cancels the requests in progress that match a newly quarantined one, or have a part that is, before
// they crash further servers. A response that has begun with the part has not crashed its server.
func (g *Gateway) CancelQuarantined(f quarantine.Fingerprint) {
	canceled := 0
	for x, cancel := range g.activeExchanges() {
		r := x.quarantineRequest()
		if r.Matches(f) && !(f.IsPart() && x.began.Load()) {
			cancel(errQuarantined)
			canceled++
		}
	}
	_ = level.Info(g.Logger).Log("msg", "canceled quarantined requests in progress", "request", f, "count", canceled, "reason", errQuarantined)
}

// registerActive adds a request to those in progress and returns the function that removes it.
func (g *Gateway) registerActive(x *exchange, cancel context.CancelCauseFunc) (unregister func()) {
	g.activeMu.Lock()
	defer g.activeMu.Unlock()
	g.active[x] = cancel
	return func() {
		g.activeMu.Lock()
		defer g.activeMu.Unlock()
		delete(g.active, x)
	}
}

// activeExchanges returns the requests in progress with their cancel functions.
func (g *Gateway) activeExchanges() map[*exchange]context.CancelCauseFunc {
	g.activeMu.Lock()
	defer g.activeMu.Unlock()
	return maps.Clone(g.active)
}
