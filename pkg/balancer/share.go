package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

const (
	// reportStep is the change of a server's prefill backlog, in tokens, that is
	// reported to other boxes.
	reportStep = 500
	// reportRequests is the change of its running requests.
	reportRequests = 2
	// othersFor is how long the other boxes' word is believed.
	othersFor = 3 * time.Second
	// placementLeast is the length of a shared prefix, in tokens, that is
	// published to other boxes: shorter ones are prefilled anew at less than the publishing
	// costs.
	placementLeast = 1000
	// placementsMost bounds the placements that wait to be published.
	placementsMost = 256
	// downLeast is how many other boxes must call a server down to be believed, and
	// ownWord how long this box's own success there counts for more.
	downLeast = 2
	ownWord   = 2 * time.Second
)

const (
	// countScale is how many parts of a call the decayed counts of calls are told in.
	countScale = 8
	// failingLeast is how many other boxes must have seen a server fail, and ejectShare how
	// much of all calls there must have failed, for it to get nothing from this box either.
	failingLeast = 3
	ejectShare   = 0.5
)

// ServerKey is a server's life as boxes name it to each other, in short. Two servers may
// share one: then each counts what the other has to do.
type ServerKey = signals.Key

// KeyOf is the key of a server's life. All that is known of a server hangs on it, so that one that
// is back under its ID begins with nothing cached, no load and no failures.
func KeyOf(l routing.Incarnation) ServerKey { return signals.KeyOf(l) }

// partKey is the ID of a part of a prompt, in short.
type partKey = uint64

// Load is what boxes have one server do.
type Load struct {
	// Backlog is the length of the prompts that it has not prefilled yet, in tokens.
	Backlog int
	// Running is how many requests it has.
	Running int
	// MemoryTokens is how many tokens the running requests may take at the most, their prompts'
	// included.
	MemoryTokens int
	// DownReports is how many boxes can't reach it.
	DownReports int
	// FailureReports is how many boxes have seen it fail. Failed and Calls count the recent calls
	// that failed, and all of them, in parts of a call; older ones count less.
	FailureReports int
	ScaledFailures int
	ScaledCalls    int
}

// Plus is the load of both.
func (l Load) Plus(o Load) Load {
	return Load{
		Backlog: l.Backlog + o.Backlog, Running: l.Running + o.Running, MemoryTokens: l.MemoryTokens + o.MemoryTokens, DownReports: l.DownReports + o.DownReports,
		FailureReports: l.FailureReports + o.FailureReports, ScaledFailures: l.ScaledFailures + o.ScaledFailures, ScaledCalls: l.ScaledCalls + o.ScaledCalls,
	}
}

// Minus is the load without a part of it. The part may be newer than the whole, so that
// nothing falls below zero.
func (l Load) Minus(o Load) Load {
	return Load{
		Backlog: max(0, l.Backlog-o.Backlog), Running: max(0, l.Running-o.Running),
		MemoryTokens: max(0, l.MemoryTokens-o.MemoryTokens), DownReports: max(0, l.DownReports-o.DownReports),
		FailureReports: max(0, l.FailureReports-o.FailureReports), ScaledFailures: max(0, l.ScaledFailures-o.ScaledFailures), ScaledCalls: max(0, l.ScaledCalls-o.ScaledCalls),
	}
}

// Placement says that a server has cached the parts of a prompt's prefix, or is about to
// prefill them.
type Placement struct {
	Server    ServerKey
	Parts     []uint64
	Prefilled bool
}

// Report is what this box reports to the others.
type Report struct {
	// Loads holds each server that this box has something to say of.
	Loads map[ServerKey]Load
	// Placements are those since the last report.
	Placements []Placement
	// Demands are by service.
	Demands map[ServiceKey]Demand
	// Signals are what this box has observed in servers' answers.
	Signals signals.Observations
}

// OnChange sets who learns that there is something to report. It must not block, nor
// call the balancer.
func (b *Balancer) OnChange(f func()) { b.onChange = f }

// Report returns what the others should know. Placements are returned once.
func (b *Balancer) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Loads: make(map[ServerKey]Load), Placements: b.placements, Demands: make(map[ServiceKey]Demand), Signals: b.signals.Report(now)}
	for key, l := range b.lanes {
		if d := l.report(now); d != (Demand{}) {
			r.Demands[key] = d
		}
	}
	b.placements = nil
	for _, s := range b.servers {
		l := s.load()
		if s.health.down(now) {
			l.DownReports = 1
		}
		s.health.report(&l, b.other(s.key, now).FailureReports > 0, now)
		s.reported = l
		if l != (Load{}) {
			r.Loads[s.key] = l
		}
	}
	return r
}

// SetPeerLoads takes in what all other boxes together have the servers do.
func (b *Balancer) SetPeerLoads(loads map[ServerKey]Load, demands map[ServiceKey]Demand, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others, b.othersHeard = loads, now
	for key, d := range demands {
		// Also of a service that this box has had no request for: its first one is to be
		// admitted by what the others know.
		b.lanesBy(key).others = d
	}
}

// RecordPlacements takes in where other boxes have sent prompts.
func (b *Balancer) RecordPlacements(list []Placement, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range list {
		s := b.server(p.Server, now)
		s.cached.note(p.Parts, p.Prefilled, now)
		b.noteHolder(s, p.Parts)
		s.cached.markPublished(p.Parts, now)
	}
}

// othersKnown tells whether the other boxes' word is still believed.
func (b *Balancer) othersKnown(now time.Time) bool { return now.Sub(b.othersHeard) <= othersFor }

// other is what the other boxes have a server do.
func (b *Balancer) other(key ServerKey, now time.Time) Load {
	if !b.othersKnown(now) {
		return Load{}
	}
	return b.others[key]
}

// publishLoad passes on a change of a server's load that is large enough, and each return
// to nothing.
func (b *Balancer) publishLoad(s *server) {
	tokens := max(s.backlog-s.reported.Backlog, s.reported.Backlog-s.backlog)
	requests := max(s.running-s.reported.Running, s.reported.Running-s.running)
	if tokens >= reportStep || requests >= reportRequests || s.backlog == 0 && s.reported.Backlog > 0 {
		b.changed()
	}
}

// publishPlacement passes on where a prompt's prefix is now.
func (b *Balancer) publishPlacement(s *server, p prefix, prefilled bool, now time.Time) {
	b.noteHolder(s, p.keys)
	if !s.cached.note(p.keys, prefilled, now) || p.tokens < placementLeast || len(b.placements) >= placementsMost {
		return
	}
	s.cached.markPublished(p.keys, now)
	b.placements = append(b.placements, Placement{Server: s.key, Parts: p.keys, Prefilled: prefilled})
	b.changed()
}

func (b *Balancer) changed() {
	if b.onChange != nil {
		b.onChange()
	}
}

// prefix is the parts of a prompt that other requests may share, with what is worked out
// of them once for each request.
type prefix struct {
	parts  []Part
	keys   []partKey
	tokens int
}

func prefixOf(parts []Part) prefix {
	p := prefix{parts: parts, keys: make([]partKey, len(parts))}
	for i, part := range parts {
		p.keys[i] = xxhash.Sum64String(part.ID)
		p.tokens += part.Tokens
	}
	return p
}
