package scheduler

import "time"

// ID identifies a request. Box is the incarnation of the entry box that accepted the
// request, and Seq is unique within it.
type ID struct {
	Box string
	Seq uint64
}

// Class is the configuration of a service class on one shard.
type Class struct {
	Name string
	// Tier is the priority of the class; 1 is the highest.
	Tier int
	// Floor is the minimum share, in [0,1], of the dispatched work that the class gets
	// while it has requests waiting, regardless of the load of higher tiers. Work is
	// measured in output tokens.
	Floor float64
	// FloorPlaces is the number of queue places that are reserved for this class, in
	// addition to Config.QueueLimit.
	FloorPlaces int
	// GuaranteedPlaces is the class's share of the queue. If the queue overflows, the
	// class that exceeds its share most is shed first within its tier.
	GuaranteedPlaces int
	// FirstTokenTarget is the target for the time to first token.
	FirstTokenTarget time.Duration
	// InterTokenTarget is the target for the mean time between tokens; zero means none.
	InterTokenTarget time.Duration
	// Servers lists the backend servers that the class may use; empty means all.
	Servers []string
}

// Server is the configuration of a backend server.
type Server struct {
	Name string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Leaving is set while the server drains; it gets no new requests.
	Leaving bool
}

// Limits are the limits of one organisation on this shard. Zero means unlimited.
type Limits struct {
	// Weight is the organisation's fair-queueing weight; zero counts as 1.
	Weight            float64
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrency is the maximum number of running requests.
	Concurrency int
}

// Config is the configuration of one shard.
type Config struct {
	Classes []Class
	Servers []Server
	// Limits returns an organisation's limits; nil means that all are unlimited.
	Limits func(organisation string) Limits
	// QueueLimit bounds the number of waiting requests outside floor places, over all
	// classes.
	QueueLimit int
	// HeadroomSlots is the number of free slots that are reserved for the highest tier.
	HeadroomSlots int
	// Ablations disables mechanisms for measurements.
	Ablations Ablations
}

// Ablations disables individual mechanisms to measure their effect. The zero value
// enables all of them, as in production.
type Ablations struct {
	NoFloor         bool
	NoFairness      bool
	NoPrefix        bool
	NoAdaptiveLimit bool
	NoHeadroom      bool
	NoEarlyRefusal  bool
}

// Request describes a call that needs a slot on a backend server.
type Request struct {
	ID           ID
	Class        string
	Organisation string
	// PromptTokens is the estimated number of tokens in the prompt.
	PromptTokens int
	// Arrival is when the call reached its entry box.
	Arrival time.Time
	// Deadline is when the request is refused if it is still waiting; zero means none.
	Deadline time.Time
	// PrefixHashes holds hashes of prefixes of the prompt, in order of increasing length.
	PrefixHashes []uint64
	// AvoidServers names servers that have failed this request. They are used only if no
	// other server has a free slot.
	AvoidServers []string
}

// Grant assigns a slot on a server to a request, which may start now.
type Grant struct {
	ID     ID
	Server string
	// Waited is the time from arrival to the grant.
	Waited time.Duration
}

// Reason is the reason of a refusal.
type Reason int

// Reasons of a refusal.
const (
	ReasonQueueFull Reason = iota + 1
	ReasonDeadline
	ReasonLimit
	ReasonUnknownClass
	ReasonNoServer
)

// String returns the reason as it appears in logs and responses.
func (r Reason) String() string {
	switch r {
	case ReasonQueueFull:
		return "queue-full"
	case ReasonDeadline:
		return "deadline"
	case ReasonLimit:
		return "organisation-limit"
	case ReasonUnknownClass:
		return "unknown-class"
	case ReasonNoServer:
		return "no-server"
	}
	return "none"
}

// Refusal rejects a waiting request. The request has never run.
type Refusal struct {
	ID     ID
	Reason Reason
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

// Result is the outcome of a granted request. Its values match peerpb.Result.
type Result int

// Results of a granted request.
const (
	// ResultDone means that the server returned a complete response.
	ResultDone Result = iota + 1
	// ResultFailed means that the server failed, refused the request or timed out.
	ResultFailed
	// ResultAbandoned means that the caller disconnected.
	ResultAbandoned
)

// Completion reports the end of a granted request.
type Completion struct {
	ID           ID
	Result       Result
	PromptTokens int
	OutputTokens int
	// TimeToFirstToken is measured from the dispatch to the server.
	TimeToFirstToken time.Duration
	// InterTokenLatency is the mean time between tokens; zero if unknown.
	InterTokenLatency time.Duration
}

// LoadReport is the load that a server reports. It may be several seconds old.
type LoadReport struct {
	Server  string
	Running int
	Leaving bool
	Down    bool
}

// Decisions are the grants and refusals since the last call of TakeDecisions.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// Stats is a snapshot of the shard.
type Stats struct {
	Waiting   map[string]int
	Running   int
	FreeSlots int
	Servers   []ServerStats
}

// ServerStats is a snapshot of one server.
type ServerStats struct {
	Name            string
	Limit           int
	Granted         int
	ExternalRunning int
	Leaving         bool
	Down            bool
	// InterTokenLatency is a running mean.
	InterTokenLatency time.Duration
}
