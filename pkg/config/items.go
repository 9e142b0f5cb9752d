package config

import (
	"slices"
	"time"
)

// Class is a service class: callers with the same targets and priority.
type Class struct {
	Name string `json:"name"`
	// Tier orders classes; 1 is the highest.
	Tier int `json:"tier"`
	// Floor is the share of starts the class gets while it has work waiting.
	Floor float64 `json:"floor"`
	// FloorPlaces are queue places of its own, on top of the shared queue.
	FloorPlaces int `json:"floor_places"`
	// Places is its guaranteed part of the shared queue.
	Places int `json:"places"`
	// FirstToken and Between are the latency targets.
	FirstToken time.Duration `json:"first_token_ns"`
	Between    time.Duration `json:"between_tokens_ns"`
	// Deadline bounds the wait for a start.
	Deadline time.Duration `json:"deadline_ns"`
	// Servers lists the backend servers the class may use; empty means all.
	Servers []string `json:"servers,omitempty"`
}

// Organisation is a customer.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are hex SHA-256 hashes of its API keys.
	KeyHashes []string `json:"key_hashes"`
	// Class is the class of its calls that name none.
	Class string `json:"class"`
	// Classes it may name; empty means any.
	Classes []string `json:"classes,omitempty"`
	Weight  float64  `json:"weight"`
	// Rates a second and running requests, each for one shard; 0 is unlimited.
	Requests    float64 `json:"requests_per_second,omitempty"`
	Tokens      float64 `json:"tokens_per_second,omitempty"`
	Concurrency int     `json:"concurrency,omitempty"`
}

// Kinds of services.
const (
	ServiceKindEngine = "engine"
	ServiceKindPlain  = "plain"
)

// Service is a pool of backend servers that answer one kind of call.
type Service struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Models that an engine service serves.
	Models []string `json:"models,omitempty"`
	// Class of calls that name none, before the organisation's.
	Class string `json:"class,omitempty"`
	// Repeatable says whether calls may be repeated unless they say otherwise.
	Repeatable bool `json:"repeatable"`
	// Queue bounds the waiting requests of one shard.
	Queue int `json:"queue"`
	// Headroom is the number of free slots of a shard that only the highest tier
	// may take.
	Headroom int `json:"headroom,omitempty"`
}

// States of a backend server.
const (
	ServerStateActive  = "active"
	ServerStateLeaving = "leaving"
)

// Server is a backend server.
type Server struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Hall    string `json:"hall"`
	// Address is IP:port.
	Address string `json:"address"`
	// Slots is the largest number of requests to run at a time.
	Slots int `json:"slots"`
	// Fences says that the server checks who orders it.
	Fences bool   `json:"checks_fences"`
	State  string `json:"state"`
}

// ItemKind names a kind of item.
type ItemKind string

// Kinds of items, as they stand in intents.
const (
	KindClass        ItemKind = "class"
	KindOrganisation ItemKind = "organisation"
	KindService      ItemKind = "service"
	KindServer       ItemKind = "server"
)

// Ref names an item.
type Ref struct {
	Kind ItemKind `json:"kind"`
	Name string   `json:"name"`
}

// Change is what one generation changes: items put in place, items removed.
type Change struct {
	Classes       []Class        `json:"classes,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Servers       []Server       `json:"servers,omitempty"`
	Remove        []Ref          `json:"remove,omitempty"`
}

// Empty tells whether nothing changes.
func (c *Change) Empty() bool {
	return len(c.Classes)+len(c.Organisations)+len(c.Services)+len(c.Servers)+len(c.Remove) == 0
}

// touches tells whether the change puts or removes an item of a kind.
func (c *Change) touches(k ItemKind) bool {
	put := map[ItemKind]int{
		KindClass:        len(c.Classes),
		KindOrganisation: len(c.Organisations),
		KindService:      len(c.Services),
		KindServer:       len(c.Servers),
	}
	return put[k] > 0 || slices.ContainsFunc(c.Remove, func(r Ref) bool { return r.Kind == k })
}

// AcceptedChange is a record of the configuration log. Its ID is the plan's.
type AcceptedChange struct {
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Change   Change    `json:"change"`
}
