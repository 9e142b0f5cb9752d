package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/incarnation"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
	"headhill.example/headhill/pkg/tunnel"
	"headhill.example/headhill/pkg/upstream"
)

const (
	// maxUnreachable is the maximum number of unreachable servers that are skipped. They do not
	// count as attempts, as nothing was sent.
	maxUnreachable = 4
	// attemptTimeoutTargets is the timeout of an attempt that may be retried, in multiples of the
	// route's first-event target.
	attemptTimeoutTargets = 2
	minAttemptTimeout     = 250 * time.Millisecond
	// maxResumeWait is how long after its last event an interrupted stream looks for a server. Callers give
	// a stream up after two seconds without an event, and the server that resumes it has to prefill.
	maxResumeWait = time.Second
	// refusalRetryAfter is the Retry-After of a request that servers refused, before jitter.
	refusalRetryAfter = 150 * time.Millisecond
)

// failure describes an attempt that produced no response for the caller.
type failure struct {
	result balancer.Result
	// notExecuted is set if it is proved that the request did not run. notSent is set if nothing of
	// it was sent to the intended server.
	notExecuted bool
	notSent     bool
	// usesRetryBudget is set if a retry counts against the retry budget although notSent is set, as
	// another server received the request.
	usesRetryBudget bool
	// disconnected is set if the connection broke while the request may have been running.
	disconnected bool
	cause        error
	// response is an error response of the server, forwarded to the caller if no retry succeeds.
	response *bufferedResponse
}

// run sends the request to one server at a time until it gets a response or no further attempt is
// allowed.
func (x *exchange) run(ctx context.Context) error {
	if err := x.checkQuarantine(ctx); err != nil {
		return err
	}
	if err := x.bindTakenUp(ctx); err != nil {
		return err
	}
	if err := x.admit(); err != nil {
		return err
	}
	for {
		f, err := x.attempt(ctx)
		if f == nil {
			return err
		}
		if !f.notExecuted {
			x.mayHaveRun = true
			x.recordLostStart()
		}
		x.checkLife()
		switch {
		case ctx.Err() != nil:
			return x.contextError(ctx, f)
		case x.mayRetry(f):
			x.delaySuspect(ctx, quarantine.IncidentWindow)
			if !x.quarantineAllowsRetry() {
				return x.finalError(f)
			}
		case isSendDenied(f.cause):
			return x.finalError(f)
		case f.notSent && !f.usesRetryBudget && !x.mayHaveRun && !x.headSent:
			if err := x.waitForServer(ctx, f); err != nil {
				return err
			}
		case x.awaitsResumption(f):
			if err := x.pollAgain(ctx, f); err != nil {
				return err
			}
		default:
			return x.finalError(f)
		}
	}
}

// mayRetry reports whether the request may be sent again after a failure.
func (x *exchange) mayRetry(f *failure) bool {
	if x.mayHaveRun && !x.route.Repeatable() {
		return false
	}
	if x.headSent && !x.route.Resumable || isSendDenied(f.cause) || !x.quarantineAllowsRetry() {
		return false
	}
	if f.notSent {
		return !errors.Is(f.cause, errNoServer) && len(x.unreachable) <= maxUnreachable && x.spendRetry(f)
	}
	if len(x.attempted) >= x.route.MaxAttempts {
		return false
	}
	return x.chargeRetry()
}

// awaitsResumption reports whether a stream that was interrupted, and for which no server was found, looks for
// one again.
func (x *exchange) awaitsResumption(f *failure) bool {
	return x.headSent && x.route.Resumable && f.notSent && !f.usesRetryBudget && clock.Since(x.lastEventTime) < maxResumeWait
}

// spendRetry charges a retry to the budget if a server received the request.
func (x *exchange) spendRetry(f *failure) bool {
	return !f.usesRetryBudget || x.chargeRetry()
}

// contextError returns the error for a request whose context ended: deadline exceeded, caller gone,
// quarantined or shutdown.
func (x *exchange) contextError(ctx context.Context, f *failure) error {
	cause := context.Cause(ctx)
	switch {
	case !errors.Is(cause, errTimeout) && !errors.Is(cause, errShuttingDown) && !errors.Is(cause, errQuarantined):
		return &callerGoneError{Cause: cause}
	case x.headSent:
		return &truncatedError{Cause: cause}
	case x.mayHaveRun:
		return &UnknownError{Timeout: errors.Is(cause, errTimeout), Cause: f.cause}
	case errors.Is(cause, errQuarantined):
		return quarantinedError(x.quarantineFinding())
	}
	return &RefusedError{Reason: "no server took the request: " + cause.Error(), RetryAfter: jitter(refusalRetryAfter)}
}

// finalError ends the request after a failure that is not retried. It forwards the server's error
// response if there is one.
func (x *exchange) finalError(f *failure) error {
	switch {
	case x.headSent:
		return &truncatedError{Cause: f.cause}
	case f.response != nil:
		return x.sendBuffered(f.response)
	case x.mayHaveRun:
		return &UnknownError{Cause: f.cause}
	case errors.Is(f.cause, errStopping):
		return &RefusedError{Reason: errStopping.Error(), RetryAfter: shutdownRetryAfter}
	}
	return &RefusedError{Reason: f.cause.Error(), RetryAfter: x.retryAfterRefusal(clock.Now())}
}

// retryAfterRefusal returns the Retry-After of a request that servers refused: short if others are
// available, else the time until one is.
func (x *exchange) retryAfterRefusal(now time.Time) time.Duration {
	q := x.query(now)
	q.Exclude = nil
	if a := x.gateway.Balancer.Availability(q, now); a.Available == 0 {
		if wait, known := x.estimateWait(a, now); known {
			return x.outageRetryAfter(wait, now)
		}
	}
	return jitter(refusalRetryAfter)
}

// excludedServers returns the servers that are not tried again.
func (x *exchange) excludedServers() []routing.Incarnation {
	return slices.Concat(x.unreachable, x.attempted)
}

func jitter(d time.Duration) time.Duration { return d + rand.N(d) }

// attempt sends the request to one server. If the returned failure is nil, the request has ended
// with the returned error or with a response.
func (x *exchange) attempt(ctx context.Context) (*failure, error) {
	now := clock.Now()
	x.attemptStart = now
	x.response = nil
	x.incompleteEvent.Store(0)
	q := x.query(now)
	lease, ok := x.pick(q, now)
	if !ok {
		return &failure{result: balancer.ResultUnreached, notExecuted: true, notSent: true, cause: x.noServerError(q, now)}, nil
	}
	x.dequeue()
	x.chargeShare(lease)
	x.end = &attemptEnd{exchange: x, ctx: ctx, lease: lease, resumes: x.lastEventID != ""}
	f, err := x.sendWithTimeout(ctx, lease)
	x.recordLoss(lease, f)
	x.releaseEvent()
	if f != nil && f.notExecuted {
		x.refundShare()
	}
	result := x.end.report(f, err)
	x.logAttempt(lease, result, f)
	return f, err
}

var errNoServer = errors.New("no server of the service can take the request")

// noServerError returns the reason why the balancer found no server.
func (x *exchange) noServerError(q balancer.Query, now time.Time) error {
	a := x.gateway.Balancer.Availability(q, now)
	// With many candidates the balancer examines a sample only, and may miss the available ones.
	if a.Available+a.WarmingUp > 0 || a.Limited+a.BackingOff+a.Full == 0 {
		return errNoServer
	}
	return &unavailableError{Availability: a}
}

func (x *exchange) query(now time.Time) balancer.Query {
	// Each attempt uses the current server list, not that of the request's arrival.
	view := x.gateway.Directory.View()
	return balancer.Query{
		Candidates:         x.candidates(view, now),
		Draining:           x.inAllowedRegions(view.Draining(x.service.Name)),
		WarmUp:             x.service.WarmUp,
		ListStale:          view.ServersAge(now) > directory.MinOutage,
		WarmUpEnd:          func(s *routing.Server) time.Time { return view.WarmUpEnd(s, x.service.WarmUp) },
		Hall:               x.gateway.Hall,
		Parts:              x.call.Parts,
		PromptTokens:       x.call.PromptTokens,
		MaxOutputTokens:    x.call.OutputTokens,
		EngineMemoryTokens: x.service.MemoryTokens,
		BodyBytes:          len(x.body),
		Exclude:            x.excludedServers(),
		Rank:               x.rank(),
		MaxOccupancy:       x.maxOccupancy(),
		Engine:             x.service.Engine,
		Service:            x.service.Name,
		Class:              x.route.Name,
		MaxEventInterval:   x.route.InterEventTarget,
		SkipLimited:        x.mustYield(),
		Avoid:              x.gateway.overfullServers(),
		Connected:          func(i routing.Incarnation) bool { return x.gateway.Upstream.HasIdle(i.String(), now) },
		Repeatable:         x.route.Repeatable() && len(x.attempted)+1 < x.route.MaxAttempts,
	}
}

// sendWithTimeout sends the request to a server with the timeout of an attempt.
func (x *exchange) sendWithTimeout(ctx context.Context, lease *balancer.Lease) (*failure, error) {
	attemptCtx, cancel := x.attemptContext(ctx)
	defer cancel()
	f, err := x.send(attemptCtx, lease)
	if f != nil {
		// A connection closed by the box itself is no evidence of a crash.
		f.disconnected = f.disconnected && attemptCtx.Err() == nil
	}
	return f, err
}

// send sends the request to a server and forwards the response.
func (x *exchange) send(ctx context.Context, lease *balancer.Lease) (*failure, error) {
	resp, err := x.gateway.Upstream.Do(ctx, x.upstreamRequest(lease))
	if x.via = viaOf(resp, err); x.via != "" {
		lease.MarkRelayed()
	}
	if isSendDenied(err) {
		return &failure{result: balancer.ResultAbandoned, notExecuted: true, notSent: true, cause: err}, nil
	}
	if upstream.IsNotSent(err) {
		x.unreachable = append(x.unreachable, lease.Server.Incarnation())
		return &failure{result: balancer.ResultUnreached, notExecuted: true, notSent: true, cause: err}, nil
	}
	x.attempted = append(x.attempted, lease.Server.Incarnation())
	x.gateway.outages.resolve(x.service.Name)
	if err != nil {
		return &failure{result: resultOfError(err), disconnected: true, cause: err}, nil
	}
	x.response = resp
	x.holdHeader(resp.Header)
	info := x.gateway.Protocol.ParseResponse(resp.Status, resp.Header)
	if !info.ServerReplaced {
		x.observeSignals(lease.Server.Incarnation(), resp.Status, info.Signals)
	}
	switch {
	case info.ServerReplaced:
		// The intended server received nothing, so this does not count as an attempt.
		drain(resp)
		x.attempted = x.attempted[:len(x.attempted)-1]
		x.unreachable = append(x.unreachable, lease.Server.Incarnation())
		return &failure{result: balancer.ResultReplaced, notExecuted: true, notSent: true, usesRetryBudget: true, cause: &notExecutedError{Server: lease.Server.ID, Status: resp.Status}}, nil
	case info.NotExecuted:
		drain(resp)
		return &failure{result: balancer.ResultRefused, notExecuted: true, cause: &notExecutedError{Server: lease.Server.ID, Status: resp.Status}}, nil
	case isStream(resp):
		return x.forwardStream(ctx, resp, lease)
	case x.headSent:
		// Only a stream can continue one.
		drain(resp)
		return serverFailure(resp.Status, nil), nil
	}
	return x.forwardBuffered(ctx, resp, lease)
}

// recordLoss records that the connection to a server broke or was refused, from which its restart may be concluded.
func (x *exchange) recordLoss(lease *balancer.Lease, f *failure) {
	if f == nil || f.result == balancer.ResultAbandoned {
		return
	}
	var refused *tunnel.RefusedError
	switch {
	case f.disconnected:
		c := incarnation.Connection{Server: &lease.Server, Opened: x.connectionOpened(f), Broken: x.end.doneAt()}
		if !x.end.closedAt.IsZero() {
			c.Broken = x.end.closedAt
		}
		if c.Broken.IsZero() {
			c.Broken = clock.Now()
		}
		x.gateway.Incarnations.RecordLost(c, x.gateway.Upstream.InUse(lease.Server.Incarnation().String()) == 0)
	case f.notSent && errors.As(f.cause, &refused) && refused.Reason == tunnel.ReasonServerRefused:
		x.gateway.Incarnations.RecordEnded(&lease.Server, clock.Now())
	}
}

// connectionOpened returns when the connection of a failed attempt was established.
func (x *exchange) connectionOpened(f *failure) time.Time {
	var interrupted *upstream.InterruptedError
	switch {
	case x.response != nil:
		return x.response.ConnOpened
	case errors.As(f.cause, &interrupted):
		return interrupted.ConnOpened
	}
	return time.Time{}
}

// observeSignals passes the signals of a response to the balancer. An error response without a signal
// does not clear it, as it may come from a proxy that doesn't know of it.
func (x *exchange) observeSignals(server routing.Incarnation, status int, s signals.Signals) {
	if status >= http.StatusBadRequest && !s.Limit.Set {
		s.Limit.Unknown = true
	}
	if status >= http.StatusBadRequest && !s.Brittle.Set {
		s.Brittle.Unknown = true
	}
	x.gateway.Balancer.Signals().Observe(server, s, x.attemptStart, clock.Now())
}

// viaOf returns the address of the box by way of which a request was sent, "" if it was sent directly.
func viaOf(resp *upstream.Response, err error) string {
	var interrupted *upstream.InterruptedError
	switch {
	case resp != nil:
		return resp.Via
	case errors.As(err, &interrupted):
		return interrupted.Via
	}
	return ""
}

// resultOfError distinguishes a server whose machine does not respond from one whose connection
// broke. A connection that was lost at another box says nothing of the server.
func resultOfError(err error) balancer.Result {
	var lost *upstream.PathLostError
	if errors.As(err, &lost) {
		return balancer.ResultAbandoned
	}
	if errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) {
		return balancer.ResultUnreached
	}
	return balancer.ResultFailed
}

// attemptContext returns the context of one attempt. An attempt that may be retried elsewhere gets
// a timeout, so that it does not wait for an unresponsive server until the deadline. stopAttemptTimeout ends it.
func (x *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	x.attemptTimeout = nil
	timeout := max(attemptTimeoutTargets*x.route.FirstEventTarget, minAttemptTimeout)
	attemptsLeft := len(x.attempted)+1 < x.route.MaxAttempts
	if x.service.Engine || !x.route.Repeatable() || !attemptsLeft || clock.Until(x.deadline) < 2*timeout {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	x.attemptTimeout = timer
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// stopAttemptTimeout ends the timeout of the attempt, as something of its response is sent to the caller. How long the rest takes depends on
// the server and the caller.
func (x *exchange) stopAttemptTimeout() {
	if x.attemptTimeout != nil {
		x.attemptTimeout.Stop()
	}
}

func (x *exchange) rank() int { return x.view.Table.Rank(x.organisation, x.route) }

func (x *exchange) upstreamRequest(lease *balancer.Lease) upstream.Request {
	a := Attempt{
		Call:          &x.call,
		Server:        lease.Server,
		Rank:          x.rank(),
		Engine:        x.service.Engine,
		RemainingTime: clock.Until(x.deadline),
		LastEventID:   x.lastEventID,
		PrefixSource:  lease.Source,
	}
	if x.organisation != nil {
		a.Organisation = x.organisation.Name
	}
	several := x.gateway.Streams != nil && x.gateway.Streams.SeveralVersions(lease.Server.Service)
	return upstream.Request{
		ServerKey:     lease.Server.Incarnation().String(),
		Address:       lease.Server.Address,
		Method:        x.request.Method,
		Target:        x.request.RequestURI,
		Host:          x.request.Host,
		Header:        x.gateway.Protocol.RequestHeader(x.request.Header, a),
		Body:          x.body,
		OnSend:        x.beforeSend,
		OnIdleClosed:  x.idleClosed(lease.Server, several),
		ReportOnReuse: !several,
	}
}

// idleClosed returns what is called if a server closes an idle connection, nil if no stream depends on its version.
func (x *exchange) idleClosed(server routing.Server, several bool) func(opened time.Time) {
	if !several && !x.resumable() {
		return nil
	}
	return func(opened time.Time) {
		x.gateway.Incarnations.RecordIdleClosed(incarnation.Connection{Server: &server, Opened: opened, Broken: clock.Now()}, several)
	}
}
