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
	"headhill.example/headhill/pkg/storerev"
)

// Deps are the dependencies of a Manager.
type Deps struct {
	Box         string
	Incarnation uint64
	Timing      Timing
	Store       Store
	Port        *datagram.Port
	// Peers returns the addresses of the other boxes. Rank returns the position of this box in the
	// order in which boxes acquire the lease; it is consistent among boxes that know the same
	// peers.
	Peers func() []*net.UDPAddr
	Rank  func() int
	// NoPeers reports whether this box knows no peers, as before discovery at startup.
	NoPeers func() bool
	// State returns the state of the duties, and whether it is up to date: that of a restored state is not until the duties have
	// found out what was lost. It is called before each renewal.
	State func() (state []byte, upToDate bool)
	// OnAcquired is called on each acquisition with the state of the previous holder, before the
	// lease is used. If restored is set, the state comes from an older copy of the store and was not
	// brought up to date since, so that a later holder and its state may have been lost.
	OnAcquired func(state []byte, restored bool)
	// Announcement returns the payload that the holder announces with each renewal, OnAnnouncement
	// receives it on the other boxes.
	Announcement   func() []byte
	OnAnnouncement func(payload []byte, received time.Time)
	// Progress tells how far this box has got with the duties, in their own terms. It is announced
	// with each renewal; OnProgress receives it on the other boxes.
	Progress   func() uint64
	OnProgress func(progress uint64)
	// OnHolderChange is called when another box announces a new holder.
	OnHolderChange func(box string)
	Logger         log.Logger
}

// Holding describes a lease held by this box.
type Holding struct {
	Fence uint64
	// Until is when the lease ends. Calls must have returned by then.
	Until time.Time
}

// Status describes the lease as known to this box, for operators.
type Status struct {
	Holder       string
	Fence        uint64
	Held         bool
	RecordAge    time.Duration
	Acquisitions int
	Renewals     int
	Failures     int
}

// Manager acquires and renews the lease for one box. A single goroutine runs Run; all other
// methods are safe for concurrent use.
type Manager struct {
	Deps
	wake chan struct{}

	mu      sync.Mutex
	elector *Elector
	// saveRequested numbers the requests to save the state, lastSaved is the last one whose state
	// is stored.
	saveRequested uint64
	lastSaved     uint64
	// stopped is set once this box is shutting down.
	stopped bool
	status  Status
	// retryAt is when a failed store call is retried, failuresInRow counts consecutive failures.
	retryAt       time.Time
	failuresInRow int
}

const (
	// rankDelay is the takeover delay added per rank. It leaves the boxes of lower rank time to
	// acquire and announce the lease.
	rankDelay = 250 * time.Millisecond
	// noPeersDelay is the takeover delay of a box that knows no peers, so that boxes started
	// together discover each other first.
	noPeersDelay = 2 * time.Second
	// maxRank bounds the takeover delay, also for a box that is not ranked yet.
	maxRank = 64
	// storeTimeout bounds a store call.
	storeTimeout = 700 * time.Millisecond
	// minRetryDelay is the delay after a failed store call. For boxes that do not hold the lease it
	// doubles with each consecutive failure, up to maxRetryDelay.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// NewManager returns a manager that handles lease announcements received on the port.
func NewManager(d Deps) *Manager {
	m := &Manager{Deps: d, wake: make(chan struct{}, 1), elector: NewElector(d.Box, d.Incarnation, d.Timing, clock.NowExact())}
	d.Port.Handle(datagramKind, m.handleAnnouncement)
	return m
}

// Holding returns the lease if this box holds it now. It must be called before each call that the
// lease protects.
func (m *Manager) Holding() (Holding, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fence, until, ok := m.elector.Holding(clock.NowExact())
	return Holding{Fence: fence, Until: until}, ok && !m.stopped
}

// Holder returns the box known to hold the lease, or "" if none does.
func (m *Manager) Holder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.elector.Latest().Holder
}

// Status returns the state of the lease as known to this box.
func (m *Manager) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.NowExact()
	s := m.status
	latest := m.elector.Latest()
	fence, _, holding := m.elector.Holding(now)
	s.Holder, s.Fence, s.Held = latest.Holder, latest.Fence, holding
	if holding {
		s.Fence = fence
	}
	s.RecordAge = now.Sub(m.elector.latestSince)
	return s
}

// RequestSave requests that the state be stored soon. It returns a number that LastSaved reaches
// once a state captured after this call is stored.
func (m *Manager) RequestSave() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.saveRequested++
	m.Wake()
	return m.saveRequested
}

// LastSaved returns the number of the last request whose state is stored.
func (m *Manager) LastSaved() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastSaved
}

// ObserveEra processes an era of the store that was seen in a response.
func (m *Manager) ObserveEra(era uint64) {
	m.mu.Lock()
	m.elector.ObserveEra(era, clock.NowExact())
	m.mu.Unlock()
	m.Wake()
}

// Wake makes the manager reconsider its next step, for example after the ranks have changed.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Run acquires and renews the lease until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.wake:
		}
		timer.Reset(clock.Until(m.step(ctx)))
	}
}

// step performs the next step. It returns when to call it again.
func (m *Manager) step(ctx context.Context) time.Time {
	now := clock.NowExact()
	m.mu.Lock()
	step, due := m.elector.Next(m.acquireDelay(), now)
	_, _, holding := m.elector.Holding(now)
	if step == StepWait && holding && m.saveRequested > m.lastSaved {
		step, due = StepRenew, now
	}
	if m.stopped {
		step, due = StepWait, now.Add(m.Timing.TakeoverDelay)
	}
	if step != StepWait && now.Before(m.retryAt) {
		step, due = StepWait, m.retryAt
	}
	m.mu.Unlock()
	switch step {
	case StepRead:
		m.recordResult(m.read(ctx), holding)
	case StepAcquire:
		m.recordResult(m.acquire(ctx), holding)
	case StepRenew:
		m.recordResult(m.renew(ctx), holding)
	default:
		return due
	}
	return clock.NowExact()
}

func (m *Manager) acquireDelay() time.Duration {
	if m.NoPeers() {
		return noPeersDelay
	}
	return rankDelay * time.Duration(min(m.Rank(), maxRank))
}

// recordResult schedules a retry after a failed store call.
func (m *Manager) recordResult(err error, holding bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || errors.Is(err, errConflictResolved) {
		m.failuresInRow, m.retryAt = 0, time.Time{}
		return
	}
	m.status.Failures++
	delay := minRetryDelay
	if !holding {
		delay = min(minRetryDelay<<min(m.failuresInRow, 8), maxRetryDelay)
	}
	m.failuresInRow++
	m.retryAt = clock.NowExact().Add(delay)
}

func (m *Manager) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s, err := m.Store.Read(ctx)
	if err != nil {
		_ = level.Info(m.Logger).Log("msg", "could not read lease record", "err", err, "outcome", "retrying")
		return err
	}
	m.mu.Lock()
	newer := s.Revision > m.elector.Latest().Revision
	m.elector.ObserveRead(s, clock.NowExact())
	m.mu.Unlock()
	if newer {
		m.announce(s)
	}
	return nil
}

func (m *Manager) acquire(ctx context.Context) error {
	m.mu.Lock()
	r, previous := m.elector.AcquireRecord(), m.elector.Latest()
	m.mu.Unlock()
	sent := clock.NowExact()
	s, err := m.write(ctx, r, previous.Revision)
	if err != nil {
		return err
	}
	m.OnAcquired(previous.State, s.stateRestored())
	m.mu.Lock()
	m.elector.Acquired(s, sent, clock.NowExact())
	m.status.Acquisitions++
	m.mu.Unlock()
	_ = level.Info(m.Logger).Log("msg", "lease acquired", "fence", s.Revision, "before", previous.Holder, "before_revision", previous.Revision, "restored", previous.restored(), "state_era", s.StateEra, "state_restored", s.stateRestored(), "after", clock.Since(sent))
	m.announce(s)
	return nil
}

func (m *Manager) renew(ctx context.Context) error {
	m.mu.Lock()
	requested := m.saveRequested
	m.mu.Unlock()
	state, upToDate := m.State()
	m.mu.Lock()
	r, revision := m.elector.RenewRecord(state, upToDate), m.elector.Latest().Revision
	m.mu.Unlock()
	sent := clock.NowExact()
	s, err := m.write(ctx, r, revision)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.elector.Renewed(s, sent, clock.NowExact())
	m.lastSaved = max(m.lastSaved, requested)
	m.status.Renewals++
	m.mu.Unlock()
	m.announce(s)
	return nil
}

// write writes a record. After a conflict, it reads the current one.
func (m *Manager) write(ctx context.Context, r Record, revision storerev.Revision) (VersionedRecord, error) {
	writeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s, err := m.Store.Write(writeCtx, r, revision)
	if err == nil {
		return s, nil
	}
	_ = level.Info(m.Logger).Log("msg", "could not write lease record", "holder", r.Holder, "revision", revision, "err", err, "outcome", "retrying")
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return s, m.reread(ctx, err)
	}
	return s, err
}

// reread reads the record that caused a conflict. It returns errConflictResolved if that succeeds.
func (m *Manager) reread(ctx context.Context, cause error) error {
	if err := m.read(ctx); err != nil {
		return errors.Join(cause, err)
	}
	return errConflictResolved
}

// errConflictResolved ends a step whose write conflicted, once the current record has been read.
var errConflictResolved = errors.New("another box changed the lease record: it was read again")

// Stop ends the use of the lease by this box, so that no new calls start. The lease expires unless
// Release follows. It reports whether the box held the lease.
func (m *Manager) Stop() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, _, holding := m.elector.Holding(clock.NowExact())
	m.stopped = true
	return holding
}

// releaseAttempts allows for a renewal in flight that changes the record during the first attempt.
const releaseAttempts = 2

// Release releases the lease after Stop, so that another box can acquire it at once. No calls may
// be in flight, as they would arrive after those of the next holder.
func (m *Manager) Release(ctx context.Context) {
	state, upToDate := m.State()
	err := errConflictResolved
	for attempt := 0; attempt < releaseAttempts && errors.Is(err, errConflictResolved); attempt++ {
		m.mu.Lock()
		ownsLatest := m.elector.ownsLatest()
		r, revision := m.elector.ReleaseRecord(state, upToDate), m.elector.Latest().Revision
		m.elector.Released(clock.NowExact())
		m.mu.Unlock()
		if !ownsLatest {
			return
		}
		var s VersionedRecord
		if s, err = m.write(ctx, r, revision); err == nil {
			m.announce(s)
		}
	}
	_ = level.Info(m.Logger).Log("msg", "lease released", "err", err)
}
