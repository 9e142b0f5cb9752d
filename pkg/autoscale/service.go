package autoscale

import "time"

// Kind is the purchase model of a server.
type Kind int

// Purchase models.
const (
	OnDemand Kind = iota
	Spot
	numKinds
)

// String implements fmt.Stringer.
func (k Kind) String() string { return [...]string{"on demand", "spot"}[k] }

// PerKind holds a count for each kind.
type PerKind [numKinds]int

// Sum returns the count of both kinds.
func (p PerKind) Sum() int { return p[OnDemand] + p[Spot] }

// Offer describes the servers that can be ordered for a service.
type Offer struct {
	// MinServers and MaxServers limit the number of servers of both kinds in each hall.
	MinServers, MaxServers int
	// Boot is the time from an order until the server serves.
	Boot time.Duration
	// SpotPrice is the price of a spot server relative to an on-demand one; zero if there are no
	// spot servers.
	SpotPrice float64
	// Prices holds the price per second of an on-demand server by hall.
	Prices map[string]float64
}

// Server is a listed server.
type Server struct {
	Hall    string
	Kind    Kind
	Leaving bool
}

// Load is the demand for a service.
type Load struct {
	// BusyServers is the number of servers that the load would keep fully busy.
	BusyServers float64
	// Known is false while the load cannot be computed, as for a new service whose servers have an
	// unknown capacity.
	Known bool
	// PrefillRate is the assumed prefill speed of a server in tokens per second, for logs.
	PrefillRate float64
}

// Order sets the number of servers of a kind in a hall.
type Order struct {
	Service string
	Hall    string
	Kind    Kind
	Count   int
	// Previous is the count ordered before.
	Previous int
}
