package balancer

import (
	"math"
	"sync"
	"time"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/fleetlimit"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

const (
	// serverRetention is how long a server without calls stays in the map; sweepInterval is the
	// minimum time between scans for such servers. Scanning on every insertion would make the
	// first pick of a box quadratic in the number of servers: with 9,845 it took 0.8 s, with twice
	// as many four times that (BenchmarkFirstPick).
	serverRetention = time.Minute
	sweepInterval   = 10 * time.Second
)

// Balancer holds this box's view of the backend servers.
type Balancer struct {
	logger log.Logger
	// onChange is called when there is something to report to other boxes.
	onChange func()

	mu      sync.Mutex
	servers map[ServerKey]*server
	// latest holds, by ID, the incarnation of each server that was a candidate last.
	latest map[string]routing.Incarnation
	// peerLoads is the load that all other boxes together put on each server, received at
	// peerLoadsAt.
	peerLoads   map[ServerKey]Load
	peerLoadsAt time.Time
	// peerTimings are the timings of all other boxes, set at peerTimingsAt.
	peerTimings   map[ServerKey]Timing
	peerTimingsAt time.Time
	// timingsReportedAt is the time of the last report of timings, resumedAt that of the last one
	// after a gap.
	timingsReportedAt, resumedAt time.Time
	// placements holds the placements not yet reported.
	placements []Placement
	// services holds the demand statistics of services with engines.
	services map[ServiceKey]*serviceStats
	// holders maps a prompt part to servers that may have it cached. indexes holds, by service,
	// the indexes of long candidate lists.
	holders   map[partKey][]ServerKey
	indexes   map[string]*candidateIndex
	lastSweep time.Time
	// limiter limits the request rate to rate-limited servers; nil for no limit.
	limiter Limiter
	// signals tracks what servers signal in their responses.
	signals *signals.Tracker
	policy  Policy
	// isolated is set while this box has lost its links to the servers.
	isolated bool
}

// Limiter enforces this box's share of the fleet-wide rate limits of servers.
type Limiter interface {
	// Allows reports whether a request may be sent now; Take counts one that is sent.
	Allows(server routing.Incarnation, l fleetlimit.Limit, now time.Time) bool
	Take(server routing.Incarnation, l fleetlimit.Limit, now time.Time)
	// NextAllowed returns this box's share of the rate and the time at which the next request may
	// be sent.
	NextAllowed(server routing.Incarnation, l fleetlimit.Limit, now time.Time) (perSecond float64, next time.Time)
	// Share returns this box's part of places at a server that all boxes share, Turn its part in a turn.
	Share(server routing.Incarnation, total int) int
	Turn(server routing.Incarnation, total int, turn int64) int
	// Boxes returns the number of boxes, zero if it is not known yet.
	Boxes() int
}

// Policy selects optional inputs of choices. The zero Policy uses none.
type Policy struct {
	// ServerTimings weights the work at a server by its observed speed.
	ServerTimings bool
	// ReuseConnections prefers servers to which this box has an idle connection.
	ReuseConnections bool
	// ExpectedArrivals counts the requests that other boxes have probably sent since their last
	// reports.
	ExpectedArrivals bool
	// TransferFromFull lets servers transfer prefixes from engines that have no free slot for the
	// request.
	TransferFromFull bool
}

// SetPolicy changes the policy for later choices.
func (b *Balancer) SetPolicy(p Policy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy = p
}

// SetLimiter sets the limiter for rate-limited servers. It must be called before the first Pick.
func (b *Balancer) SetLimiter(l Limiter) { b.limiter = l }

// server is this box's state for one backend server.
type server struct {
	key ServerKey
	// id is set once the server was a candidate.
	id      string
	running int
	// memoryTokens is the maximum number of tokens that the running requests may occupy.
	memoryTokens int
	// backlog is the number of prompt tokens sent but not yet prefilled. reported is the load last
	// reported to other boxes.
	backlog  int
	reported Load
	cached   cachedParts
	health   health
	lastUsed time.Time
	// rejectedUntil is set after a brittle server rejected a request of this box.
	rejectedUntil time.Time
	turnUse       turnUse
	// probeInFlight is set while a request probes the half-open server.
	probeInFlight bool
	// lastSeenDown is updated only when a pick considers the server.
	lastSeenDown time.Time
	// timing compares the times to the first event of this box's requests with those expected.
	timing decayingTiming
	// peerTiming is the server's part of Balancer.peerTimings. It saves choices the look-up.
	peerTiming Timing
	// slowness is that of the last choice that considered the server, at slownessAt.
	slowness   float64
	slownessAt time.Time
}

// load returns the load from this box alone.
func (s *server) load() Load {
	return Load{Backlog: s.backlog, Running: s.running, MemoryTokens: s.memoryTokens}
}

// New returns a balancer without any server state.
func New(logger log.Logger) *Balancer {
	b := &Balancer{
		logger: logger, servers: make(map[ServerKey]*server), latest: make(map[string]routing.Incarnation), services: make(map[ServiceKey]*serviceStats),
		holders: make(map[partKey][]ServerKey), indexes: make(map[string]*candidateIndex),
	}
	b.signals = signals.NewTracker(logger, b.notifyChange)
	return b
}

// SetIsolated sets whether this box has lost its links to the servers. The failures seen until then are
// taken for those of the links, and no further ones are reported to other boxes meanwhile.
func (b *Balancer) SetIsolated(isolated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isolated = isolated
	if isolated {
		for _, s := range b.servers {
			s.health = health{lastSuccess: s.health.lastSuccess}
		}
		b.notifyChange()
	}
}

// Signals returns the tracker of the signals in servers' responses.
func (b *Balancer) Signals() *signals.Tracker { return b.signals }

// Pick chooses a server and counts the call there. It returns false if no candidate is eligible.
func (b *Balancer) Pick(q Query, now time.Time) (*Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordDemand(q.Service, now)
	chosen, costs, ok := b.choose(q, now)
	if !ok {
		return nil, false
	}
	l := &Lease{
		Server: *chosen.Server, Source: chosen.source, Inputs: b.inputs(q, &chosen, &costs, now),
		balancer: b, state: chosen.state, prefix: costs.prefix, probe: chosen.probe,
	}
	if chosen.brittle {
		chosen.state.useRoom(now)
	}
	l.state.running++
	l.state.probeInFlight = l.state.probeInFlight || l.probe
	if chosen.limited {
		b.limiter.Take(chosen.Incarnation(), b.currentRateLimit(&q, chosen.Server, now), now)
	}
	if q.Engine {
		l.reserve(q, &chosen, &costs, now)
	}
	return l, true
}

// inputs records, for the logs, what a choice was based on.
func (b *Balancer) inputs(q Query, c *choice, costs *costContext, now time.Time) Inputs {
	s := c.state
	return Inputs{
		Candidates: len(q.Candidates), Running: s.running, Backlog: s.backlog,
		PeerRunning: c.load.Running - s.running, PeerBacklog: c.load.Backlog - s.backlog, LoadAge: b.peerLoadAge(now),
		Prefix: q.prefixID(), Home: c.isHome, CachedTokens: c.cachedTokens, TransferredTokens: c.transferredTokens, PrefillTokens: c.prefillTokens(q),
		Interactive: costs.lane.interactive, LaneSize: costs.lane.size, Slowness: math.Round(100*c.slowness) / 100, FailureRatio: c.failureRatio,
		Unreported: math.Round(10*costs.unreported.requests) / 10,
	}
}

// peerLoadAge returns the age of the peer loads, negative if none were received.
func (b *Balancer) peerLoadAge(now time.Time) time.Duration {
	if b.peerLoadsAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(b.peerLoadsAt)
}

// statsOf returns the demand statistics of a service, creating them if needed.
func (b *Balancer) statsOf(service string) *serviceStats {
	return b.statsByKey(ServiceKeyOf(service))
}

// statsByKey is like statsOf, for a service key.
func (b *Balancer) statsByKey(key ServiceKey) *serviceStats {
	stats, ok := b.services[key]
	if !ok {
		stats = &serviceStats{classes: make(profiles)}
		b.services[key] = stats
	}
	return stats
}

// server returns the state of a server, creating it if needed.
func (b *Balancer) server(key ServerKey, now time.Time) *server {
	s, ok := b.servers[key]
	if !ok {
		b.evictUnused(now)
		s = &server{key: key, peerTiming: b.peerTimings[key]}
		b.servers[key] = s
	}
	s.lastUsed = now
	return s
}

// evictUnused removes servers without running requests that were not used within serverRetention.
func (b *Balancer) evictUnused(now time.Time) {
	if now.Sub(b.lastSweep) < sweepInterval {
		return
	}
	b.lastSweep = now
	for key, s := range b.servers {
		if s.running == 0 && now.Sub(s.lastUsed) > serverRetention {
			delete(b.servers, key)
			if KeyOf(b.latest[s.id]) == key {
				delete(b.latest, s.id)
			}
		}
	}
}
