// Package duties does what the fleet has to do once, on the box that holds the lease:
// it reports usage and orders servers. Each call is made only while the lease is held,
// under its fence, and ends before the lease does.
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

// Caller is the box that makes a call, and the fence that it holds.
type Caller struct {
	Box   string
	Fence uint64
}

// Cloud is where the duties' calls go.
type Cloud interface {
	ReportUsage(ctx context.Context, by Caller, r metering.Report) error
	// OrderServers returns a *NoCapacityError where more servers can't be had at present.
	OrderServers(ctx context.Context, by Caller, o autoscale.Order) error
}

// NoCapacityError says that a hall has no more servers of a kind at present.
type NoCapacityError struct {
	Hall string
	Kind autoscale.Kind
}

func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("no servers %s are available in hall %s at present: order elsewhere, or again later", e.Kind, e.Hall)
}

// Lease tells whether this box holds the lease, and has the duties' state written with it.
type Lease interface {
	Holding() (lease.Holding, bool)
	RequestSave() uint64
	LastSaved() uint64
}

const (
	// tick is how often the duties look whether something is due.
	tick = 200 * time.Millisecond
	// callMost bounds one call, callLeast is what must be left of the lease to begin one.
	callMost  = time.Second
	callLeast = 50 * time.Millisecond
	// retryAfter is the pause after a call that failed.
	retryAfter = 400 * time.Millisecond
)

// notHeldError ends a call for which this box has not the lease.
type notHeldError struct{}

func (notHeldError) Error() string { return "the lease is not held long enough: its holder calls" }

// caller makes calls under the lease.
type caller struct {
	box    string
	holder Lease
	// underWay counts the calls that have begun and not ended.
	underWay atomic.Int32
}

// call makes one call if the lease is held, and bounds it by the lease. The check of the
// lease comes immediately before the call. It returns under which fence the call was made.
func (c *caller) call(ctx context.Context, f func(context.Context, Caller) error) (Caller, error) {
	c.underWay.Add(1)
	defer c.underWay.Add(-1)
	h, ok := c.holder.Holding()
	left := clock.Until(h.Until)
	if !ok || left < callLeast {
		return Caller{}, notHeldError{}
	}
	ctx, cancel := context.WithTimeout(ctx, min(left, callMost))
	defer cancel()
	by := Caller{Box: c.box, Fence: h.Fence}
	return by, f(ctx, by)
}

// Deps are what a Runner is built on.
type Deps struct {
	Box   string
	Lease Lease
	Cloud Cloud
	// Reporter and Scaler are nil where the box has not that duty.
	Reporter *Reporter
	Scaler   *Scaler
	Logger   log.Logger
}

// Runner runs the duties while this box holds the lease.
type Runner struct {
	Deps
	calls *caller
}

// New returns duties that hold nothing yet.
func New(d Deps) *Runner {
	calls := &caller{box: d.Box, holder: d.Lease}
	if d.Reporter != nil {
		d.Reporter.attach(calls, d.Cloud, d.Logger)
	}
	if d.Scaler != nil {
		d.Scaler.attach(calls, d.Cloud, d.Logger)
	}
	return &Runner{Deps: d, calls: calls}
}

// idleCheck is how often is looked whether a call is still under way.
const idleCheck = 5 * time.Millisecond

// AwaitIdle waits until no call is under way. It returns false if ctx ends before that.
func (d *Runner) AwaitIdle(ctx context.Context) bool {
	for d.calls.underWay.Load() > 0 {
		if ctx.Err() != nil {
			return false
		}
		pause.For(ctx, idleCheck)
	}
	return true
}

// Run does the duties until ctx ends. Each has a loop of its own, so that a slow call of one
// holds up no other.
func (d *Runner) Run(ctx context.Context) {
	var wg conc.WaitGroup
	if d.Reporter != nil {
		wg.Go(func() { d.every(ctx, d.Reporter.step) })
	}
	if d.Scaler != nil {
		wg.Go(func() { d.every(ctx, d.Scaler.step) })
	}
	wg.Wait()
}

// every steps a duty while the lease is held.
func (d *Runner) every(ctx context.Context, step func(context.Context)) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if _, ok := d.Lease.Holding(); ok {
				step(ctx)
			}
		}
	}
}

// state is what the duties hand on with the lease.
type state struct {
	Metering *metering.Ledger                `json:"metering,omitempty"`
	Books    map[string]autoscale.HallCounts `json:"books,omitempty"`
}

// State is what the next holder of the lease goes on from.
func (d *Runner) State() []byte {
	var s state
	if d.Reporter != nil {
		s.Metering = d.Reporter.Ledger()
	}
	if d.Scaler != nil {
		s.Books = d.Scaler.Ordered()
	}
	// Plain structs always encode.
	data, _ := json.Marshal(s)
	return data
}

// Restore goes on from what the holder before has left.
func (d *Runner) Restore(data []byte) {
	var s state
	if len(data) > 0 {
		if err := json.Unmarshal(data, &s); err != nil {
			_ = level.Error(d.Logger).Log("msg", "state of the duties not read", "err", err, "bytes", len(data), "outcome", "begun anew")
			s = state{}
		}
	}
	if d.Reporter != nil {
		d.Reporter.take(s.Metering)
	}
	if d.Scaler != nil {
		d.Scaler.take(s.Books)
	}
}

// guarded is a value that several goroutines use.
type guarded[T any] struct {
	mu sync.Mutex
	v  T
}

func (g *guarded[T]) with(f func(*T)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.v)
}
