package autoscale

import "time"

// Kind is how a server is paid.
type Kind int

// Kinds of servers.
const (
	OnDemand Kind = iota
	Spot
	kinds
)

// String implements fmt.Stringer.
func (k Kind) String() string { return [...]string{"on demand", "spot"}[k] }

// PerKind holds a number for each kind.
type PerKind [kinds]int

// Sum is the number of both kinds.
func (p PerKind) Sum() int { return p[OnDemand] + p[Spot] }

// Offer is what can be ordered for a service.
type Offer struct {
	// MinServers and MaxServers bound the servers of both kinds in each hall.
	MinServers, MaxServers int
	// Boot is the time until an ordered server serves.
	Boot time.Duration
	// SpotPrice is that of a spot server, as a share of one on demand; zero if there are
	// none.
	SpotPrice float64
	// Prices are those of a server on demand by hall, for each second.
	Prices map[string]float64
}

// Server is one that is listed.
type Server struct {
	Hall    string
	Kind    Kind
	Leaving bool
}

// Load is what is asked of a service.
type Load struct {
	// BusyServers is how many servers would be busy all the time with it.
	BusyServers float64
	// Known tells that it could be worked out: of a new service, what a server can do is
	// not known.
	Known bool
	// PrefillRate is the tokens a second that a server was taken to prefill, for the logs.
	PrefillRate float64
}

// Order sets the number of servers of a kind in a hall.
type Order struct {
	Service string
	Hall    string
	Kind    Kind
	Count   int
	// Previous is the number that was ordered until now.
	Previous int
}
