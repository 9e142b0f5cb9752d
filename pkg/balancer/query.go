package balancer

import (
	"time"

	"headhill.example/headhill/pkg/routing"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Query says what a server is wanted for.
type Query struct {
	Candidates []routing.Server
	// Draining servers get no new work, but what they have cached can still be taken from them: they
	// leave, or their hall is evacuated.
	Draining []routing.Server
	// WarmUp is what a candidate bears while it warms up, Warm tells when it has done so; nil for
	// candidates that all have.
	WarmUp    routing.WarmUp
	WarmUpEnd func(*routing.Server) time.Time
	// ListStale says that the list of servers has not been confirmed for so long that starts of
	// servers may be unknown.
	ListStale bool
	// Hall is where the box stands.
	Hall string
	// Parts are those of the prompt, in order. The last one is the request's own.
	Parts []Part
	// MaxOutputTokens is the most tokens that may be generated, Memory how many tokens the memory of
	// one engine holds, zero if that is not known.
	MaxOutputTokens    int
	EngineMemoryTokens int
	// PromptTokens is the length of the prompt, Bytes that of the request's body.
	PromptTokens int
	BodyBytes    int
	// Exclude lists servers that were tried before.
	Exclude []routing.Incarnation
	// Rank is the urgency, 0 to routing.MaxRank.
	Rank int
	// MaxOccupancy is the share of an engine's places that may be taken for the request to go there, as
	// long as there is such an engine; zero for no bound.
	MaxOccupancy float64
	// Engine marks model engines.
	Engine bool
	// Service and Class name what the request is for; requests of a class are alike.
	Service string
	Class   string
	// MaxEventInterval is the longest pause that the request's stream may have between events.
	MaxEventInterval time.Duration
	// SkipLimited leaves the rate of limited servers to other requests, which wait for it.
	SkipLimited bool
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
