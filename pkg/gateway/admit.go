package gateway

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/admission"
	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/routing"
)

// Admission describes the decision whether a request was admitted to engines.
type Admission struct {
	// Decided is set if there was a decision.
	Decided bool
	Rank    int
	// Returning is set if the caller has probably been refused before.
	Returning bool
	// Reason is empty if the request was admitted.
	Reason admission.Reason
}

// returnTurns holds the turns of refused requests.
type returnTurns struct {
	mu    sync.Mutex
	turns admission.Turns
}

// admitted records the admission of a request.
func (t *returnTurns) admitted(l admission.Line, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turns.Admitted(l, now)
}

// take returns the Retry-After of a refused request.
func (t *returnTurns) take(l admission.Line, a admission.Ask, now time.Time) (time.Duration, admission.Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.turns.Take(l, a, rand.Float64(), now)
}

// admit refuses a request that would wait too long for the engines. Engines run urgent requests
// first, and only work ahead of the request counts, so the least urgent requests are refused first.
// This keeps queues from filling with requests whose callers give up before they run: with engines for
// 30 in 100 of the load, 168 instead of 2,503 requests waited in vain in 20 s
// (TestOverloadedServiceRefusesLeastUrgent).
func (x *exchange) admit() error {
	// A stream that was taken up has cost prefill and tokens already, and can go on at few servers only.
	if !x.service.Engine || x.takenUp {
		return nil
	}
	now := clock.Now()
	servers := x.candidates(x.gateway.Directory.View(), now)
	servers = x.gateway.Balancer.Unconstrained(servers, now)
	if len(servers) == 0 {
		// An outage: run waits for a server.
		return nil
	}
	estimate, known := x.gateway.Balancer.EstimateQueue(x.service.Name, x.rank(), len(servers), now)
	x.expectedWait, x.reserveSlots = estimate.Wait, estimate.MoreUrgentSeen
	policy, request := x.admissionPolicy(), x.admissionRequest()
	decision := admission.Decide(request, x.admissionService(), x.admissionState(estimate, known, servers, now), policy)
	x.admission = Admission{Decided: true, Rank: request.Rank, Returning: request.Returning(), Reason: decision.Reason}
	if !decision.Admit {
		return x.notAdmitted(request, decision, policy, len(servers), now)
	}
	if policy.Turns {
		x.gateway.turns.admitted(x.turnLine(), now)
	}
	return nil
}

func (x *exchange) admissionPolicy() admission.Policy {
	s := x.gateway.scheduling()
	return admission.Policy{OwnTarget: s.OwnTargets, Turns: s.ReturnTurns, NeedSlot: s.ExpectedArrivals}
}

func (x *exchange) admissionRequest() admission.Request {
	r := admission.Request{Rank: x.rank(), Target: x.route.FirstEventTarget, WaitFactor: x.waitFactor()}
	if x.call.Timeout > 0 {
		r.Waited = max(0, x.route.Timeout-x.call.Timeout)
	}
	return r
}

func (x *exchange) admissionService() admission.Service {
	table, name := x.view.Table, x.service.Name
	return admission.Service{
		LeastUrgentRank: table.LeastUrgentRank(), Target: table.MinFirstEventTarget(name), RankTargets: table.RankTargets(name),
	}
}

func (x *exchange) admissionState(e balancer.QueueEstimate, known bool, servers []routing.Server, now time.Time) admission.State {
	return admission.State{
		Wait: e.Wait, WaitKnown: known, Overtakes: e.Overtakes,
		FreeSlot: func() bool {
			return x.gateway.Balancer.HasFreeSlot(x.service.Name, servers, x.maxOccupancy(), now)
		},
		SlotsReserved: x.reserveSlots && x.rank() > 0,
	}
}

// notAdmitted logs a refusal and returns its error.
func (x *exchange) notAdmitted(r admission.Request, d admission.Decision, p admission.Policy, servers int, now time.Time) error {
	retryAfter, turn := x.admissionRetryAfter(p, now)
	x.countRefusedShare()
	fields := []any{"msg", "not admitted", "id", x.call.ID, "service", x.service.Name, "rank", r.Rank,
		"late", d.Reason == admission.ReasonLate, "reason", d.Reason, "wait_ms", x.expectedWait.Milliseconds(), "most_ms", d.MaxWait.Milliseconds(),
		"waited_ms", r.Waited.Milliseconds(), "servers", servers, "turn", turn, "come_back_ms", retryAfter.Milliseconds()}
	_ = level.Info(x.gateway.Logger).Log(append(fields, x.shareFields()...)...)
	return &RefusedError{Reason: fmt.Sprintf("the engines have work for %s before it, or no place for its rank", x.expectedWait.Round(time.Millisecond)), RetryAfter: retryAfter}
}

// admissionRetryAfter returns the Retry-After of a request that is not admitted.
func (x *exchange) admissionRetryAfter(p admission.Policy, now time.Time) (time.Duration, admission.Turn) {
	remaining := x.deadline.Sub(now)
	if !p.Turns {
		return admission.RetryAfter(x.expectedWait, remaining, rand.Float64()), admission.TurnOff
	}
	ask := admission.Ask{Wait: x.expectedWait, Remaining: remaining}
	if s := x.gateway.Shutdown(); s != nil {
		ask.Notice = s.StartUntil
	}
	return x.gateway.turns.take(x.turnLine(), ask, now)
}

func (x *exchange) turnLine() admission.Line {
	return admission.Line{Service: x.service.Name, Rank: x.rank()}
}

// maxOccupancy returns the share of an engine's slots that may be in use for the request to be sent
// there.
func (x *exchange) maxOccupancy() float64 {
	return admission.MaxOccupancy(x.rank(), x.view.Table.LeastUrgentRank(), x.reserveSlots)
}
