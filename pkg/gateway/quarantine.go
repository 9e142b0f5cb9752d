package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/upstream"
)

// Quarantine knows the requests under which servers ended.
type Quarantine interface {
	// MaySuspect tells whether a request may be known.
	MaySuspect(*quarantine.Request) bool
	Verdict(quarantine.Fingerprint) quarantine.Verdict
	RecordCrash(f quarantine.Fingerprint, life quarantine.IncarnationHash, at time.Time)
	RecordSuccess(quarantine.Fingerprint)
	// BeginTrial returns whether this box may try a held request now.
	BeginTrial(ctx context.Context, f quarantine.Fingerprint, now time.Time) bool
}

const (
	// probeWait is how long a request waits to learn whether the server that broke off under
	// it has ended. A machine that runs refuses a connection within a round trip; what comes
	// later counts for the next request.
	probeWait = 50 * time.Millisecond
	// heldLeast and heldMost bound when a caller comes back for a request that is held; the
	// longest stands where only an operator releases it.
	heldLeast = time.Second
	heldMost  = time.Hour
	// standBackFrom is how many servers have ended under a request that waits before its next
	// one, also where another box sent it to those. After a first end most requests are harmless,
	// and go on at once.
	standBackFrom = 2
	// arrivalLeast is how long it waits at the least where it has just arrived: its copy at another
	// box goes on after a shorter wait, and is let end before.
	arrivalLeast = 2 * quarantine.IncidentWindow
)

var errHeld = errors.New("backend servers crash of this request")

// identity is what makes another request the same as this one.
func (x *exchange) identity() quarantine.Request {
	r := quarantine.Request{Method: x.request.Method, Host: x.request.Host, Target: x.request.RequestURI, Body: x.body}
	if x.organisation != nil {
		r.Organisation = x.organisation.Name
	}
	return r
}

// verdict judges the request by what all boxes know of it. Most are not worth a hash.
func (x *exchange) verdict() (quarantine.Fingerprint, quarantine.Verdict) {
	r := x.identity()
	if !x.gateway.Quarantine.MaySuspect(&r) {
		return quarantine.Fingerprint{}, quarantine.Verdict{}
	}
	f := quarantine.FingerprintOf(&r)
	return f, x.gateway.Quarantine.Verdict(f)
}

// checkHeld refuses a request of which servers crash, unless this box is to try it. A caller may
// send one again while its last copy is at a server: without the pause that brought a fifth server
// down in 23 of 80 runs beside load.
func (x *exchange) checkHeld(ctx context.Context) error {
	x.standBack(ctx, arrivalLeast+rand.N(quarantine.IncidentWindow))
	f, v := x.verdict()
	if !v.Held {
		return nil
	}
	if x.gateway.Quarantine.BeginTrial(ctx, f, clock.Now()) {
		x.trial = true
		return nil
	}
	return heldError(f, v)
}

// heldError says why a request is not sent, and when it is tried again.
func heldError(f quarantine.Fingerprint, v quarantine.Verdict) *RefusedError {
	after := heldMost
	if !v.NextTrial.IsZero() {
		after = min(max(clock.Until(v.NextTrial), heldLeast), heldMost)
	}
	return &RefusedError{
		Reason:     fmt.Sprintf("%d backend servers crashed while they had this request: change it, or ask the operators to look at request %s", v.Crashes, f),
		RetryAfter: after,
	}
}

// mayTryOn tells whether a request whose server broke off may go to another one.
func (x *exchange) mayTryOn() bool {
	_, v := x.verdict()
	return !x.trial && !v.Held
}

// standBack lets a request under which two servers have ended wait a moment before it goes on: if
// the next one ends too, it did not end together with the others, and where many servers are
// ending, this request is not sent among them. A server that ends under a copy meanwhile makes it
// wait once more, so that copies do not go on side by side.
func (x *exchange) standBack(ctx context.Context, wait time.Duration) {
	for ends := standBackFrom; ctx.Err() == nil; {
		_, v := x.verdict()
		if v.Held || v.Crashes < ends {
			return
		}
		ends = v.Crashes + 1
		pause.For(ctx, wait)
	}
}

// noteAttempt tells the quarantine how an attempt ended.
func (x *exchange) noteAttempt(lease *balancer.Lease, result balancer.Result, f *failure, err error) {
	switch {
	case f == nil && err == nil, f != nil && f.answer != nil && f.answer.status != http.StatusGatewayTimeout:
		x.noteSound()
	case f != nil && f.broken && result == balancer.ResultFailed:
		x.examine(lease)
	}
}

// noteSound notes that a server answered the request whole and lives on.
func (x *exchange) noteSound() {
	r := x.identity()
	if x.gateway.Quarantine.MaySuspect(&r) {
		x.gateway.Quarantine.RecordSuccess(quarantine.FingerprintOf(&r))
	}
}

// examine finds out whether a server that broke off has ended under the request. A connection
// that broke alone says nothing of the request: servers reset and garble some at all times.
func (x *exchange) examine(lease *balancer.Lease) {
	probe := x.gateway.Upstream.Probe(lease.Server.Incarnation().String(), lease.Server.Address)
	r := x.identity()
	f := quarantine.FingerprintOf(&r)
	broke := clock.Now()
	note := func() { x.noteProbe(f, lease, broke, probe.State) }
	timer := time.NewTimer(probeWait)
	defer timer.Stop()
	select {
	case <-probe.Done:
		note()
	case <-timer.C:
		go func() {
			<-probe.Done
			note()
		}()
	}
}

// noteProbe takes the answer of a probe in.
func (x *exchange) noteProbe(f quarantine.Fingerprint, lease *balancer.Lease, broke time.Time, state upstream.State) {
	if state == upstream.StateExited {
		x.gateway.Quarantine.RecordCrash(f, quarantine.IncarnationHash(lease.Server.Incarnation().Hash()), broke)
	}
	_ = level.Info(x.gateway.Logger).Log("msg", "server broke off under a request", "id", x.call.ID, "request", f,
		"server", lease.Server.ID, "state", state, "ends", x.gateway.Quarantine.Verdict(f).Crashes)
}

// CancelQuarantined ends the requests in progress that are the same as one that is held from now on, before
// further servers crash of them.
func (g *Gateway) CancelQuarantined(f quarantine.Fingerprint) {
	ended := 0
	for x, giveUp := range g.inProgress() {
		r := x.identity()
		if quarantine.OutlineOf(&r) == f.Outline && quarantine.FingerprintOf(&r) == f {
			giveUp(errHeld)
			ended++
		}
	}
	_ = level.Info(g.Logger).Log("msg", "requests in progress ended", "request", f, "count", ended, "reason", errHeld)
}

// enter enters a request among those in progress; the returned function takes it out.
func (g *Gateway) enter(x *exchange, giveUp context.CancelCauseFunc) (leave func()) {
	g.activeMu.Lock()
	defer g.activeMu.Unlock()
	g.active[x] = giveUp
	return func() {
		g.activeMu.Lock()
		defer g.activeMu.Unlock()
		delete(g.active, x)
	}
}

// inProgress are the requests in progress, and what gives each up.
func (g *Gateway) inProgress() map[*exchange]context.CancelCauseFunc {
	g.activeMu.Lock()
	defer g.activeMu.Unlock()
	return maps.Clone(g.active)
}
