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
	// Patience is how long the caller waits; zero if it does not say.
	Patience time.Duration
	// LastEvent is the ID of the last event that the caller has, "" for none.
	LastEvent    string
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
	// Left is the time that the server has.
	Left time.Duration
	// LastEvent is the last event that the caller has by now.
	LastEvent string
	// Source is the address of a server from which this one can take what it lacks of
	// the prompt, "" for none.
	Source string
}

// Reply is what the head of a server's answer says beside its status.
type Reply struct {
	// NotRun: the server says that it did not run the request.
	NotRun bool
	// Replaced: the server that was meant is gone, another one has its address.
	Replaced bool
	// Signals are those of the server.
	Signals signals.Signals
}

// Protocol translates between the product's terms and the headers of callers and
// servers. It decides nothing.
type Protocol interface {
	// ReadCall reads a call from a request's headers. The error is a *CallError.
	ReadCall(r *http.Request) (Call, error)
	// Outgoing are the headers of an attempt: the caller's own, less those of its
	// connection and those that the system sets, and with the attempt's.
	Outgoing(caller http.Header, a Attempt) http.Header
	// Reply reads the head of an answer.
	Reply(status int, h http.Header) Reply
	// Answers tells whether the head of an answer names the call.
	Answers(c *Call, h http.Header) bool
	// Refuse writes when to come back into the head of a refusal.
	Refuse(h http.Header, after time.Duration)
}
