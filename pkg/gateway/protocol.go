package gateway

import (
	"net/http"
	"time"

	"headhill.example/headhill/pkg/balancer"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/signals"
)

// Call is the content of a request's headers, independent of their format.
type Call struct {
	ID string
	// Key is the caller's API key, or "".
	Key string
	// Timeout is how long the caller waits, or zero if unknown.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller has received, or "".
	LastEventID string
	// Resumes is the ID of the call that brought the first event of the stream that this call takes up, or
	// "" if the caller names none.
	Resumes      string
	PromptTokens int
	OutputTokens int
	// Parts are the parts of the prompt; the last one is unique to this call.
	Parts []balancer.Part
}

// Attempt describes an attempt to send a call to a server.
type Attempt struct {
	Call         *Call
	Server       routing.Server
	Organisation string
	// Rank is the urgency, from 0 (most urgent) to routing.MaxRank. It is sent to engines only.
	Rank   int
	Engine bool
	// RemainingTime is the time until the deadline of the request.
	RemainingTime time.Duration
	// LastEventID is the ID of the last event that was forwarded to the caller.
	LastEventID string
	// PrefixSource is the address of a server from which this one can fetch missing parts of the
	// prompt's prefix, or "".
	PrefixSource string
}

// ResponseInfo is the content of a response header beside its status.
type ResponseInfo struct {
	// NotExecuted is set if the server states that it did not run the request.
	NotExecuted bool
	// ServerReplaced is set if another server has taken over the address of the intended one.
	ServerReplaced bool
	Signals        signals.Signals
}

// Protocol maps between the gateway's types and the headers of callers and servers.
type Protocol interface {
	// ReadCall parses the headers of a request. The error is a *CallError.
	ReadCall(r *http.Request) (Call, error)
	// RequestHeader returns the headers of an attempt: the caller's end-to-end headers without
	// those reserved for the system, and the headers of the attempt.
	RequestHeader(caller http.Header, a Attempt) http.Header
	// ParseResponse parses a response header.
	ParseResponse(status int, h http.Header) ResponseInfo
	// IDHeader returns the name of the header that carries the ID of a request, which servers repeat in the response.
	IDHeader() string
	// SetRetryAfter sets the Retry-After of a refusal.
	SetRetryAfter(h http.Header, retryAfter time.Duration)
}
