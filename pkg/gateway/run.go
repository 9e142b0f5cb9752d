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
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
	"headhill.example/headhill/pkg/upstream"
)

const (
	// unreachedMost bounds the servers that could not be reached; those do not
	// count as attempts, as nothing was sent.
	unreachedMost = 4
	// hedgeAfter is how many times its target a repeatable request waits for an
	// answer before it is sent elsewhere.
	hedgeAfter = 2
	hedgeLeast = 250 * time.Millisecond
	// refusedAfter is when to come back after a server's refusal, before jitter.
	refusedAfter = 150 * time.Millisecond
)

// failure is why an attempt gave no answer for the caller.
type failure struct {
	result balancer.Result
	// notRun is proved; else the request may have run. Of unsent requests nothing
	// was written.
	notRun bool
	unsent bool
	// arrived says that the request has to be paid for if it is sent again, though
	// the server that was meant got nothing of it.
	arrived bool
	// broken says that the connection broke while the request may have run.
	broken bool
	cause  error
	// answer is a server's own failure, which is passed on if nothing better comes.
	answer *wholeAnswer
}

// run sends the request until it is answered or nothing more may be tried. It is
// at one server at a time.
func (x *exchange) run(ctx context.Context) error {
	if err := x.checkHeld(ctx); err != nil {
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
		if !f.notRun {
			x.mayHaveRun = true
			x.noteLostRun()
		}
		switch {
		case ctx.Err() != nil:
			return x.over(ctx, f)
		case x.mayRepeat(f):
			x.standBack(ctx, quarantine.IncidentWindow)
			if !x.mayTryOn() {
				return x.giveUp(f)
			}
		case f.unsent && !f.arrived && !x.mayHaveRun && !x.begun:
			if err := x.awaitServer(ctx, f); err != nil {
				return err
			}
		default:
			return x.giveUp(f)
		}
	}
}

// mayRepeat tells whether a request is sent once more after a failure.
func (x *exchange) mayRepeat(f *failure) bool {
	if x.mayHaveRun && !x.route.Repeatable() {
		return false
	}
	if x.begun && !x.route.Resumable || !x.mayTryOn() {
		return false
	}
	if f.unsent {
		return !errors.Is(f.cause, errNoServer) && len(x.unreachedServers) <= unreachedMost && x.pay(f)
	}
	if len(x.servers) >= x.route.MaxAttempts {
		return false
	}
	return x.gateway.Budget.Spend(x.service.Name, clock.Now())
}

// pay takes a repeat of a request that reached no server from the budget if it
// arrived somewhere.
func (x *exchange) pay(f *failure) bool {
	return !f.arrived || x.gateway.Budget.Spend(x.service.Name, clock.Now())
}

// over ends a request whose time is over, whose caller is gone, or whose box ends.
func (x *exchange) over(ctx context.Context, f *failure) error {
	cause := context.Cause(ctx)
	switch {
	case !errors.Is(cause, errTimeout) && !errors.Is(cause, errEnding) && !errors.Is(cause, errHeld):
		return &callerGoneError{Cause: cause}
	case x.begun:
		return &brokenOffError{Cause: cause}
	case x.mayHaveRun:
		return &UnknownError{Timeout: errors.Is(cause, errTimeout), Cause: f.cause}
	case errors.Is(cause, errHeld):
		return heldError(x.verdict())
	}
	return &RefusedError{Reason: "no server took the request: " + cause.Error(), RetryAfter: jitter(refusedAfter)}
}

// giveUp is the final answer after a failure.
func (x *exchange) giveUp(f *failure) error {
	switch {
	case x.begun:
		return &brokenOffError{Cause: f.cause}
	case f.answer != nil:
		return x.passOn(f.answer)
	case x.mayHaveRun:
		return &UnknownError{Cause: f.cause}
	}
	return &RefusedError{Reason: f.cause.Error(), RetryAfter: x.afterRefusal(clock.Now())}
}

// afterRefusal is when to come back after a server's refusal: soon where others are available, else when
// one is again.
func (x *exchange) afterRefusal(now time.Time) time.Duration {
	q := x.query(now)
	q.Exclude = nil
	if a := x.gateway.Balancer.Availability(q, now); a.Available == 0 {
		if wait, known := x.untilAvailable(a, now); known {
			return x.stayAway(wait, now)
		}
	}
	return jitter(refusedAfter)
}

// tried are the servers that this request does not go to again.
func (x *exchange) tried() []routing.Incarnation {
	return slices.Concat(x.unreachedServers, x.servers)
}

func jitter(d time.Duration) time.Duration { return d + rand.N(d) }

// attempt sends the request to one server. A nil failure means that the request has
// ended, with the error or with an answer.
func (x *exchange) attempt(ctx context.Context) (*failure, error) {
	now := clock.Now()
	x.sent = now
	q := x.query(now)
	lease, ok := x.gateway.Balancer.Pick(q, now)
	if !ok {
		return &failure{result: balancer.ResultUnreached, notRun: true, unsent: true, cause: x.noServer(q, now)}, nil
	}
	x.stopQueueing()
	f, err := x.exchangeWith(ctx, lease)
	result := balancer.ResultDone
	switch {
	case f != nil && ctx.Err() != nil && f.result == balancer.ResultFailed:
		result = balancer.ResultAbandoned
	case f != nil:
		result = f.result
	case err != nil:
		result = balancer.ResultAbandoned
	}
	lease.Done(result, clock.Now())
	x.noteAttempt(lease, result, f, err)
	x.logAttempt(lease, result, f)
	return f, err
}

var errNoServer = errors.New("no server of the service can take the request")

// noServer is why a choice found no server.
func (x *exchange) noServer(q balancer.Query, now time.Time) error {
	a := x.gateway.Balancer.Availability(q, now)
	// Of many candidates a choice looks at some, and may miss those that are available.
	if a.Available+a.WarmingUp > 0 || a.Limited+a.BackingOff == 0 {
		return errNoServer
	}
	return &unavailableError{Availability: a}
}

func (x *exchange) query(now time.Time) balancer.Query {
	// Each attempt asks for the list of now, not of the request's arrival.
	view := x.gateway.Directory.View()
	return balancer.Query{
		Candidates:         x.candidates(view, now),
		Draining:           x.allowed(view.Idle(x.service.Name)),
		WarmUp:             x.service.WarmUp,
		ListStale:          view.ServersAge(now) > directory.OutageLeast,
		WarmUpEnd:          func(s *routing.Server) time.Time { return view.Warm(s, x.service.WarmUp) },
		Hall:               x.gateway.Hall,
		Parts:              x.call.Parts,
		PromptTokens:       x.call.PromptTokens,
		MaxOutputTokens:    x.call.OutputTokens,
		EngineMemoryTokens: x.service.MemoryTokens,
		BodyBytes:          len(x.body),
		Exclude:            x.tried(),
		Rank:               x.rank(),
		MaxOccupancy:       x.places(),
		Engine:             x.service.Engine,
		Service:            x.service.Name,
		Class:              x.route.Name,
		MaxEventInterval:   x.route.InterEventTarget,
		SkipLimited:        x.yields(),
		Repeatable:         x.route.Repeatable() && len(x.servers)+1 < x.route.MaxAttempts,
	}
}

// exchangeWith makes one exchange with a server.
func (x *exchange) exchangeWith(ctx context.Context, lease *balancer.Lease) (*failure, error) {
	attempt, cancel := x.attemptContext(ctx)
	defer cancel()
	f, err := x.exchangeWithin(attempt, lease)
	if f != nil {
		// A connection that this box has closed itself did not break.
		f.broken = f.broken && attempt.Err() == nil
	}
	return f, err
}

// exchangeWithin makes one exchange within the time of an attempt.
func (x *exchange) exchangeWithin(attempt context.Context, lease *balancer.Lease) (*failure, error) {
	resp, err := x.gateway.Upstream.Do(attempt, x.outgoing(lease))
	if upstream.IsNotSent(err) {
		x.unreachedServers = append(x.unreachedServers, lease.Server.Incarnation())
		return &failure{result: balancer.ResultUnreached, notRun: true, unsent: true, cause: err}, nil
	}
	x.servers = append(x.servers, lease.Server.Incarnation())
	x.gateway.outages.end(x.service.Name)
	if err != nil {
		return &failure{result: brokenResult(err), broken: true, cause: err}, nil
	}
	reply := x.gateway.Protocol.ParseResponse(resp.Status, resp.Header)
	if !reply.ServerReplaced {
		x.observeSignals(lease.Server.Incarnation(), resp.Status, reply.Signals)
	}
	switch {
	case reply.ServerReplaced:
		// The server that was meant got nothing, so it does not count as an attempt.
		drain(resp)
		x.servers = x.servers[:len(x.servers)-1]
		x.unreachedServers = append(x.unreachedServers, lease.Server.Incarnation())
		return &failure{result: balancer.ResultReplaced, notRun: true, unsent: true, arrived: true, cause: &notRunError{Server: lease.Server.ID, Status: resp.Status}}, nil
	case reply.NotExecuted:
		drain(resp)
		return &failure{result: balancer.ResultRefused, notRun: true, cause: &notRunError{Server: lease.Server.ID, Status: resp.Status}}, nil
	case isStream(resp):
		return x.stream(resp, lease)
	}
	return x.whole(resp, lease)
}

// observeSignals takes in what a server signals. A failure without a limit does not end one: what answers
// for a server that fails may not know of it.
func (x *exchange) observeSignals(server routing.Incarnation, status int, s signals.Signals) {
	if status >= http.StatusBadRequest && !s.Limit.Set {
		s.Limit.Unknown = true
	}
	x.gateway.Balancer.Signals().Observe(server, s, x.sent, clock.Now())
}

// brokenResult tells a server whose box is silent from one that broke off.
func brokenResult(err error) balancer.Result {
	if errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) {
		return balancer.ResultUnreached
	}
	return balancer.ResultFailed
}

// attemptContext bounds one attempt: what may be repeated does not wait for a
// silent server to the end.
func (x *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	wait := max(hedgeAfter*x.route.FirstEventTarget, hedgeLeast)
	more := len(x.servers)+1 < x.route.MaxAttempts
	if x.service.Engine || !x.route.Repeatable() || !more || clock.Until(x.deadline) < 2*wait {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait)
}

func (x *exchange) rank() int { return x.view.Table.Rank(x.organisation, x.route) }

func (x *exchange) outgoing(lease *balancer.Lease) upstream.Request {
	a := Attempt{
		Call:          &x.call,
		Server:        lease.Server,
		Rank:          x.rank(),
		Engine:        x.service.Engine,
		RemainingTime: clock.Until(x.deadline),
		LastEventID:   x.lastEvent,
		PrefixSource:  lease.Source,
	}
	if x.organisation != nil {
		a.Organisation = x.organisation.Name
	}
	return upstream.Request{
		ServerKey:       lease.Server.Incarnation().String(),
		Address:         lease.Server.Address,
		Method:          x.request.Method,
		Target:          x.request.RequestURI,
		Host:            x.request.Host,
		Header:          x.gateway.Protocol.RequestHeader(x.request.Header, a),
		Body:            x.body,
		MatchesResponse: func(h http.Header) bool { return x.gateway.Protocol.MatchesResponse(&x.call, h) },
	}
}
