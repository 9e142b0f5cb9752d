package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

const (
	// minBacklogChangeTokens is the change of a server's backlog that triggers a report to other
	// boxes.
	minBacklogChangeTokens = 500
	// minRunningChange is the change of a server's running requests that triggers a report.
	minRunningChange = 2
	// peerLoadTTL is how long the loads reported by other boxes are valid.
	peerLoadTTL = 3 * time.Second
	// minPlacementTokens is the length of a shared prefix from which it is published to other
	// boxes: prefilling shorter ones again is cheaper than publishing them.
	minPlacementTokens = 1000
	// maxPendingPlacements bounds the placements not yet reported.
	maxPendingPlacements = 256
	// minDownReports is the number of other boxes that must report a server down for it to be
	// ejected; ownSuccessTTL is how long a success of this box overrides them.
	minDownReports = 2
	ownSuccessTTL  = 2 * time.Second
)

const (
	// countScale is the resolution of reported call counts: they are in units of 1/countScale
	// call.
	countScale = 8
	// minFailureReports is the number of other boxes that must have seen a server fail, and
	// peerEjectRatio the failure ratio of all calls, for this box to eject it too.
	minFailureReports = 3
	peerEjectRatio    = 0.5
)

// ServerKey is a hash of a server's incarnation, used in messages between boxes. If two servers
// collide, each is also charged with the load of the other.
type ServerKey = signals.Key

// KeyOf returns the key of a server's incarnation. All state of a server is stored under it, so
// that a server restarted under the same ID starts with nothing cached, no load and no failures.
func KeyOf(i routing.Incarnation) ServerKey { return signals.KeyOf(i) }

// partKey is a hash of the ID of a prompt part.
type partKey = uint64

// Load is the load of one server from one or more boxes.
type Load struct {
	// Backlog is the number of prompt tokens not yet prefilled.
	Backlog int
	// Running is the number of requests in flight.
	Running int
	// MemoryTokens is the maximum number of tokens that the running requests may occupy, including
	// their prompts.
	MemoryTokens int
	// DownReports is the number of boxes that can't reach the server.
	DownReports int
	// FailureReports is the number of boxes that have seen the server fail. ScaledFailures and
	// ScaledCalls are the decayed counts of failed and of all calls, multiplied by countScale.
	FailureReports int
	ScaledFailures int
	ScaledCalls    int
}

// Plus returns the sum of l and o.
func (l Load) Plus(o Load) Load {
	return Load{
		Backlog: l.Backlog + o.Backlog, Running: l.Running + o.Running, MemoryTokens: l.MemoryTokens + o.MemoryTokens, DownReports: l.DownReports + o.DownReports,
		FailureReports: l.FailureReports + o.FailureReports, ScaledFailures: l.ScaledFailures + o.ScaledFailures, ScaledCalls: l.ScaledCalls + o.ScaledCalls,
	}
}

// Minus returns l without o. Nothing goes below zero, as o may be more recent than l.
func (l Load) Minus(o Load) Load {
	return Load{
		Backlog: max(0, l.Backlog-o.Backlog), Running: max(0, l.Running-o.Running),
		MemoryTokens: max(0, l.MemoryTokens-o.MemoryTokens), DownReports: max(0, l.DownReports-o.DownReports),
		FailureReports: max(0, l.FailureReports-o.FailureReports), ScaledFailures: max(0, l.ScaledFailures-o.ScaledFailures), ScaledCalls: max(0, l.ScaledCalls-o.ScaledCalls),
	}
}

// Placement states that a server has cached the parts of a prompt's prefix, or is about to prefill
// them.
type Placement struct {
	Server    ServerKey
	Parts     []uint64
	Prefilled bool
}

// Report is what this box reports to the other boxes.
type Report struct {
	// Loads holds the servers with a load or failures to report.
	Loads map[ServerKey]Load
	// Placements are those since the last report.
	Placements []Placement
	// Demands are by service.
	Demands map[ServiceKey]Demand
	// Signals are the signals observed in servers' responses.
	Signals signals.Observations
}

// OnChange sets the function called when there is something to report. It must neither block nor
// call the balancer.
func (b *Balancer) OnChange(f func()) { b.onChange = f }

// Report returns the state to report to other boxes. Each placement is returned once.
func (b *Balancer) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Loads: make(map[ServerKey]Load), Placements: b.placements, Demands: make(map[ServiceKey]Demand), Signals: b.signals.Report(now)}
	for key, stats := range b.services {
		if d := stats.demand(now); d != (Demand{}) {
			r.Demands[key] = d
		}
	}
	b.placements = nil
	for _, s := range b.servers {
		load := s.load()
		if !b.isolated {
			if s.health.down(now) {
				load.DownReports = 1
			}
			s.health.addTo(&load, b.peerLoad(s.key, now).FailureReports > 0, now)
		}
		s.reported = load
		if load != (Load{}) {
			r.Loads[s.key] = load
		}
	}
	return r
}

// SetPeerLoads replaces the total load and demand of all other boxes.
func (b *Balancer) SetPeerLoads(loads map[ServerKey]Load, demands map[ServiceKey]Demand, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerLoads, b.peerLoadsAt = loads, now
	for key, demand := range demands {
		// Services without a request at this box are included, so that the first one is admitted
		// by what the other boxes know.
		stats := b.statsByKey(key)
		stats.peers, stats.peersAt = demand, now
	}
}

// RecordPlacements records where other boxes have sent prompts.
func (b *Balancer) RecordPlacements(list []Placement, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range list {
		s := b.server(p.Server, now)
		s.cached.record(p.Parts, p.Prefilled, now)
		b.recordHolder(s, p.Parts)
		s.cached.markPublished(p.Parts, now)
	}
}

// peerLoadsFresh reports whether the other boxes' loads are still valid.
func (b *Balancer) peerLoadsFresh(now time.Time) bool { return now.Sub(b.peerLoadsAt) <= peerLoadTTL }

// peerLoad returns the load of a server from the other boxes, zero if their reports have expired.
func (b *Balancer) peerLoad(key ServerKey, now time.Time) Load {
	if !b.peerLoadsFresh(now) {
		return Load{}
	}
	return b.peerLoads[key]
}

// notifyLoadChange triggers a report if a server's load changed enough, or if its backlog became
// empty. Of brittle servers, each request is reported.
func (b *Balancer) notifyLoadChange(s *server) {
	tokens := max(s.backlog-s.reported.Backlog, s.reported.Backlog-s.backlog)
	requests := max(s.running-s.reported.Running, s.reported.Running-s.running)
	if requests > 0 && b.signals.State(s.key, s.lastUsed).Brittle.Set {
		b.notifyChange()
		return
	}
	if tokens >= minBacklogChangeTokens || requests >= minRunningChange || s.backlog == 0 && s.reported.Backlog > 0 {
		b.notifyChange()
	}
}

// queuePlacement records where a prompt's prefix is now, and queues it for the next report if
// needed.
func (b *Balancer) queuePlacement(s *server, p prefix, prefilled bool, now time.Time) {
	b.recordHolder(s, p.keys)
	if !s.cached.record(p.keys, prefilled, now) || p.tokens < minPlacementTokens || len(b.placements) >= maxPendingPlacements {
		return
	}
	s.cached.markPublished(p.keys, now)
	b.placements = append(b.placements, Placement{Server: s.key, Parts: p.keys, Prefilled: prefilled})
	b.notifyChange()
}

func (b *Balancer) notifyChange() {
	if b.onChange != nil {
		b.onChange()
	}
}

// prefix is the shared part of a prompt, with values computed once per request.
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
