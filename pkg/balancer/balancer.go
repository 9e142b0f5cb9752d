package balancer

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/routing"
)

// forgetAfter is how long a server that gets no calls is remembered.
const forgetAfter = time.Minute

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Query says what a server is wanted for.
type Query struct {
	Candidates []routing.Server
	// Hall is where the box stands.
	Hall string
	// Parts are those of the prompt, in order. The last one is the request's own.
	Parts []Part
	// Output is the most tokens that may be generated, Memory how many tokens the memory of
	// one engine holds, zero if that is not known.
	Output int
	Memory int
	// Tokens is the length of the prompt, Bytes that of the request's body.
	Tokens int
	Bytes  int
	// Avoid lists servers that were tried before.
	Avoid []string
	// Engine marks model engines.
	Engine bool
	// Service and Class name what the request is for; requests of a class are alike.
	Service string
	Class   string
	// Pause is the longest pause that the request's stream may have between events.
	Pause time.Duration
	// Repeatable requests survive a failure of their server.
	Repeatable bool
}

// shared are the parts that other requests may have in common with this one.
func (q *Query) shared() []Part { return q.Parts[:max(0, len(q.Parts)-1)] }

// prefix names the longest shared part, "" if there is none.
func (q *Query) prefix() string {
	shared := q.shared()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

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
}

type server struct {
	key     ServerKey
	running int
	// interactive is how many of the running requests are of interactive classes.
	interactive int
	// memory is how many tokens they may take.
	memory int
	// backlog is the length of the prompts whose first event is awaited, reported is
	// what was last reported to the other boxes.
	backlog  int
	reported Load
	cached   cachedParts
	health   health
	touched  time.Time
}

// load is what this box has the server do.
func (s *server) load() Load {
	return Load{Backlog: s.backlog, Running: s.running, Interactive: s.interactive, Memory: s.memory}
}

// New returns a balancer that knows nothing yet.
func New(logger log.Logger) *Balancer {
	return &Balancer{logger: logger, servers: make(map[ServerKey]*server), lanes: make(map[ServiceKey]*lanes)}
}

// Inputs are what a choice rested on, for the logs.
type Inputs struct {
	// Candidates is how many servers there were to choose from.
	Candidates int
	// Running and Backlog are this box's own, Others what other boxes have reported.
	Running int
	Backlog int
	Others  int
	// Prefix names the longest part of the prompt that others may share, and Home
	// tells whether the server is the one where all boxes send it.
	Prefix string
	Home   bool
	// Cached is what the server is believed to keep of the prompt, in tokens.
	Cached int
	// Interactive tells that the class counts as interactive, Lane how many servers are
	// set apart for those.
	Interactive bool
	Lane        int
	// Transferred is what it can take from another server, in tokens.
	Transferred int
	// Prefill is what it has to prefill of the prompt, in tokens.
	Prefill int
	// OthersRunning is how many requests of other boxes run there.
	OthersRunning int
	// LoadAge is how old the other boxes' loads are.
	LoadAge time.Duration
	// Failures is the share of recent calls that failed.
	Failures float64
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
	service     string
	class       string
	interactive bool
	// begun is when the first event came.
	begun time.Time
	done  bool
}

// Pick chooses a server and counts the call there. It returns false if no
// candidate is left.
func (b *Balancer) Pick(q Query, now time.Time) (*Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen, p, ok := b.choose(q, now)
	if !ok {
		return nil, false
	}
	s := chosen.state
	l := &Lease{Server: *chosen.Server, Source: chosen.source, balancer: b, state: s, prefix: p.prefix, Inputs: Inputs{
		Candidates: len(q.Candidates), Running: s.running, Backlog: s.backlog, Others: b.other(s, now).Backlog,
		Prefix: q.prefix(), Home: chosen.home, Interactive: p.lane.interactive, Lane: p.lane.size, Cached: chosen.cached, Transferred: chosen.transferred, Failures: chosen.failures,
	}}
	l.Inputs.LoadAge = now.Sub(b.othersHeard)
	l.Inputs.Prefill, l.Inputs.OthersRunning = chosen.toPrefill(q), chosen.load.Running-s.running
	s.running++
	if q.Engine {
		l.memory = q.Tokens + q.Output
		s.memory += l.memory
		l.backlog = chosen.toPrefill(q)
		s.backlog += l.backlog
		l.service, l.class, l.interactive = q.Service, q.Class, p.lane.interactive
		if l.interactive {
			s.interactive++
		}
		lanes := b.lanesOf(q.Service)
		lanes.note(p.lane.interactive, l.backlog, now)
		lanes.classes.add(q.Class, l.backlog, q.Pause, now)
		b.publishLoad(s)
		b.publishPlacement(s, l.prefix, false, now)
	}
	return l, true
}

// lanesOf returns what is known of the prompts of a service.
func (b *Balancer) lanesOf(service string) *lanes {
	key := ServiceKeyOf(service)
	l, ok := b.lanes[key]
	if !ok {
		l = &lanes{classes: make(profiles)}
		b.lanes[key] = l
	}
	return l
}

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

func (b *Balancer) forget(now time.Time) {
	for key, s := range b.servers {
		if s.running == 0 && now.Sub(s.touched) > forgetAfter {
			delete(b.servers, key)
		}
	}
}

// Begun says that the server has prefilled the prompt.
func (l *Lease) Begun(now time.Time) {
	b := l.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.begun.IsZero() || l.done {
		return
	}
	l.begun = now
	l.settle()
	b.publishPlacement(l.state, l.prefix, true, now)
}

// settle counts the prompt as prefilled, or as given up.
func (l *Lease) settle() {
	l.state.backlog -= l.backlog
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
	l.settle()
	s := l.state
	s.running--
	s.memory -= l.memory
	if l.interactive {
		s.interactive--
	}
	if l.class != "" && r == ResultDone && !l.begun.IsZero() {
		b.lanesOf(l.service).classes.ended(l.class, now.Sub(l.begun), now)
	}
	ejected := s.health.note(r, now)
	if ejected > 0 && s.health.unreachable {
		b.changed()
	}
	if ejected > 0 {
		_ = level.Info(b.logger).Log("msg", "server ejected", "server", l.Server.ID, "address", l.Server.Address,
			"result", r, "in_a_row", s.health.inARow, "failures", s.health.failures, "for", ejected)
	}
}

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"done", "failed", "unreached", "refused", "replaced", "abandoned"}[r]
}
