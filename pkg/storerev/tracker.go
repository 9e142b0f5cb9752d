package storerev

import (
	"fmt"
	"sync"
)

// OlderEraError is returned for a response of an era that has ended.
type OlderEraError struct{ Era, Latest uint64 }

func (e *OlderEraError) Error() string {
	return fmt.Sprintf("response is of era %d of the store, which is now in era %d: the call is made again; if this lasts, check the address of the store", e.Era, e.Latest)
}

// Tracker keeps the latest era that is known of a store. A nil Tracker accepts all eras.
type Tracker struct {
	onRise func(era, before uint64)

	mu     sync.Mutex
	latest uint64
}

// NewTracker returns a Tracker that calls onRise for each later era. Calls are made in order and must
// not call the Tracker.
func NewTracker(onRise func(era, before uint64)) *Tracker { return &Tracker{onRise: onRise} }

// Observe processes the era of a response. It returns an *OlderEraError if a later era is known, and a
// *RangeError if the era cannot be represented.
func (t *Tracker) Observe(era uint64) error {
	if t == nil {
		return nil
	}
	if era > maxEra {
		return &RangeError{Era: era}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.latest {
		return &OlderEraError{Era: era, Latest: t.latest}
	}
	if before := t.latest; era > before {
		t.latest = era
		t.onRise(era, before)
	}
	return nil
}

// Latest returns the latest known era.
func (t *Tracker) Latest() uint64 {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}
