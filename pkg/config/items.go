package config

import (
	"slices"
	"time"
)

// The field names of Class, Organisation, Service and Server are shown to
// operators in plans (intent.FieldDiff).

// Class is a service class: requests with the same latency targets and priority.
type Class struct {
	Name string `json:"name"`
	// Tier is the priority; 1 is the highest.
	Tier int `json:"tier"`
	// Floor is the minimum share of starts while the class has requests waiting.
	Floor float64 `json:"floor"`
	// FloorPlaces is the number of queue places reserved for the class in addition
	// to the shared queue.
	FloorPlaces int `json:"floor_places"`
	// Places is the number of places in the shared queue guaranteed to the class.
	Places int `json:"places"`
	// FirstToken is the target for the time to the first token, Between the target
	// for the time between tokens; 0 sets no target.
	FirstToken time.Duration `json:"first_token_ns"`
	Between    time.Duration `json:"between_tokens_ns"`
	// Deadline is the maximum time in the queue.
	Deadline time.Duration `json:"deadline_ns"`
	// Servers lists the backend servers that the class may use; empty means all.
	Servers []string `json:"servers,omitempty"`
}

// Organisation is a tenant, identified by its API keys.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are the hex SHA-256 hashes of the API keys.
	KeyHashes []string `json:"key_hashes"`
	// Class is the default class of the organisation's requests.
	Class string `json:"class"`
	// Classes lists the classes that requests may select; empty means any.
	Classes []string `json:"classes,omitempty"`
	// Weight is the organisation's weight in fair sharing.
	Weight float64 `json:"weight"`
	// Requests and Tokens are rate limits per second, Concurrency limits the
	// running requests. Each applies per shard; 0 means unlimited.
	Requests    float64 `json:"requests_per_second,omitempty"`
	Tokens      float64 `json:"tokens_per_second,omitempty"`
	Concurrency int     `json:"concurrency,omitempty"`
}

// Kinds of services: model engines, and plain HTTP services.
const (
	ServiceKindEngine = "engine"
	ServiceKindPlain  = "plain"
)

// Service is a pool of backend servers that handle the same kind of requests.
type Service struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Models lists the models that an engine service serves.
	Models []string `json:"models,omitempty"`
	// Class is the default class; it takes precedence over the organisation's.
	Class string `json:"class,omitempty"`
	// Repeatable is whether requests may be retried by default.
	Repeatable bool `json:"repeatable"`
	// Queue is the maximum number of waiting requests per shard.
	Queue int `json:"queue"`
	// Headroom is the number of free slots per shard reserved for the highest tier.
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
	// Address has the form IP:port.
	Address string `json:"address"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// Fences is whether the server checks fencing tokens.
	Fences bool   `json:"checks_fences"`
	State  string `json:"state"`
}

// ItemKind is a kind of configuration item.
type ItemKind string

// Kinds of items, as written in intents.
const (
	KindClass        ItemKind = "class"
	KindOrganisation ItemKind = "organisation"
	KindService      ItemKind = "service"
	KindServer       ItemKind = "server"
)

// Ref identifies an item.
type Ref struct {
	Kind ItemKind `json:"kind"`
	Name string   `json:"name"`
}

// Change is a set of items to add or replace, and of items to remove.
type Change struct {
	Classes       []Class        `json:"classes,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Servers       []Server       `json:"servers,omitempty"`
	Remove        []Ref          `json:"remove,omitempty"`
}

// Empty reports whether the change contains no items.
func (c *Change) Empty() bool {
	return len(c.Classes)+len(c.Organisations)+len(c.Services)+len(c.Servers)+len(c.Remove) == 0
}

// touches reports whether the change sets or removes an item of a kind.
func (c *Change) touches(k ItemKind) bool {
	set := map[ItemKind]int{
		KindClass:        len(c.Classes),
		KindOrganisation: len(c.Organisations),
		KindService:      len(c.Services),
		KindServer:       len(c.Servers),
	}
	return set[k] > 0 || slices.ContainsFunc(c.Remove, func(r Ref) bool { return r.Kind == k })
}

// AcceptedChange is the data of a record of the configuration log. The record's ID
// is the ID of the plan.
type AcceptedChange struct {
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Change   Change    `json:"change"`
}
