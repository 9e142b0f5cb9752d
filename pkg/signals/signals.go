package signals

// Signals are what a server says of itself in the head of one answer.
type Signals struct {
	Limit Limit
	// Unreadable is why a signal of the head can't be read, nil if each can. It proves nothing, neither
	// for nor against what is believed.
	Unreadable error
}

// Limit is how many requests a second a server takes from all boxes together.
type Limit struct {
	PerSecond float64
	// Named is false for a server that names no limit.
	Named bool
}
