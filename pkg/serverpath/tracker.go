package serverpath

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// minBypassed is the number of servers that this box can't reach although others can, and
	// minUnreached the number of servers that it can't reach at all, from which on the box rather than
	// the servers is taken to be the cause.
	minBypassed  = 2
	minUnreached = 3
	// probeInterval is the minimum time between two direct connections to a server that can't be
	// reached directly, boxProbeInterval that between two of an isolated box to any servers.
	probeInterval    = 500 * time.Millisecond
	boxProbeInterval = 100 * time.Millisecond
	// boxCheckInterval is boxProbeInterval where each probe is checked by a response.
	boxCheckInterval = 250 * time.Millisecond
	// A server to which no other box could connect either is tried directly only, for minDownTime and
	// twice as long each further time, up to maxDownTime.
	minDownTime = time.Second
	maxDownTime = 8 * time.Second
	// pathCheckInterval is the minimum time between two checks of paths over which nothing arrives.
	pathCheckInterval = 100 * time.Millisecond
	// controlInterval is the minimum time between two checks of other paths than a bypassed one, controlTTL the time for
	// which one that was sound counts.
	controlInterval = 500 * time.Millisecond
	controlTTL      = 5 * time.Second
	// pathRetention is how long a failed path without further attempts is remembered.
	pathRetention = time.Minute
	// minHeadStart and maxHeadStart bound the time that a direct connection has before another way is
	// tried as well, headStartFactor is that time in multiples of the mean connect time.
	minHeadStart    = 40 * time.Millisecond
	maxHeadStart    = 150 * time.Millisecond
	headStartFactor = 8
	// connectWeight is the weight of the latest connect time in the mean.
	connectWeight = 0.1
)

// Failure is the manner in which a direct connection failed.
type Failure int

// Manners of failures.
const (
	// FailureSilent means that nothing answered.
	FailureSilent Failure = iota
	// FailureRefused means that the connection was refused or reset.
	FailureRefused
)

// String implements fmt.Stringer.
func (f Failure) String() string { return [...]string{"silent", "refused"}[f] }

// FailureOf returns the manner in which a dial failed.
func FailureOf(err error) Failure {
	var unanswered *CheckError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &unanswered) && !unanswered.Silent {
		return FailureRefused
	}
	return FailureSilent
}

// path is the state of the direct path to an address to which a connection has failed.
type path struct {
	failure Failure
	// unanswered is set if the connection was accepted, but carried no response.
	unanswered bool
	// unreachableUntil is the end of the time in which no connection is tried.
	unreachableUntil time.Time
	// triedAt is when the last connection that failed was begun. What a server sent since shows that the
	// box has its links.
	triedAt time.Time
	// relayed is set if another box has connected to the address since, serverDown if it could not
	// either.
	relayed    bool
	serverDown bool
	// downTime is how long other boxes are not asked again, downUntil the end of that.
	downTime  time.Duration
	downUntil time.Time
	nextProbe time.Time
}

// Tracker records which servers this box reaches by direct connections. Paths are identified by the
// address of the server.
type Tracker struct {
	logger   log.Logger
	onChange func(isolated bool)

	mu sync.Mutex
	// failed holds the paths on which the last direct connection failed.
	failed map[string]*path
	// doubts holds the paths on which a connection ended instead of a response since something last came over them,
	// with the time of that. doubtedAt is the latest one. Something on the way may accept connections to a server that
	// are never carried to it, so new connections over such paths are checked.
	doubts    map[string]time.Time
	doubtedAt time.Time
	// trusted holds the paths that are not checked until a time.
	trusted map[string]time.Time
	// connectedAt is when a direct connection was last opened, heardAt when one last carried data from
	// a server.
	connectedAt, heardAt time.Time
	// isolatedSince is when the box lost its links to the servers; zero while it has them.
	isolatedSince time.Time
	nextBoxProbe  time.Time
	nextCheck     time.Time
	nextControl   time.Time
	connectTime   time.Duration
	connected     int64
	failures      map[Failure]int64
	// checked and checkFailures count the checks of new connections and those that failed.
	checked, checkFailures int64
}

// NewTracker returns a tracker of a box that reaches all servers.
func NewTracker(logger log.Logger) *Tracker {
	return &Tracker{
		logger: logger, onChange: func(bool) {}, failed: make(map[string]*path), failures: make(map[Failure]int64),
		doubts: make(map[string]time.Time), trusted: make(map[string]time.Time),
	}
}

// OnChange sets a function that is called when the box becomes isolated or ceases to be. It must be set
// before the first connection.
func (t *Tracker) OnChange(f func(isolated bool)) { t.onChange = f }

// Plan tells how to open a connection to a server.
type Plan struct {
	// Direct is set if a direct connection is tried.
	Direct bool
	// RelayAfter is how long the direct connection has before another way is tried as well, unless
	// DirectOnly is set.
	RelayAfter time.Duration
	DirectOnly bool
	// Unreachable is set if no connection is tried, see UnreachableError.
	Unreachable bool
}

// Plan returns how to open a connection to an address now.
func (t *Tracker) Plan(address string, now time.Time) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.failed[address]
	if p != nil && now.Before(p.unreachableUntil) && !now.Before(t.trusted[address]) {
		return Plan{Unreachable: true}
	}
	if p != nil && now.Before(p.downUntil) {
		return Plan{Direct: true, DirectOnly: true}
	}
	isolated := t.isolated()
	if !isolated && (p == nil || !p.relayed) {
		plan := Plan{Direct: true, RelayAfter: t.headStart()}
		if t.checkModeOf(address, now) != NoCheck {
			plan.RelayAfter += maxCheckTime
		}
		return plan
	}
	return Plan{Direct: t.takeProbe(p, isolated, now)}
}

// takeRetry reports whether the direct path to an address that is reached only by way of other boxes is to
// be tried again now, and counts the attempt.
func (t *Tracker) takeRetry(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, isolated := t.failed[address], t.isolated()
	return (isolated || p != nil && p.relayed) && t.takeProbe(p, isolated, now)
}

// takeProbe reports whether a path that has failed is to be tried again now, and counts the attempt.
func (t *Tracker) takeProbe(p *path, isolated bool, now time.Time) bool {
	if p != nil && now.Before(p.nextProbe) || isolated && now.Before(t.nextBoxProbe) {
		return false
	}
	if p != nil {
		p.nextProbe = now.Add(probeInterval)
	}
	t.nextBoxProbe = now.Add(boxProbeInterval)
	if p != nil && p.unanswered {
		t.nextBoxProbe = now.Add(boxCheckInterval)
	}
	return true
}

func (t *Tracker) headStart() time.Duration {
	if t.connectTime == 0 {
		return maxHeadStart
	}
	return min(max(headStartFactor*t.connectTime, minHeadStart), maxHeadStart)
}

// RecordConnected records that a direct connection to an address was opened, and how long that took. checked is set if
// it has carried a response.
func (t *Tracker) RecordConnected(address string, took time.Duration, checked bool, now time.Time) {
	t.update(now, func() {
		t.connected++
		// While paths accept connections that lead nowhere, only a response shows that one leads to the server.
		shown := checked || !now.Before(t.trusted[address]) && !t.hasUnansweredPath()
		if shown && t.isolated() {
			// The links to the other servers are probably back as well.
			clear(t.failed)
			clear(t.doubts)
		}
		if shown {
			t.connectedAt = now
			delete(t.doubts, address)
		}
		if p := t.failed[address]; p != nil && (shown || !p.unanswered) {
			delete(t.failed, address)
		}
		if t.connectTime == 0 {
			t.connectTime = took
		}
		t.connectTime += time.Duration(connectWeight * float64(took-t.connectTime))
	})
}

// RecordFailed records that a direct connection to an address, begun at the given time, failed.
func (t *Tracker) RecordFailed(address string, f Failure, begun, now time.Time) {
	t.recordFailed(address, f, false, begun, now)
}

// RecordUnanswered records that a direct connection to an address, begun at the given time, was accepted and failed its
// check.
func (t *Tracker) RecordUnanswered(address string, f Failure, begun, now time.Time) {
	t.recordFailed(address, f, true, begun, now)
}

func (t *Tracker) recordFailed(address string, f Failure, unanswered bool, begun, now time.Time) {
	t.update(now, func() {
		t.failures[f]++
		p := t.failed[address]
		if p == nil {
			t.evictStale(now)
			p = &path{}
			t.failed[address] = p
		}
		p.failure, p.unanswered, p.triedAt = f, unanswered, begun
		if next := begun.Add(probeInterval); next.After(p.nextProbe) {
			p.nextProbe = next
		}
	})
}

// RecordRelayed records whether another box could connect to an address to which this box could not.
func (t *Tracker) RecordRelayed(address string, connected bool, now time.Time) {
	t.update(now, func() {
		p := t.failed[address]
		switch {
		case p == nil:
		case connected:
			p.relayed, p.serverDown, p.downTime, p.downUntil = true, false, 0, time.Time{}
		default:
			p.relayed, p.serverDown = false, true
			p.downTime = min(max(2*p.downTime, minDownTime), maxDownTime)
			p.downUntil = now.Add(p.downTime)
		}
	})
}

// RecordHeard records that a direct connection carried data from the server at an address.
func (t *Tracker) RecordHeard(address string, now time.Time) {
	t.mu.Lock()
	t.heardAt = now
	delete(t.doubts, address)
	delete(t.trusted, address)
	wasIsolated := !t.isolatedSince.IsZero()
	t.mu.Unlock()
	if wasIsolated {
		t.update(now, func() {})
	}
}

// takeCheck reports whether the path to an address is to be checked, as a request was sent and no server has sent
// anything since. It counts the check.
func (t *Tracker) takeCheck(address string, sent, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heardAt.After(sent) || t.failed[address] != nil || t.isolated() || now.Before(t.nextCheck) {
		return false
	}
	t.nextCheck = now.Add(pathCheckInterval)
	return true
}

// takeControl reports whether the path to another server is to be checked, as that to an address is bypassed and no server
// has sent anything since. It counts the check.
func (t *Tracker) takeControl(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.failed[address]
	if p == nil || !p.relayed || t.heardAt.After(p.triedAt) || t.isolated() || now.Before(t.nextControl) {
		return false
	}
	t.nextControl = now.Add(controlInterval)
	return true
}

// recordControl records that another path than a bypassed one is sound.
func (t *Tracker) recordControl(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextControl = now.Add(controlTTL)
}

// hasFailed reports whether the last direct connection to an address failed.
func (t *Tracker) hasFailed(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed[address] != nil
}

// isDown reports whether other boxes could not connect to an address lately either.
func (t *Tracker) isDown(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.failed[address]
	return p != nil && now.Before(p.downUntil)
}

// evictStale forgets the paths that were not tried within pathRetention.
func (t *Tracker) evictStale(now time.Time) {
	for address, p := range t.failed {
		if now.Sub(p.triedAt) > pathRetention {
			delete(t.failed, address)
		}
	}
}

// update changes the state and reports a change of isolation.
func (t *Tracker) update(now time.Time, change func()) {
	t.mu.Lock()
	change()
	before, isolated := !t.isolatedSince.IsZero(), t.isolated()
	switch {
	case isolated && !before:
		t.isolatedSince = now
		_ = level.Warn(t.logger).Log("msg", "no server reachable from this box", "servers", len(t.failed), "bypassed", t.bypassed(), "outcome", "connections lead through other boxes")
	case before && !isolated:
		_ = level.Info(t.logger).Log("msg", "servers reachable again", "after", now.Sub(t.isolatedSince))
		t.isolatedSince = time.Time{}
	}
	t.mu.Unlock()
	if isolated != before {
		t.onChange(isolated)
	}
}

// isolated reports whether the box itself has lost its links. Tracker.mu must be held.
func (t *Tracker) isolated() bool {
	bypassed, unreached := 0, 0
	for _, p := range t.failed {
		switch {
		case p.serverDown || p.triedAt.Before(t.connectedAt) || !p.unanswered && p.triedAt.Equal(t.connectedAt):
		case p.relayed && (p.failure == FailureRefused || p.triedAt.After(t.heardAt)):
			bypassed++
			unreached++
		case p.failure == FailureSilent && !p.unanswered && p.triedAt.After(t.heardAt):
			unreached++
		}
		if bypassed >= minBypassed || unreached >= minUnreached {
			return true
		}
	}
	return false
}

// bypassed returns the number of servers that only other boxes reach. Tracker.mu must be held.
func (t *Tracker) bypassed() (n int) {
	for _, p := range t.failed {
		if p.relayed {
			n++
		}
	}
	return n
}

// Isolated reports whether the box has lost its links to the servers.
func (t *Tracker) Isolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolated()
}

// Bypassed returns the number of servers that this box does not reach although other boxes do.
func (t *Tracker) Bypassed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bypassed()
}

// LinkFailed reports whether this box has lost its link to the server at an address, which other boxes reach.
func (t *Tracker) LinkFailed(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.failed[address]
	return p != nil && p.relayed || t.isolated()
}

// directFit reports whether an open direct connection to an address may carry a further exchange.
func (t *Tracker) directFit(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.failed[address]; p != nil && p.relayed {
		return p.failure == FailureRefused
	}
	return !t.isolated() || t.onlyRefused()
}

// onlyRefused reports whether all failed paths refuse new connections, so that open ones may still be usable.
func (t *Tracker) onlyRefused() bool {
	for _, p := range t.failed {
		if p.failure != FailureRefused {
			return false
		}
	}
	return true
}

// tunnelFit reports whether a tunnel to an address may carry a further exchange, as there is no direct
// path.
func (t *Tracker) tunnelFit(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.failed[address]
	return p != nil && p.relayed || t.isolated()
}

// Dials returns the number of direct connections by how they ended, since the start.
func (t *Tracker) Dials() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int64{"connected": t.connected, "checked": t.checked, "check failed": t.checkFailures}
	for _, f := range []Failure{FailureSilent, FailureRefused} {
		counts[f.String()] = t.failures[f]
	}
	return counts
}
