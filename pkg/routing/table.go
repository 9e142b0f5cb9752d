package routing

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// KindOnce requests run at most once.
	KindOnce Kind = iota
	// KindRepeatable requests may run more than once.
	KindRepeatable
	// KindStream answers are series of events.
	KindStream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case KindRepeatable:
		return "repeatable"
	case KindStream:
		return "stream"
	}
	return "once"
}

// Target is one service that a route leads to, with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route leads the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// FirstEventTarget is the time within which an answer, or its first event, is due.
	FirstEventTarget time.Duration `json:"FirstTarget"`
	// InterEventTarget is the longest pause between events; zero means none is set.
	InterEventTarget time.Duration `json:"BetweenTarget"`
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the servers that one request is sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another server after their last event.
	Resumable bool
	// Regions are those in which its requests may be served and cached; empty for all.
	Regions []string `json:",omitempty"`
}

// Repeatable tells whether a request may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// PickService picks a target for draw, a number in [0,1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server from all boxes.
	MaxConnections int
	// Engine marks model engines; MemoryTokens is the memory of one.
	Engine       bool
	MemoryTokens int
	// Scaling is nil where servers can't be ordered.
	Scaling *Scaling
	// WarmUp is what a server bears after a start; zero where that makes no difference.
	WarmUp WarmUp `json:",omitzero"`
}

// WarmUp says what a server of a service bears while it warms up. Far above that it falls over.
type WarmUp struct {
	// Duration is how long a server warms up after a start.
	Duration time.Duration `json:"Time"`
	// PerSecond is how many requests a second it bears meanwhile, from all boxes together.
	PerSecond float64
}

// Limited tells whether servers that warm up bear less than others.
func (w WarmUp) Limited() bool { return w.PerSecond > 0 }

// Scaling says which servers of a service can be ordered.
type Scaling struct {
	// MinServers and MaxServers bound the servers in each hall.
	MinServers int `json:"Least"`
	MaxServers int `json:"Most"`
	// Boot is the time until an ordered server serves.
	Boot time.Duration
	// SpotPrice is the price of a server that may be taken away, as a share of one on demand;
	// zero if there are none.
	SpotPrice float64
	// Prices are those of a server on demand by hall, for each second.
	Prices map[string]float64
}

// Organisation is a customer whose callers share API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
	// Regions are those in which its requests may be served and cached; empty for all.
	Regions []string `json:",omitempty"`
}

// Limits bound what a caller may send, and how long it may rest.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	Address string
	Hall    string
	Slots   int
	// Started tells the lives of a server apart that keeps its ID: the time of its start as
	// it says itself, in milliseconds; zero if it does not. Only that it differs means anything,
	// as clocks jump.
	Started int64
	// Leaving servers get no new work.
	Leaving bool
	// Spot servers cost less and may be taken away at short notice.
	Spot bool
	// WarmUpRemaining is for how much longer it warms up, as it said when it wrote its entry.
	WarmUpRemaining time.Duration `json:"WarmUp,omitzero"`
}

// Content is what a table is built from.
type Content struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table is one version of the configuration.
type Table struct {
	Version uint64
	Limits  Limits

	content  Content
	routes   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	ranks    map[rankKey]int
	// least is the least urgent rank that occurs.
	least int
	// shortest are the shortest targets of the routes to each service.
	shortest map[string]time.Duration
}

// rankKey orders requests: the organisation's priority comes before the route's.
type rankKey struct{ organisation, route int }

// MaxRank is the least urgent rank.
const MaxRank = 9

// NewTable builds a table.
func NewTable(c Content) *Table {
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		content:  c,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		keys:     make(map[string]*Organisation),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[normalHost(r.Host)] = append(t.routes[normalHost(r.Host)], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, k := range c.Organisations[i].Keys {
			t.keys[k] = &c.Organisations[i]
		}
	}
	t.ranks = ranks(c)
	for _, rank := range t.ranks {
		t.least = max(t.least, rank)
	}
	t.shortest = shortestTargets(c)
	return t
}

// LeastUrgentRank is the least urgent rank that occurs.
func (t *Table) LeastUrgentRank() int { return t.least }

// shortestTargets returns the shortest target for a first event of the routes to each service.
func shortestTargets(c Content) map[string]time.Duration {
	shortest := make(map[string]time.Duration, len(c.Services))
	for i := range c.Routes {
		target := c.Routes[i].FirstEventTarget
		for _, to := range c.Routes[i].Targets {
			if before, ok := shortest[to.Service]; target > 0 && (!ok || target < before) {
				shortest[to.Service] = target
			}
		}
	}
	return shortest
}

// organisationPriorities are those that occur, in order. There are few, however many organisations.
func organisationPriorities(c Content) []int {
	set := make(map[int]bool)
	for i := range c.Organisations {
		set[c.Organisations[i].Priority] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// MinFirstEventTarget is the shortest target of the routes to a service, zero if none has any.
func (t *Table) MinFirstEventTarget(service string) time.Duration { return t.shortest[service] }

// ranks numbers the pairs of priorities that occur, the most urgent first. More
// pairs than ranks share ranks in order.
func ranks(c Content) map[rankKey]int {
	set := make(map[rankKey]bool)
	organisations := append(organisationPriorities(c), 0)
	for i := range c.Routes {
		for _, priority := range organisations {
			set[rankKey{priority, c.Routes[i].Priority}] = true
		}
	}
	order := slices.SortedFunc(maps.Keys(set), func(a, b rankKey) int {
		return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
	})
	list := make(map[rankKey]int, len(order))
	for i, k := range order {
		list[k] = i * (MaxRank + 1) / max(len(order), MaxRank+1)
	}
	return list
}

// Match returns the route of a host and path: the one with the longest prefix.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routes[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// OrganisationByKey returns the holder of an API key.
func (t *Table) OrganisationByKey(key string) (*Organisation, bool) {
	o, ok := t.keys[key]
	return o, ok
}

// Organisations lists all of them. Callers must not change the list.
func (t *Table) Organisations() []Organisation { return t.content.Organisations }

// Services lists all of them. Callers must not change the list.
func (t *Table) Services() []Service { return t.content.Services }

// NeedsKey tells whether a route's callers must show an API key.
func (t *Table) NeedsKey(r *Route) bool { return !r.Public && len(t.keys) > 0 }

// Rank is the urgency of an organisation's requests on a route, 0 to MaxRank. The
// organisation may be nil.
func (t *Table) Rank(o *Organisation, r *Route) int {
	k := rankKey{0, r.Priority}
	if o != nil {
		k.organisation = o.Priority
	}
	return t.ranks[k]
}
