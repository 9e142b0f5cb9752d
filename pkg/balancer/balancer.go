package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/routing"
)

// Costs are counted in tokens of a prompt that an engine has to read.
const (
	// missFactor is what a shared part that has to be read again costs beside the
	// time of reading it: the reading also delays what runs there.
	missFactor = 3.0
	// busyTokens is the mean of unread tokens a server at which reading again costs
	// once more: the busier all are, the more requests it delays.
	busyTokens = 3000.0
	// runningCost is what one running request costs those beside it.
	runningCost = 300.0
	// byteCost is what one byte sent to another hall costs.
	byteCost = 0.05
	// answerBytes is the size of an answer that is guessed.
	answerBytes = 2000
	// failureCost is what a share of failures of one costs.
	failureCost = 6000.0
	// failureMost is how far beyond the best server's a share of failures may go for
	// a request that can't be repeated.
	failureMost = 0.1
	// forgetAfter is how long a server that gets no calls is remembered.
	forgetAfter = time.Minute
)

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
	// Tokens is the length of the prompt, Bytes that of the request's body.
	Tokens int
	Bytes  int
	// Avoid lists servers that were tried before.
	Avoid []string
	// Engine marks model engines.
	Engine bool
	// missCost is what a token costs that has to be read again; Pick sets it.
	missCost float64
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
	// onLoad is told when what this box has a server read changes much.
	onLoad func(server string, unread int)

	mu      sync.Mutex
	servers map[string]*server
}

type server struct {
	running int
	// unread is the length of the prompts whose first event is awaited, told is
	// what the other boxes were told of it.
	unread int
	told   int
	// others is what other boxes have the server read.
	others  remoteLoads
	kept    keptParts
	health  health
	touched time.Time
}

// New returns a balancer that knows nothing yet.
func New(logger log.Logger) *Balancer {
	return &Balancer{logger: logger, servers: make(map[string]*server)}
}

// Inputs are what a choice rested on, for the logs.
type Inputs struct {
	// Candidates is how many servers there were to choose from.
	Candidates int
	// Running and Unread are this box's own, Others what other boxes have told.
	Running int
	Unread  int
	Others  int
	// Prefix names the longest part of the prompt that others may share, and Home
	// tells whether the server is the one where all boxes send it.
	Prefix string
	Home   bool
	// Kept is what the server is believed to keep of the prompt, in tokens.
	Kept int
	// Failures is the share of recent calls that failed.
	Failures float64
}

// Lease is one call in progress at a server.
type Lease struct {
	Server routing.Server
	Inputs Inputs

	balancer *Balancer
	unread   int
	done     bool
}

// Pick chooses a server and counts the call there. It returns false if no
// candidate is left.
func (b *Balancer) Pick(q Query, now time.Time) (*Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	choices := b.choices(q, now)
	if len(choices) == 0 {
		return nil, false
	}
	chosen := cheapest(choices)
	s := b.server(chosen.ID, now)
	l := &Lease{Server: chosen.Server, balancer: b, Inputs: Inputs{
		Candidates: len(choices), Running: s.running, Unread: s.unread, Others: s.others.sum(now),
		Prefix: q.prefix(), Home: chosen.home, Kept: chosen.kept, Failures: chosen.failures,
	}}
	s.running++
	if q.Engine {
		l.unread = max(0, q.Tokens-chosen.kept)
		s.unread += l.unread
		s.kept.note(q.shared(), now)
		b.tell(chosen.ID, s)
	}
	return l, true
}

// choice is a candidate, what it is believed to keep of the prompt, and what it
// costs to choose it.
type choice struct {
	routing.Server
	home bool
	kept int
	cost float64
	// failures is the share of recent calls that failed.
	failures float64
}

// choices are the candidates that may be chosen: those not tried before and not put
// aside; if all are put aside, all of them.
func (b *Balancer) choices(q Query, now time.Time) []choice {
	var fit, aside []choice
	home := homeOf(q)
	q.missCost = missFactor + b.meanUnread(q, now)/busyTokens
	for _, c := range q.Candidates {
		if slices.Contains(q.Avoid, c.ID) {
			continue
		}
		s := b.server(c.ID, now)
		x := s.choice(c, q, c.ID == home, now)
		if now.Before(s.health.aside) {
			aside = append(aside, x)
			continue
		}
		fit = append(fit, x)
	}
	if len(fit) == 0 {
		fit = aside
	}
	if !q.Repeatable {
		fit = sound(fit)
	}
	return fit
}

// sound leaves out the servers that fail clearly more often than the best one. A
// server that fails at once looks idle, so that its cost alone would draw requests.
func sound(list []choice) []choice {
	if len(list) == 0 {
		return nil
	}
	best := slices.MinFunc(list, func(a, b choice) int { return cmp.Compare(a.failures, b.failures) })
	return slices.DeleteFunc(list, func(c choice) bool { return c.failures > best.failures+failureMost })
}

// meanUnread is the mean of what the candidates have to read.
func (b *Balancer) meanUnread(q Query, now time.Time) float64 {
	total := 0
	for _, c := range q.Candidates {
		s := b.server(c.ID, now)
		total += s.unread + s.others.sum(now)
	}
	return float64(total) / float64(max(1, len(q.Candidates)))
}

// choice works out the cost of a server. The home of a prefix is believed to keep
// it, as all boxes send it there.
func (s *server) choice(c routing.Server, q Query, home bool, now time.Time) choice {
	x := choice{Server: c, home: home}
	shared := 0
	for _, p := range q.shared() {
		shared += p.Tokens
	}
	if home {
		x.kept = shared
	} else {
		x.kept = s.kept.longest(q.shared(), now)
	}
	x.cost = float64(s.unread+s.others.sum(now)) + q.missCost*float64(shared-x.kept) + runningCost*float64(s.running)
	x.failures = s.health.failureShare(now)
	x.cost += failureCost * x.failures
	if c.Hall != q.Hall {
		x.cost += byteCost * float64(q.Bytes+answerBytes)
	}
	return x
}

// cheapest picks the least cost, by chance among equals.
func cheapest(list []choice) choice {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return slices.MinFunc(list, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
}

// homeOf is the first candidate in the rendezvous order of the prompt's prefix, ""
// if it has none. Every box that lists the same servers finds the same one.
func homeOf(q Query) string {
	prefix := q.prefix()
	if prefix == "" {
		return ""
	}
	home, best := "", uint64(0)
	for _, c := range q.Candidates {
		if score := rendezvous(prefix, c.ID); home == "" || score > best {
			home, best = c.ID, score
		}
	}
	return home
}

func rendezvous(prefix, id string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(len(prefix)) + prefix + id)
}

func (b *Balancer) server(id string, now time.Time) *server {
	s, ok := b.servers[id]
	if !ok {
		b.forget(now)
		s = &server{}
		b.servers[id] = s
	}
	s.touched = now
	return s
}

func (b *Balancer) forget(now time.Time) {
	for id, s := range b.servers {
		if s.running == 0 && now.Sub(s.touched) > forgetAfter {
			delete(b.servers, id)
		}
	}
}

// Begun says that the server has read the prompt.
func (l *Lease) Begun() {
	l.balancer.mu.Lock()
	defer l.balancer.mu.Unlock()
	l.begun()
}

func (l *Lease) begun() {
	s := l.balancer.servers[l.Server.ID]
	s.unread -= l.unread
	l.unread = 0
	l.balancer.tell(l.Server.ID, s)
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
	l.begun()
	s := b.servers[l.Server.ID]
	s.running--
	aside := s.health.note(r, now)
	if aside > 0 {
		_ = level.Info(b.logger).Log("msg", "server put aside", "server", l.Server.ID, "address", l.Server.Address,
			"result", r, "in_a_row", s.health.inARow, "failures", s.health.failures, "for", aside)
	}
}

// String implements fmt.Stringer.
func (r Result) String() string {
	return [...]string{"done", "failed", "unreached", "refused", "replaced", "abandoned"}[r]
}
