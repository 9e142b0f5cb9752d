package api

// Headers of the callers' interface.
const (
	// HeaderClass selects the request's class.
	HeaderClass = "Headhill-Class"
	// HeaderRepeatable set to "no" marks a request that must not be retried once it
	// may have run.
	HeaderRepeatable = "Headhill-Repeatable"
	// HeaderIdempotencyKey identifies a non-repeatable request, so that it runs at
	// most once however often it is sent.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome is the Outcome of the request.
	HeaderOutcome = "Headhill-Outcome"
	// HeaderRequestID identifies the request in responses and logs.
	HeaderRequestID = "Headhill-Request-Id"
)

// Outcome is how a request ended. Every request has exactly one outcome.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeDone: the complete response was sent.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: the request certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// ErrorBody is the body of an error response, and the last event of a stream that
// ended early.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes a failure and how to resolve it.
type Error struct {
	// Type is a stable, machine-readable code.
	Type string `json:"type"`
	// Message is for people.
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMillis is how long to wait before retrying; 0 if unspecified.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id,omitempty"`
}
