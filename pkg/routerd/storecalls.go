package routerd

import (
	"context"

	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/storerev"
	"headhill.example/headhill/pkg/telemetry"
)

// CallKind is a kind of call to the store.
type CallKind string

// Kinds of calls to the store.
const (
	CallRead  CallKind = "read"
	CallWatch CallKind = "watch"
	CallWrite CallKind = "write"
	// CallStaleRead reads data that may be seconds old. It is cheap and not rate limited.
	CallStaleRead CallKind = "stale read"
)

// StoreCall describes a call to the store.
type StoreCall struct {
	// Object is the kind of object that is read or written.
	Object string
	Kind   CallKind
}

// String implements fmt.Stringer.
func (c StoreCall) String() string { return c.Object + " " + string(c.Kind) }

// StoreAccess is what a client of the store needs to make calls.
type StoreAccess struct {
	// Address returns the current address of the store.
	Address func() string
	// Admit blocks until the rate limits allow the call or ctx is done.
	Admit func(ctx context.Context, call StoreCall) error
	// OnUnusableEntry, if not nil, is called for each object that can't be decoded or is invalid.
	// The name is "" if it can't be decoded.
	OnUnusableEntry func(object, name string, err error)
	// Eras is informed of the store's era in each response, zero if it has none. It may be nil.
	Eras *storerev.Tracker
}

// storeCalls limits this box's calls to its share of the store's call budget and counts them.
type storeCalls struct {
	limiter *callrate.Limiter
	counts  *labelCounter
}

func newStoreCalls(budget callrate.Budget) *storeCalls {
	return &storeCalls{limiter: callrate.New(budget), counts: newLabelCounter()}
}

// admit implements StoreAccess.Admit and counts the call.
func (s *storeCalls) admit(ctx context.Context, call StoreCall) error {
	s.counts.increment(call.String())
	if call.Kind == CallStaleRead {
		return nil
	}
	return s.limiter.Wait(ctx, call.Kind == CallWrite)
}

// gauge returns the gauge for calls by object and kind.
func (s *storeCalls) gauge() telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_store_calls", Help: "Calls to the store since the start, by what they were for.",
		Attribute: "call", Observe: s.counts.snapshot,
	}
}
