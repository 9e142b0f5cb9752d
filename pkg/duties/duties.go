// Package duties performs the work that the fleet does only once, on the box that holds the lease:
// reporting usage and ordering servers. Each call carries the fencing token, is only started while
// the lease is held, and is cancelled before the lease ends.
package duties

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/autoscale"
	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/lease"
	"headhill.example/headhill/pkg/metering"
	"headhill.example/headhill/pkg/pause"
)

// Caller identifies the box that makes a call by its name and fencing token.
type Caller struct {
	Box   string
	Fence uint64
}

// Cloud is the API of the platform that the duties call.
type Cloud interface {
	ReportUsage(ctx context.Context, caller Caller, r metering.Report) error
	// OrderServers returns a *NoCapacityError if no more servers are available at present.
	OrderServers(ctx context.Context, caller Caller, o autoscale.Order) error
}

// NoCapacityError is returned if a hall has no more servers of a kind at present.
type NoCapacityError struct {
	Hall string
	Kind autoscale.Kind
}

func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("no %s servers available in hall %s at present: order elsewhere or retry later", e.Kind, e.Hall)
}

// Lease tells whether this box holds the lease, and stores the state of the duties with it.
type Lease interface {
	Holding() (lease.Holding, bool)
	RequestSave() uint64
	LastSaved() uint64
}

const (
	// tickInterval is the interval at which each duty checks for due work.
	tickInterval = 200 * time.Millisecond
	// callTimeout bounds a call. minCallTime is the remaining lease time required to start one.
	callTimeout = time.Second
	minCallTime = 50 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 400 * time.Millisecond
)

// leaseNotHeldError is returned if the lease is not held long enough to make a call.
type leaseNotHeldError struct{}

func (leaseNotHeldError) Error() string { return "call not started: lease not held long enough" }

// fencedCaller makes calls under the lease.
type fencedCaller struct {
	box   string
	lease Lease
	// inFlight counts the calls in flight.
	inFlight atomic.Int32
}

// call runs f with a timeout that ends before the lease. It checks the lease immediately before the
// call, and returns the Caller under which the call was made.
func (c *fencedCaller) call(ctx context.Context, f func(context.Context, Caller) error) (Caller, error) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	h, ok := c.lease.Holding()
	remaining := clock.Until(h.Until)
	if !ok || remaining < minCallTime {
		return Caller{}, leaseNotHeldError{}
	}
	ctx, cancel := context.WithTimeout(ctx, min(remaining, callTimeout))
	defer cancel()
	caller := Caller{Box: c.box, Fence: h.Fence}
	return caller, f(ctx, caller)
}

// Deps are the dependencies of a Runner.
type Deps struct {
	Box   string
	Lease Lease
	Cloud Cloud
	// Reporter and Scaler are nil if the box does not perform that duty.
	Reporter *Reporter
	Scaler   *Scaler
	Logger   log.Logger
}

// Runner performs the duties while this box holds the lease.
type Runner struct {
	Deps
	calls *fencedCaller
}

// New returns a Runner.
func New(d Deps) *Runner {
	calls := &fencedCaller{box: d.Box, lease: d.Lease}
	if d.Reporter != nil {
		d.Reporter.attach(calls, d.Cloud, d.Logger)
	}
	if d.Scaler != nil {
		d.Scaler.attach(calls, d.Cloud, d.Logger)
	}
	return &Runner{Deps: d, calls: calls}
}

// idlePollInterval is the interval at which AwaitIdle checks for calls in flight.
const idlePollInterval = 5 * time.Millisecond

// AwaitIdle waits until no calls are in flight. It returns false if ctx is done before that.
func (r *Runner) AwaitIdle(ctx context.Context) bool {
	for r.calls.inFlight.Load() > 0 {
		if ctx.Err() != nil {
			return false
		}
		pause.For(ctx, idlePollInterval)
	}
	return true
}

// Run performs the duties until ctx is done. Each duty has its own loop, so that a slow call of one
// does not delay the other.
func (r *Runner) Run(ctx context.Context) {
	var wg conc.WaitGroup
	if r.Reporter != nil {
		wg.Go(func() { r.runPeriodically(ctx, r.Reporter.step) })
	}
	if r.Scaler != nil {
		wg.Go(func() { r.runPeriodically(ctx, r.Scaler.step) })
	}
	wg.Wait()
}

// runPeriodically calls step periodically while the lease is held.
func (r *Runner) runPeriodically(ctx context.Context, step func(context.Context)) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if _, ok := r.Lease.Holding(); ok {
				step(ctx)
			}
		}
	}
}

// savedState is the state of the duties that is stored with the lease.
type savedState struct {
	Metering *metering.Ledger                `json:"metering,omitempty"`
	Ordered  map[string]autoscale.HallCounts `json:"books,omitempty"`
}

// State returns the state for the next holder of the lease. It is not up to date while it comes from an older copy of the store
// and this box has not found out yet what was lost.
func (r *Runner) State() (data []byte, upToDate bool) {
	var s savedState
	upToDate = true
	if r.Reporter != nil {
		s.Metering, upToDate = r.Reporter.savedLedger()
	}
	if r.Scaler != nil {
		s.Ordered = r.Scaler.Ordered()
	}
	// Marshalling plain structs cannot fail.
	data, _ = json.Marshal(s)
	return data, upToDate
}

// Restore loads the state of the previous holder. If restored is set, it comes from an older copy of
// the store.
func (r *Runner) Restore(data []byte, restored bool) {
	var s savedState
	if len(data) > 0 {
		if err := json.Unmarshal(data, &s); err != nil {
			_ = level.Error(r.Logger).Log("msg", "could not decode state of the previous lease holder", "err", err, "bytes", len(data), "outcome", "starting without it")
			s = savedState{}
		}
	}
	if r.Reporter != nil {
		r.Reporter.restore(s.Metering, restored)
	}
	if r.Scaler != nil {
		r.Scaler.restore(s.Ordered)
	}
}

// mutexed is a value protected by a mutex.
type mutexed[T any] struct {
	mu    sync.Mutex
	value T
}

func (m *mutexed[T]) with(f func(*T)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(&m.value)
}
