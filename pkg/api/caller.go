package api

// Headers of the caller's interface.
const (
	// HeaderClass names the request's class.
	HeaderClass = "Headhill-Class"
	// HeaderRepeatable set to "no" marks a request that may not be repeated.
	HeaderRepeatable = "Headhill-Repeatable"
	// HeaderIdempotencyKey names a request that may not be repeated, so that it
	// runs at most once however often it is sent.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome says how a request ended: an Outcome.
	HeaderOutcome = "Headhill-Outcome"
	// HeaderRequestID names the request in answers and logs.
	HeaderRequestID = "Headhill-Request-Id"
)

// Outcome is how a request ended. Each ends in exactly one way.
type Outcome string

// Outcomes.
const (
	// OutcomeDone: the whole answer was given.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: it was proved that the request did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// ErrorBody is the body of an answer that is an error, and the last event of a
// stream that broke.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes what went wrong and what to do.
type Error struct {
	// Type is stable, for programs; Message is for people.
	Type    string  `json:"type"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMillis is when asking again has a fair chance.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id,omitempty"`
}
