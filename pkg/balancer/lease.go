package balancer

import (
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/routing"
)

// Inputs are what a choice rested on, for the logs.
type Inputs struct {
	// Candidates is how many servers there were to choose from.
	Candidates int
	// Running is how many requests of this box ran at the server, Backlog the tokens that
	// it had to prefill for them; PeerRunning and PeerBacklog are those of the other
	// boxes, LoadAge how old their word is, negative if none was heard.
	Running     int
	Backlog     int
	PeerRunning int
	PeerBacklog int
	LoadAge     time.Duration
	// Prefix names the longest part of the prompt that others may share, and Home
	// tells whether the server is the one where all boxes send it.
	Prefix string
	Home   bool
	// CachedTokens is what the server is believed to have cached of the prompt, in tokens,
	// Transferred what it can take from another server, Prefill what is left.
	CachedTokens      int
	TransferredTokens int
	PrefillTokens     int
	// Interactive tells that the class counts as interactive, Lane how many servers are
	// set apart for those.
	Interactive bool
	LaneSize    int
	// FailureRatio is the share of recent calls that failed.
	FailureRatio float64
}

// Lease is one call in progress at a server.
type Lease struct {
	Server routing.Server
	// Source is the address of a server from which the chosen one can take what it
	// lacks of the prompt, "" for none.
	Source string
	Inputs Inputs

	balancer *Balancer
	state    *server
	prefix   prefix
	backlog  int
	memory   int
	// service and class are set for engines.
	service string
	class   string
	rank    int
	// taken is when the server was chosen, begun when the first event came. An alone call
	// found a server with nothing else to prefill.
	taken time.Time
	begun time.Time
	alone bool
	// probe says that the call probes a half-open server.
	probe bool
	done  bool
}

// occupy counts what the call takes of an engine.
func (l *Lease) occupy(q Query, c *choice, p *placing, now time.Time) {
	s, b := l.state, l.balancer
	l.service, l.class, l.rank = q.Service, q.Class, q.Rank
	l.memory = q.PromptTokens + q.MaxOutputTokens
	l.backlog = c.toPrefill(q)
	l.taken, l.alone = now, c.load.Backlog == 0 && c.transferred == 0
	s.memory += l.memory
	s.backlog += l.backlog
	lanes := b.lanesOf(q.Service)
	lanes.own.PendingPrefill.add(l.rank, l.backlog)
	lanes.note(p.lane.interactive, l.backlog, now)
	lanes.classes.add(q.Class, l.backlog, q.MaxEventInterval, now)
	b.publishLoad(s)
	b.publishPlacement(s, l.prefix, false, now)
}

// PrefillDone says that the server has prefilled the prompt.
func (l *Lease) PrefillDone(now time.Time) {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.begun.IsZero() || l.done {
		return
	}
	l.begun = now
	if l.alone && l.class != "" {
		b.lanesOf(l.service).speed.add(l.backlog, now.Sub(l.taken))
	}
	l.settle()
	b.publishPlacement(l.state, l.prefix, true, now)
}

// settle counts the prompt as prefilled, or as given up.
func (l *Lease) settle() {
	l.state.backlog -= l.backlog
	if l.service != "" {
		l.balancer.lanesOf(l.service).own.PendingPrefill.add(l.rank, -l.backlog)
	}
	l.backlog = 0
	l.balancer.publishLoad(l.state)
}

// Done ends the call.
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
	s.memory -= l.memory
	if l.probe {
		s.probing = false
	}
	l.settle()
	if l.class != "" && r == ResultDone && !l.begun.IsZero() {
		b.lanesOf(l.service).classes.ended(l.class, now.Sub(l.begun), now)
	}
	ejected := s.health.note(r, now)
	if ejected > 0 && s.health.unreachable || r == ResultFailed {
		b.changed()
	}
	if ejected > 0 {
		_ = level.Info(b.logger).Log("msg", "server ejected", "server", l.Server.ID, "address", l.Server.Address,
			"result", r, "in_a_row", s.health.inARow, "failures", s.health.failures, "for", ejected)
	}
}
