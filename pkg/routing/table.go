package routing

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind defines whether requests on a route may run more than once, and whether responses are streamed.
type Kind int

const (
	// KindOnce is for requests that must run at most once.
	KindOnce Kind = iota
	// KindRepeatable is for requests that may run more than once.
	KindRepeatable
	// KindStream is for requests whose response is a stream of events.
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

// Target is a service of a route with its weight in the traffic split.
type Target struct {
	Service string
	Weight  int
}

// Route maps requests with a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// FirstEventTarget is the latency target for the response or its first event.
	FirstEventTarget time.Duration `json:"FirstTarget"`
	// InterEventTarget is the target for the longest gap between events; zero for no target.
	InterEventTarget time.Duration `json:"BetweenTarget"`
	// Priority orders routes; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of servers that a request is sent to.
	MaxAttempts int
	// Public routes do not require an API key.
	Public bool
	// Resumable streams may be continued by another server after their last event.
	Resumable bool
	// Regions are the regions in which requests may be served and cached; nil for all, empty for none.
	Regions []string `json:",omitzero"`
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// PickService selects a service by weight; draw is a random number in [0,1).
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
	// MaxConnections limits the connections to one server from all boxes.
	MaxConnections int
	// Engine is set for model engines; MemoryTokens is the capacity of the KV cache of one, in tokens.
	Engine       bool
	MemoryTokens int
	// Scaling is nil if servers cannot be ordered.
	Scaling *Scaling
	// WarmUp limits requests to a server after its start; zero for no limit.
	WarmUp WarmUp `json:",omitzero"`
}

// WarmUp is the load that a server can take while it warms up. A server that gets far more may crash.
type WarmUp struct {
	// Duration is the length of the warm-up after a start.
	Duration time.Duration `json:"Time"`
	// PerSecond is the maximum request rate from all boxes together.
	PerSecond float64
}

// Limited reports whether requests to a server are limited during its warm-up.
func (w WarmUp) Limited() bool { return w.PerSecond > 0 }

// Scaling defines how many servers of a service can be ordered, and their prices.
type Scaling struct {
	// MinServers and MaxServers are the limits for each hall.
	MinServers int `json:"Least"`
	MaxServers int `json:"Most"`
	// Boot is the time from the order of a server until it is ready.
	Boot time.Duration
	// SpotPrice is the price of a spot server as a fraction of the on-demand price; zero if there
	// are no spot servers.
	SpotPrice float64
	// Prices are the on-demand prices of a server per second, by hall.
	Prices map[string]float64
}

// Organisation is a customer whose callers share API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
	// Regions are the regions in which its requests may be served and cached; nil for all, empty for none.
	Regions []string `json:",omitzero"`
}

// Limits are the limits on the size and timing of a caller's requests.
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
	// Started is the start time reported by the server, in milliseconds; zero if it reports none.
	// It distinguishes incarnations with the same ID. As clocks jump, it is compared for equality only.
	Started int64
	// Version is the version of the server's software, which differs from that of the model's weights.
	Version string `json:",omitzero"`
	// Leaving servers are draining: they get no new requests.
	Leaving bool
	// Spot servers can be reclaimed by the provider at short notice.
	Spot bool
	// WarmUpRemaining is the time left in its warm-up when it wrote its entry.
	WarmUpRemaining time.Duration `json:"WarmUp,omitzero"`
}

// Content is the configuration that a table is built from.
type Content struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// KeysRequired is set if the configuration has a list of organisations, even one without any organisation or key.
	// Callers then need a key on all routes that are not public.
	KeysRequired bool `json:",omitempty"`
}

// Table is one version of the configuration, indexed for lookups.
type Table struct {
	Version uint64
	Limits  Limits

	content  Content
	routes   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	ranks    map[priorityPair]int
	// leastUrgent is the least urgent rank in use.
	leastUrgent int
	// minFirstEventTargets holds the shortest first-event target of the routes to each service.
	minFirstEventTargets map[string]time.Duration
	// rankTargets holds the first-event targets of the requests to each service that has any.
	rankTargets map[string]*RankTargets
	// limitsRegions is set if any route or organisation is limited to some regions.
	limitsRegions bool
}

// priorityPair orders requests by the priority of the organisation, then of the route.
type priorityPair struct{ organisation, route int }

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
		t.routes[normalizeHost(r.Host)] = append(t.routes[normalizeHost(r.Host)], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, k := range c.Organisations[i].Keys {
			// A caller without a key must not match an empty one.
			if k != "" {
				t.keys[k] = &c.Organisations[i]
			}
		}
	}
	t.ranks = assignRanks(c)
	for _, rank := range t.ranks {
		t.leastUrgent = max(t.leastUrgent, rank)
	}
	t.minFirstEventTargets = computeMinFirstEventTargets(c)
	t.rankTargets = t.computeRankTargets()
	t.limitsRegions = limitsRegions(c)
	return t
}

// LeastUrgentRank returns the least urgent rank in use.
func (t *Table) LeastUrgentRank() int { return t.leastUrgent }

// computeMinFirstEventTargets returns the shortest first-event target of the routes to each service.
func computeMinFirstEventTargets(c Content) map[string]time.Duration {
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

// organisationPriorities returns the distinct priorities of organisations in order.
func organisationPriorities(c Content) []int {
	set := make(map[int]bool)
	for i := range c.Organisations {
		set[c.Organisations[i].Priority] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// MinFirstEventTarget returns the shortest first-event target of the routes to a service, or zero.
func (t *Table) MinFirstEventTarget(service string) time.Duration {
	return t.minFirstEventTargets[service]
}

// assignRanks maps each pair of priorities in use to a rank, most urgent first. If there are more
// pairs than ranks, adjacent pairs share a rank.
func assignRanks(c Content) map[priorityPair]int {
	set := make(map[priorityPair]bool)
	organisations := append(organisationPriorities(c), 0)
	for i := range c.Routes {
		for _, priority := range organisations {
			set[priorityPair{priority, c.Routes[i].Priority}] = true
		}
	}
	order := slices.SortedFunc(maps.Keys(set), func(a, b priorityPair) int {
		return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
	})
	list := make(map[priorityPair]int, len(order))
	for i, k := range order {
		list[k] = i * (MaxRank + 1) / max(len(order), MaxRank+1)
	}
	return list
}

// Match returns the route for a host and path with the longest matching prefix.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost strips the port and converts the host to lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns the service with a name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// OrganisationByKey returns the organisation that an API key belongs to.
func (t *Table) OrganisationByKey(key string) (*Organisation, bool) {
	o, ok := t.keys[key]
	return o, ok
}

// Organisations returns all organisations. Callers must not modify the slice.
func (t *Table) Organisations() []Organisation { return t.content.Organisations }

// Services returns all services. Callers must not modify the slice.
func (t *Table) Services() []Service { return t.content.Services }

// NeedsKey reports whether callers of a route must present an API key. They must also while no key is in force, as when
// all were revoked.
func (t *Table) NeedsKey(r *Route) bool { return !r.Public && t.KeysRequired() }

// KeysRequired reports whether callers need an API key on all routes that are not public.
func (t *Table) KeysRequired() bool {
	return t.content.KeysRequired || len(t.content.Organisations) > 0
}

// KeyCount returns the number of API keys in force.
func (t *Table) KeyCount() int { return len(t.keys) }

// Rank returns the urgency of an organisation's requests on a route, from 0 (most urgent) to
// MaxRank. The organisation may be nil.
func (t *Table) Rank(o *Organisation, r *Route) int {
	k := priorityPair{0, r.Priority}
	if o != nil {
		k.organisation = o.Priority
	}
	return t.ranks[k]
}
