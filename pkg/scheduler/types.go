package scheduler

import "time"

// ID names a request. Box is the entry box's incarnation, Seq is unique there.
type ID struct {
	Box string
	Seq uint64
}

// Class is a service class as one shard sees it.
type Class struct {
	Name string
	// Tier orders classes: 1 is the highest.
	Tier int
	// Floor is the share of starts, in [0,1], that the class gets while it has
	// work waiting, whatever the higher tiers bring.
	Floor float64
	// FloorPlaces are queue places on top of the shard's bound that only this
	// class may use.
	FloorPlaces int
	// GuaranteedPlaces is the guaranteed part of the shared queue; beyond it the class
	// borrows and is shed first within its tier.
	GuaranteedPlaces int
	// FirstTokenTarget and InterTokenTarget are the latency targets: time to first token
	// and mean time between tokens. Zero means no target.
	FirstTokenTarget time.Duration
	InterTokenTarget time.Duration
	// Servers lists the backend servers the class may use; empty means all.
	Servers []string
}

// Server is a backend server of the shard.
type Server struct {
	Name string
	// Slots is the largest number of requests to run at a time.
	Slots int
	// Leaving servers get no new work.
	Leaving bool
}

// Limits bound one organisation on this shard. Zero means unlimited.
type Limits struct {
	// Weight is the organisation's share relative to others; 0 counts as 1.
	Weight float64
	// RequestsPerSecond and TokensPerSecond are rate limits.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrency bounds requests running at a time.
	Concurrency int
}

// Config is what the operators' accepted configuration says of one shard.
type Config struct {
	Classes []Class
	Servers []Server
	// Limits returns an organisation's limits; nil means none has any.
	Limits func(organisation string) Limits
	// QueueLimit bounds the waiting requests of all classes beyond their floor places.
	QueueLimit int
	// HeadroomSlots is the number of free slots that only the highest tier may take.
	HeadroomSlots int
	// Ablations switches mechanisms off for measurement; the zero value has all on.
	Ablations Ablations
}

// Ablations switches single mechanisms off. Only measurements set it.
type Ablations struct {
	NoFloor         bool
	NoFairness      bool
	NoPrefix        bool
	NoAdaptiveLimit bool
	NoHeadroom      bool
	NoEarlyRefusal  bool
}

// Request is a reservation: what the decision needs to know of a call.
type Request struct {
	ID           ID
	Class        string
	Organisation string
	// PromptTokens is the estimated size of the prompt.
	PromptTokens int
	// Arrival is when the call first reached an entry box.
	Arrival time.Time
	// Deadline is when waiting has no more use; zero means none.
	Deadline time.Time
	// PrefixHashes holds hashes of ever longer prefixes of the prompt.
	PrefixHashes []uint64
	// AvoidServers names servers that failed this request before. They are taken only
	// when no other is free.
	AvoidServers []string
}

// Grant says that a request may start on a server now.
type Grant struct {
	ID     ID
	Server string
	// Waited is the time from arrival to grant.
	Waited time.Duration
}

// Reason says why a request was refused.
type Reason int

// Reasons of a refusal.
const (
	ReasonQueueFull Reason = iota + 1
	ReasonDeadline
	ReasonLimit
	ReasonUnknownClass
	ReasonNoServer
)

// String returns the reason as it stands in logs and answers.
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

// Refusal says that a request will not run here. It was never granted, or its
// grant was withdrawn before use.
type Refusal struct {
	ID     ID
	Reason Reason
	// RetryAfter is when asking again has a fair chance.
	RetryAfter time.Duration
}

// Result is how a granted request ended.
type Result int

// Results of a granted request.
const (
	// ResultDone means the server gave its whole answer.
	ResultDone Result = iota + 1
	// ResultFailed means the server broke, refused or timed out.
	ResultFailed
	// ResultAbandoned means the caller went away.
	ResultAbandoned
)

// Completion reports the end of a granted request.
type Completion struct {
	ID           ID
	Result       Result
	PromptTokens int
	OutputTokens int
	// TimeToFirstToken is the time from dispatch to the first token.
	TimeToFirstToken time.Duration
	// InterTokenLatency is the mean time between tokens; zero when unknown.
	InterTokenLatency time.Duration
}

// LoadReport is a server's own account of its load. It lags.
type LoadReport struct {
	Server  string
	Running int
	Leaving bool
	Down    bool
}

// Decisions are the outcomes since the last Take.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// Stats describes the shard at one moment.
type Stats struct {
	Waiting   map[string]int
	Running   int
	FreeSlots int
	Servers   []ServerStats
}

// ServerStats describes one server at one moment.
type ServerStats struct {
	Name            string
	Limit           int
	Granted         int
	ExternalRunning int
	Leaving         bool
	Down            bool
	// InterTokenLatency is the smoothed time between tokens.
	InterTokenLatency time.Duration
}
