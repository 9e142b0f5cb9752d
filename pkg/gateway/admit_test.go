package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/admission"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/routing"
)

// Embedders that set no Scheduling must get the decisions without options.
func TestNilSchedulingSwitchesNothingOn(t *testing.T) {
	x := &exchange{gateway: &Gateway{}}
	assert.Zero(t, x.admissionPolicy())
	assert.Nil(t, x.gateway.overfullServers())
	x.gateway.Scheduling = func() Scheduling { return Scheduling{OwnTargets: true, ReturnTurns: true} }
	assert.Equal(t, admission.Policy{OwnTarget: true, Turns: true}, x.admissionPolicy())
}

func admittedExchange(callTimeout time.Duration) *exchange {
	return &exchange{
		gateway: &Gateway{Deps: Deps{Shutdown: func() *Shutdown { return nil }}}, service: &routing.Service{Name: "models"}, call: Call{Timeout: callTimeout},
		route: &routing.Route{Timeout: 6 * time.Second, FirstEventTarget: time.Second}, view: &directory.View{Table: &routing.Table{}},
	}
}

// Callers that do not state their time, or state more than the route's, have not waited.
func TestOnlyStatedTimeCountsAsWaited(t *testing.T) {
	for timeout, want := range map[time.Duration]time.Duration{0: 0, 9 * time.Second: 0, 6 * time.Second: 0, 5 * time.Second: time.Second} {
		r := admittedExchange(timeout).admissionRequest()
		assert.Equal(t, want, r.Waited, "stated time %s", timeout)
		assert.Equal(t, want > 0, r.Returning())
		assert.Equal(t, time.Second, r.Target)
	}
}

// A request whose time is over when it is refused, as it was delayed before, must get a Retry-After
// of zero. The random number of the jitter was drawn below zero before, which panics.
func TestRetryAfterOfExpiredRequest(t *testing.T) {
	now := clock.Now()
	for _, p := range []admission.Policy{{}, {Turns: true}} {
		for _, remaining := range []time.Duration{-time.Second, 0, 1} {
			x := admittedExchange(0)
			x.deadline = now.Add(remaining)
			retryAfter, _ := x.admissionRetryAfter(p, now)
			assert.Zero(t, retryAfter)
		}
	}
}

// While the box shuts down, turns must end before it stops accepting streams.
func TestTurnsEndBeforeShutdown(t *testing.T) {
	now := clock.Now()
	x := admittedExchange(0)
	x.deadline = now.Add(20 * time.Second)
	x.gateway.Shutdown = func() *Shutdown { return &Shutdown{StartUntil: now.Add(time.Second)} }
	for range 20 {
		retryAfter, turn := x.admissionRetryAfter(admission.Policy{Turns: true}, now)
		assert.True(t, turn == admission.TurnOff || retryAfter <= time.Second, "%s %s", turn, retryAfter)
	}
}
