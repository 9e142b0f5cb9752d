package gateway

import (
	"net/http"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// Call is what a caller asks, in the product's own terms.
type Call struct {
	ID string
	// Key is the caller's API key, "" if it shows none.
	Key string
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller has, "" for none.
	LastEventID  string
	PromptTokens int
	OutputTokens int
	// Parts are those of the prompt; the last one is the call's own.
	Parts []balancer.Part
}

// Attempt is one sending of a call to a server.
type Attempt struct {
	Call         *Call
	Server       routing.Server
	Organisation string
	// Rank is the urgency, 0 to routing.MaxRank; it is told to engines only.
	Rank   int
	Engine bool
	// RemainingTime is the time that the server has.
	RemainingTime time.Duration
	// LastEventID is the last event that the caller has by now.
	LastEventID string
	// PrefixSource is the address of a server from which this one can take what it lacks of
	// the prompt, "" for none.
	PrefixSource string
}

// ResponseInfo is what the head of a server's answer says beside its status.
type ResponseInfo struct {
	// NotExecuted: the server says that it did not run the request.
	NotExecuted bool
	// ServerReplaced: the server that was meant is gone, another one has its address.
	ServerReplaced bool
	// Signals are those of the server.
	Signals signals.Signals
}

// Protocol translates between the product's terms and the headers of callers and
// servers. It decides nothing.
type Protocol interface {
	// ReadCall reads a call from a request's headers. The error is a *CallError.
	ReadCall(r *http.Request) (Call, error)
	// RequestHeader are the headers of an attempt: the caller's own, less those of its
	// connection and those that the system sets, and with the attempt's.
	RequestHeader(caller http.Header, a Attempt) http.Header
	// ParseResponse reads the head of an answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// MatchesResponse tells whether the head of an answer names the call.
	MatchesResponse(c *Call, h http.Header) bool
	// SetRetryAfter writes when to come back into the head of a refusal.
	SetRetryAfter(h http.Header, after time.Duration)
}
