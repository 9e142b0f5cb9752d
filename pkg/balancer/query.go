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

// Query describes a request that needs a server.
type Query struct {
	Candidates []routing.Server
	// Draining lists servers that get no new requests but whose cached prefixes can still be
	// transferred: they are leaving, or their hall is evacuated.
	Draining []routing.Server
	// WarmUp is the limit of a candidate while it warms up. WarmUpEnd returns when its warm-up
	// ends; nil if all candidates are warm.
	WarmUp    routing.WarmUp
	WarmUpEnd func(*routing.Server) time.Time
	// ListStale is set if the list of servers has been unconfirmed for so long that server starts
	// may have been missed.
	ListStale bool
	// Hall is the hall of this box.
	Hall string
	// Parts are the parts of the prompt, in order. The last one is unique to the request.
	Parts []Part
	// MaxOutputTokens bounds the tokens that may be generated. EngineMemoryTokens is the memory of
	// one engine, zero if unknown.
	MaxOutputTokens    int
	EngineMemoryTokens int
	// PromptTokens is the length of the prompt, BodyBytes that of the request's body.
	PromptTokens int
	BodyBytes    int
	// Exclude lists servers that have been tried before.
	Exclude []routing.Incarnation
	// Rank is the urgency, from 0 (most urgent) to routing.MaxRank.
	Rank int
	// MaxOccupancy is the ratio of occupied slots below which an engine is preferred for the
	// request; zero for no limit. It is ignored if no engine is below it.
	MaxOccupancy float64
	// Engine marks model engines.
	Engine bool
	// Service is the requested service. Class groups requests of similar shape.
	Service string
	Class   string
	// MaxEventInterval is the longest permitted interval between events of the request's stream.
	MaxEventInterval time.Duration
	// SkipLimited leaves the capacity of rate-limited servers to other requests, which wait for
	// it.
	SkipLimited bool
	// Avoid reports whether a server gets the request only if no other one is eligible; nil for
	// none. It must not call the balancer.
	Avoid func(routing.Incarnation) bool
	// Prefer reports whether a server gets the request before others that could take it as well; nil for no preference. It must
	// not call the balancer.
	Prefer func(*routing.Server) bool
	// Repeatable is set if the request may be run again after a failure.
	Repeatable bool
	// Connected reports whether the box has an idle connection to a server; nil if that is unknown. It
	// must not call the balancer.
	Connected func(routing.Incarnation) bool
}

// sharedParts returns the parts that other requests may have in common with this one.
func (q *Query) sharedParts() []Part { return q.Parts[:max(0, len(q.Parts)-1)] }

// prefixID returns the ID of the last shared part, "" if there is none.
func (q *Query) prefixID() string {
	shared := q.sharedParts()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

// withoutAvoided returns the choices that need not be avoided, or all of them if there are none.
func withoutAvoided(q Query, choices []choice) []choice {
	if q.Avoid == nil {
		return choices
	}
	others := make([]choice, 0, len(choices))
	for i := range choices {
		if !q.Avoid(choices[i].Incarnation()) {
			others = append(others, choices[i])
		}
	}
	if len(others) == 0 {
		return choices
	}
	return others
}

// maxPreferredLoad is the number of requests at a preferred server, in times of the average of all choices, up to which it is
// preferred.
const maxPreferredLoad = 2

// preferred returns the choices that the query prefers, without those that fail more often than a limit or have far more requests than the others;
// all choices if none is left.
func preferred(q Query, choices []choice, maxFailureRatio float64) []choice {
	if q.Prefer == nil {
		return choices
	}
	running := 0
	for i := range choices {
		running += choices[i].load.Running
	}
	maxRunning := 1 + maxPreferredLoad*float64(running)/float64(len(choices))
	kept := make([]choice, 0, len(choices))
	for i := range choices {
		c := &choices[i]
		if q.Prefer(c.Server) && c.failureRatio <= maxFailureRatio && float64(c.load.Running) <= maxRunning {
			kept = append(kept, *c)
		}
	}
	if len(kept) == 0 {
		return choices
	}
	return kept
}
