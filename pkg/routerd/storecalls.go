package routerd

import (
	"context"

	"headhill.example/headhill/pkg/callrate"
	"headhill.example/headhill/pkg/telemetry"
)

// CallKind is a kind of calls to the store.
type CallKind string

// Kinds of calls.
const (
	CallRead  CallKind = "read"
	CallWatch CallKind = "watch"
	CallWrite CallKind = "write"
	// CallStaleRead reads what may be seconds old. It costs little and is bound by no rate.
	CallStaleRead CallKind = "stale read"
)

// StoreCall says what a call to the store is for.
type StoreCall struct {
	// Object is what it is about.
	Object string
	Kind   CallKind
}

// String implements fmt.Stringer.
func (c StoreCall) String() string { return c.Object + " " + string(c.Kind) }

// StoreAccess says how the store may be called.
type StoreAccess struct {
	// Address is where the store is at the time of a call.
	Address func() string
	// Admit returns when a call may be made, or with an error if ctx ends before that.
	Admit func(ctx context.Context, call StoreCall) error
	// OnUnusableEntry is told of each object that can't be used; nil for nobody. The name is "" where
	// that can't be read either.
	OnUnusableEntry func(object, name string, err error)
}

// storeCalls keeps this box's calls within its share of the store's rates, and counts them.
type storeCalls struct {
	rates  *callrate.Limiter
	counts *tally
}

func newStoreCalls(rates callrate.Budget) *storeCalls {
	return &storeCalls{rates: callrate.New(rates), counts: newTally()}
}

// admit counts a call and waits until it may be made.
func (s *storeCalls) admit(ctx context.Context, call StoreCall) error {
	s.counts.add(call.String())
	if call.Kind == CallStaleRead {
		return nil
	}
	return s.rates.Wait(ctx, call.Kind == CallWrite)
}

// gauge shows the calls by what they were for.
func (s *storeCalls) gauge() telemetry.Gauge {
	return telemetry.Gauge{
		Name: "headhill_store_calls", Help: "Calls to the store since the start, by what they were for.",
		Attribute: "call", Observe: s.counts.byName,
	}
}
