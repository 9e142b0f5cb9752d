package balancer

import (
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/routing"
)

// Inputs records, for the logs, what a choice was based on.
type Inputs struct {
	// Candidates is the number of servers to choose from.
	Candidates int
	// Running is the number of this box's requests at the server, Backlog the tokens it has to
	// prefill for them. PeerRunning and PeerBacklog are those of the other boxes, LoadAge the age
	// of their reports, negative if none were received.
	Running     int
	Backlog     int
	PeerRunning int
	PeerBacklog int
	LoadAge     time.Duration
	// Prefix is the ID of the last shared part of the prompt. Home is set if the server is the
	// prefix's home.
	Prefix string
	Home   bool
	// CachedTokens is how much of the prompt the server is assumed to have cached,
	// TransferredTokens what it can transfer from another server, PrefillTokens what remains.
	CachedTokens      int
	TransferredTokens int
	PrefillTokens     int
	// Interactive is set if the class counts as interactive. LaneSize is the number of servers in
	// the interactive lane.
	Interactive bool
	LaneSize    int
	// Slowness is the estimated slowness of the server relative to the candidates, 1 if it is
	// average or timings are not used.
	Slowness float64
	// Unreported is how many requests other boxes have probably sent in the lane since their last
	// reports, 0 if arrivals are not expected.
	Unreported float64
	// FailureRatio is the ratio of recent calls to the server that failed.
	FailureRatio float64
}

// Lease is one call in progress at a server.
type Lease struct {
	Server routing.Server
	// Source is the address of a server from which the chosen one can transfer a missing part of
	// the prompt, "" for none.
	Source string
	Inputs Inputs

	balancer     *Balancer
	state        *server
	prefix       prefix
	backlog      int
	memoryTokens int
	// service and class are set for engines only.
	service string
	class   string
	rank    int
	// pickedAt is when the server was chosen, prefilledAt when the first event arrived.
	// solePrefill is set if the server had nothing else to prefill.
	pickedAt    time.Time
	prefilledAt time.Time
	solePrefill bool
	// expected is the time to the first event at an average engine, zero if it is unknown or timings
	// are not used.
	expected time.Duration
	// relayed is set if the call leads through another box, so that its times are also those of the path.
	relayed bool
	// probe is set if the call probes a half-open server.
	probe bool
	done  bool
}

// reserve counts the engine capacity that the call uses.
func (l *Lease) reserve(q Query, c *choice, costs *costContext, now time.Time) {
	s, b := l.state, l.balancer
	l.service, l.class, l.rank = q.Service, q.Class, q.Rank
	l.memoryTokens = q.PromptTokens + q.MaxOutputTokens
	l.backlog = c.prefillTokens(q)
	l.pickedAt, l.solePrefill = now, c.load.Backlog == 0 && c.transferredTokens == 0
	l.expected = b.expectedAt(q, c, now)
	s.memoryTokens += l.memoryTokens
	s.backlog += l.backlog
	stats := b.statsOf(q.Service)
	stats.local.PendingPrefill.add(l.rank, l.backlog)
	stats.recordPrefill(costs.lane.interactive, l.backlog, now)
	stats.classes.recordStart(q.Class, l.backlog, q.MaxEventInterval, now)
	b.notifyLoadChange(s)
	b.queuePlacement(s, l.prefix, false, now)
}

// MarkRelayed records that the call leads through another box.
func (l *Lease) MarkRelayed() {
	l.balancer.mu.Lock()
	defer l.balancer.mu.Unlock()
	l.relayed = true
}

// PrefillDone records that the server has prefilled the prompt. Only the first call has an effect.
func (l *Lease) PrefillDone(now time.Time) {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.prefilledAt.IsZero() || l.done {
		return
	}
	l.prefilledAt = now
	l.recordTiming(now)
	if l.solePrefill && !l.relayed && l.class != "" {
		b.statsOf(l.service).speed.add(l.backlog, now.Sub(l.pickedAt))
	}
	l.releaseBacklog()
	b.queuePlacement(l.state, l.prefix, true, now)
}

// releaseBacklog removes the prompt from the backlog once it is prefilled or the call has ended.
func (l *Lease) releaseBacklog() {
	l.state.backlog -= l.backlog
	if l.service != "" {
		l.balancer.statsOf(l.service).local.PendingPrefill.add(l.rank, -l.backlog)
	}
	l.backlog = 0
	l.balancer.notifyLoadChange(l.state)
}

// Done ends the call. Only the first call has an effect.
func (l *Lease) Done(r Result, now time.Time) {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	s := l.state
	s.running--
	s.memoryTokens -= l.memoryTokens
	if l.probe {
		s.probeInFlight = false
	}
	l.releaseBacklog()
	if r == ResultAbandoned {
		l.recordMissingEvent(now)
	}
	if l.class != "" && r == ResultDone && !l.prefilledAt.IsZero() {
		b.statsOf(l.service).classes.recordStreamEnd(l.class, now.Sub(l.prefilledAt), now)
	}
	if r == ResultRefused {
		b.signals.RecordRejection(l.Server.Incarnation(), now)
		s.rejectedUntil = now.Add(rejectionHold)
	}
	if r == ResultFailed || r == ResultUnreached {
		b.signals.RecordLoss(l.Server.Incarnation(), now)
	}
	wasEjected := now.Before(s.health.ejectedUntil)
	ejected := s.health.record(r, now)
	if ejected > 0 && s.health.unreachable || r == ResultFailed {
		b.notifyChange()
	}
	// While all servers are ejected, requests still go there. Their failures are in the lines of the
	// attempts.
	if ejected > 0 && !wasEjected {
		_ = level.Info(b.logger).Log("msg", "server ejected", "server", l.Server.ID, "address", l.Server.Address,
			"result", r, "in_a_row", s.health.consecutiveFailures, "failures", s.health.failures, "for", ejected)
	}
}
