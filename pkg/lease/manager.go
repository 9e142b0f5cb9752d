package lease

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
)

// Deps are what a Manager is built on.
type Deps struct {
	Box         string
	Incarnation uint64
	Timing      Timing
	Store       Store
	Port        *datagram.Port
	// Peers are the addresses of the other boxes, Rank is this box's place in the order in
	// which boxes take the lease, on which those that know the same others agree.
	Peers func() []*net.UDPAddr
	Rank  func() int
	// NoPeers tells that this box knows no other: the others may not be there yet.
	NoPeers func() bool
	// State is what the duties hand on. It is asked before each renewal.
	State func() []byte
	// OnAcquired is told of each taking, with the state of the holder before. It runs before
	// the lease is used.
	OnAcquired func(state []byte)
	// Announcement is what this box tells the others with each renewal, OnAnnouncement takes it in from the
	// holder.
	Announcement   func() []byte
	OnAnnouncement func(told []byte, received time.Time)
	// OnHolderChange is told of a new holder that this box hears of.
	OnHolderChange func(box string)
	Logger         log.Logger
}

// Holding is a lease that this box holds.
type Holding struct {
	Fence uint64
	// Until is how long this box may act on it. A call must have ended by then.
	Until time.Time
}

// Status is what is known of the lease, for operators.
type Status struct {
	Holder       string
	Fence        uint64
	Held         bool
	RecordAge    time.Duration
	Acquisitions int
	Renewals     int
	Failures     int
}

// Manager takes and keeps the lease for one box. One goroutine steps it; others ask.
type Manager struct {
	Deps
	wake chan struct{}

	mu      sync.Mutex
	elector *Elector
	// wanted numbers the states that were asked to be saved, saved is the last one that the
	// store has.
	wanted uint64
	saved  uint64
	// stopped is set once this box is about to end.
	stopped bool
	status  Status
	// retryAt is when to call again after a call that failed, retries how many did in a row.
	retryAt time.Time
	retries int
}

const (
	// rankDelay is added for each place in the order before another box takes the lease, so
	// that those before it come first and are heard. A taking is told within milliseconds
	// where the store is calm.
	rankDelay = 250 * time.Millisecond
	// aloneDelay is that of a box that knows no other: where all start at once, they see each
	// other before.
	aloneDelay = 2 * time.Second
	// rankMost bounds the delay: it also holds for a box that knows no order yet.
	rankMost = 64
	// callMost bounds a call to the store. A calm one answers within some milliseconds.
	callMost = 700 * time.Millisecond
	// retryLeast and retryMost are the pauses after a call that failed; each further one in
	// a row doubles it for a box that does not hold the lease.
	retryLeast = 150 * time.Millisecond
	retryMost  = 4 * time.Second
)

// NewManager returns a keeper that hears the port's messages from now on.
func NewManager(d Deps) *Manager {
	k := &Manager{Deps: d, wake: make(chan struct{}, 1), elector: NewElector(d.Box, d.Incarnation, d.Timing, clock.NowExact())}
	d.Port.Handle(kind, k.hear)
	return k
}

// Holding returns the lease if this box holds it now. It is asked before each call.
func (k *Manager) Holding() (Holding, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fence, until, ok := k.elector.Holding(clock.NowExact())
	return Holding{Fence: fence, Until: until}, ok && !k.stopped
}

// Holder names the box that is known to hold the lease, "" if none is.
func (k *Manager) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.elector.Latest().Holder
}

// Status tells what is known of the lease.
func (k *Manager) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.NowExact()
	s := k.status
	seen := k.elector.Latest()
	fence, _, mine := k.elector.Holding(now)
	s.Holder, s.Fence, s.Held = seen.Holder, seen.Fence, mine
	if mine {
		s.Fence = fence
	}
	s.RecordAge = now.Sub(k.elector.seenAt)
	return s
}

// RequestSave has the state written soon. It returns a number that LastSaved reaches once a state
// that was asked for after this call is in the store.
func (k *Manager) RequestSave() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wanted++
	k.Wake()
	return k.wanted
}

// LastSaved tells up to which number states are in the store.
func (k *Manager) LastSaved() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.saved
}

// Wake has the keeper look again what is due, as when the order of the boxes has changed.
func (k *Manager) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run keeps the lease until ctx ends.
func (k *Manager) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-k.wake:
		}
		timer.Reset(clock.Until(k.step(ctx)))
	}
}

// step does what is due. It returns when to step again.
func (k *Manager) step(ctx context.Context) time.Time {
	now := clock.NowExact()
	k.mu.Lock()
	step, due := k.elector.Next(k.delay(), now)
	_, _, holding := k.elector.Holding(now)
	if step == StepWait && holding && k.wanted > k.saved {
		step, due = StepRenew, now
	}
	if k.stopped {
		step, due = StepWait, now.Add(k.Timing.TakeoverDelay)
	}
	if step != StepWait && now.Before(k.retryAt) {
		step, due = StepWait, k.retryAt
	}
	k.mu.Unlock()
	switch step {
	case StepRead:
		k.ended(k.read(ctx), holding)
	case StepAcquire:
		k.ended(k.take(ctx), holding)
	case StepRenew:
		k.ended(k.renew(ctx), holding)
	default:
		return due
	}
	return clock.NowExact()
}

func (k *Manager) delay() time.Duration {
	if k.NoPeers() {
		return aloneDelay
	}
	return rankDelay * time.Duration(min(k.Rank(), rankMost))
}

// ended notes how a call went.
func (k *Manager) ended(err error, holding bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil || errors.Is(err, errReread) {
		k.retries, k.retryAt = 0, time.Time{}
		return
	}
	k.status.Failures++
	pause := retryLeast
	if !holding {
		pause = min(retryLeast<<min(k.retries, 8), retryMost)
	}
	k.retries++
	k.retryAt = clock.NowExact().Add(pause)
}

func (k *Manager) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()
	s, err := k.Store.Read(ctx)
	if err != nil {
		_ = level.Info(k.Logger).Log("msg", "lease not read", "err", err, "outcome", "read again")
		return err
	}
	k.mu.Lock()
	newer := s.Revision > k.elector.Latest().Revision
	k.elector.ObserveRead(s, clock.NowExact())
	k.mu.Unlock()
	if newer {
		k.tell(s)
	}
	return nil
}

func (k *Manager) take(ctx context.Context) error {
	k.mu.Lock()
	r, before := k.elector.AcquireRecord(), k.elector.Latest()
	k.mu.Unlock()
	sent := clock.NowExact()
	s, err := k.write(ctx, r, before.Revision)
	if err != nil {
		return err
	}
	k.OnAcquired(before.State)
	k.mu.Lock()
	k.elector.Acquired(s, sent, clock.NowExact())
	k.status.Acquisitions++
	k.mu.Unlock()
	_ = level.Info(k.Logger).Log("msg", "lease taken", "fence", s.Revision, "before", before.Holder, "before_revision", before.Revision, "after", clock.Since(sent))
	k.tell(s)
	return nil
}

func (k *Manager) renew(ctx context.Context) error {
	k.mu.Lock()
	wanted := k.wanted
	k.mu.Unlock()
	state := k.State()
	k.mu.Lock()
	r, revision := k.elector.RenewRecord(state), k.elector.Latest().Revision
	k.mu.Unlock()
	sent := clock.NowExact()
	s, err := k.write(ctx, r, revision)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.elector.Renewed(s, sent, clock.NowExact())
	k.saved = max(k.saved, wanted)
	k.status.Renewals++
	k.mu.Unlock()
	k.tell(s)
	return nil
}

// write writes a record. Where another one was written meanwhile, it reads that.
func (k *Manager) write(ctx context.Context, r Record, revision uint64) (VersionedRecord, error) {
	sending, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()
	s, err := k.Store.Write(sending, r, revision)
	if err == nil {
		return s, nil
	}
	_ = level.Info(k.Logger).Log("msg", "lease not written", "holder", r.Holder, "revision", revision, "err", err, "outcome", "read again")
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return s, k.reread(ctx, err)
	}
	return s, err
}

// reread reads what is there in place of what was seen. It returns the error of the write
// unless that is known now.
func (k *Manager) reread(ctx context.Context, cause error) error {
	if err := k.read(ctx); err != nil {
		return errors.Join(cause, err)
	}
	return errReread
}

// errReread ends a step whose write was refused, once the record has been read.
var errReread = errors.New("another record was there: it was read")

// Stop ends this box's holding, so that no call begins any more. The lease itself lapses,
// unless Release follows. It returns whether the box held it.
func (k *Manager) Stop() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, _, holding := k.elector.Holding(clock.NowExact())
	k.stopped = true
	return holding
}

// handOverTries is how often the handing over is written: a renewal that was under way may
// have changed the record.
const handOverTries = 2

// Release gives the lease up after Stop, so that another box takes it at once. No call may be
// under way any more: it would arrive after those of the next holder.
func (k *Manager) Release(ctx context.Context) {
	state := k.State()
	err := errReread
	for try := 0; try < handOverTries && errors.Is(err, errReread); try++ {
		k.mu.Lock()
		mine := k.elector.mine()
		r, revision := k.elector.ReleaseRecord(state), k.elector.Latest().Revision
		k.elector.Released(clock.NowExact())
		k.mu.Unlock()
		if !mine {
			return
		}
		var s VersionedRecord
		if s, err = k.write(ctx, r, revision); err == nil {
			k.tell(s)
		}
	}
	_ = level.Info(k.Logger).Log("msg", "lease handed over", "err", err)
}
