package balancer

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"headhill.example/headhill/pkg/fleetlimit"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

const (
	// forgetAfter is how long a server that gets no calls is remembered, sweepEvery how often such
	// servers are looked for. To look for them with each new one made a box's first choice among
	// 9,845 servers take 0.8 s, and four times that among twice as many (BenchmarkFirstPick).
	forgetAfter = time.Minute
	sweepEvery  = 10 * time.Second
)

// Balancer keeps this box's view of the servers.
type Balancer struct {
	logger log.Logger
	// onChange is told when there is something to report.
	onChange func()

	mu      sync.Mutex
	servers map[ServerKey]*server
	// others is what the other boxes have servers do, heard at a time.
	others      map[ServerKey]Load
	othersHeard time.Time
	// placements wait to be published.
	placements []Placement
	// lanes are those of services with engines.
	lanes map[ServiceKey]*lanes
	// holders are servers that may have parts of prompts cached, indexes those of long lists of
	// candidates by service.
	holders map[partKey][]ServerKey
	indexes map[string]*candidateIndex
	// swept is when servers without calls were last looked for.
	swept time.Time
	// limiter bounds what goes to limited servers; nil for no bound.
	limiter Limiter
	// signals are those of servers in their answers.
	signals *signals.Tracker
}

// Limiter bounds what this box sends to servers that take few requests from all boxes together.
type Limiter interface {
	// Allows tells whether a request may go now, Take counts one that goes.
	Allows(server routing.Incarnation, l fleetlimit.Limit, now time.Time) bool
	Take(server routing.Incarnation, l fleetlimit.Limit, now time.Time)
	// NextAllowed is how many requests a second may go, and when the next one may.
	NextAllowed(server routing.Incarnation, l fleetlimit.Limit, now time.Time) (perSecond float64, next time.Time)
}

// SetLimiter sets what bounds requests to limited servers. It is set before the first call.
func (b *Balancer) SetLimiter(l Limiter) { b.limiter = l }

// server is what is known of one server.
type server struct {
	key     ServerKey
	running int
	// memory is how many tokens they may take.
	memory int
	// backlog is the length of the prompts whose first event is awaited, reported is
	// what was last reported to the other boxes.
	backlog  int
	reported Load
	cached   cachedParts
	health   health
	touched  time.Time
	// probing says that a request probes the server, which is half-open.
	probing bool
	// down is when the server was last known to be down, as far as a choice looked at it.
	down time.Time
}

// load is what this box has the server do.
func (s *server) load() Load {
	return Load{Backlog: s.backlog, Running: s.running, MemoryTokens: s.memory}
}

// New returns a balancer that knows nothing yet.
func New(logger log.Logger) *Balancer {
	b := &Balancer{
		logger: logger, servers: make(map[ServerKey]*server), lanes: make(map[ServiceKey]*lanes),
		holders: make(map[partKey][]ServerKey), indexes: make(map[string]*candidateIndex),
	}
	b.signals = signals.NewTracker(logger, b.changed)
	return b
}

// Signals tracks what servers signal in their answers.
func (b *Balancer) Signals() *signals.Tracker { return b.signals }

// Pick chooses a server and counts the call there. It returns false if no
// candidate is left.
func (b *Balancer) Pick(q Query, now time.Time) (*Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen, p, ok := b.choose(q, now)
	if !ok {
		return nil, false
	}
	l := &Lease{
		Server: *chosen.Server, Source: chosen.source, Inputs: b.inputs(q, &chosen, &p, now),
		balancer: b, state: chosen.state, prefix: p.prefix, probe: chosen.probe,
	}
	l.state.running++
	l.state.probing = l.state.probing || l.probe
	if chosen.limited {
		b.limiter.Take(chosen.Incarnation(), b.limitNow(&q, chosen.Server, now), now)
	}
	if q.Engine {
		l.occupy(q, &chosen, &p, now)
	}
	return l, true
}

// inputs are what a choice rested on.
func (b *Balancer) inputs(q Query, c *choice, p *placing, now time.Time) Inputs {
	s := c.state
	return Inputs{
		Candidates: len(q.Candidates), Running: s.running, Backlog: s.backlog,
		PeerRunning: c.load.Running - s.running, PeerBacklog: c.load.Backlog - s.backlog, LoadAge: b.loadAge(now),
		Prefix: q.prefix(), Home: c.home, CachedTokens: c.cached, TransferredTokens: c.transferred, PrefillTokens: c.toPrefill(q),
		Interactive: p.lane.interactive, LaneSize: p.lane.size, FailureRatio: c.failures,
	}
}

// loadAge is how old the other boxes' loads are, negative if none were heard.
func (b *Balancer) loadAge(now time.Time) time.Duration {
	if b.othersHeard.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(b.othersHeard)
}

// lanesOf returns what is known of the prompts of a service.
func (b *Balancer) lanesOf(service string) *lanes {
	return b.lanesBy(ServiceKeyOf(service))
}

// lanesBy returns what is known of the prompts of a service by its key.
func (b *Balancer) lanesBy(key ServiceKey) *lanes {
	l, ok := b.lanes[key]
	if !ok {
		l = &lanes{classes: make(profiles)}
		b.lanes[key] = l
	}
	return l
}

// server returns what is known of a server.
func (b *Balancer) server(key ServerKey, now time.Time) *server {
	s, ok := b.servers[key]
	if !ok {
		b.forget(now)
		s = &server{key: key}
		b.servers[key] = s
	}
	s.touched = now
	return s
}

// forget drops servers that have had no calls for long.
func (b *Balancer) forget(now time.Time) {
	if now.Sub(b.swept) < sweepEvery {
		return
	}
	b.swept = now
	for key, s := range b.servers {
		if s.running == 0 && now.Sub(s.touched) > forgetAfter {
			delete(b.servers, key)
		}
	}
}
