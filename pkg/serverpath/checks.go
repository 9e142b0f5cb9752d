package serverpath

import "time"

const (
	// doubtTTL is how long a doubt lasts without further evidence, trustTime how long a path is not checked whose
	// check failed by way of other boxes as well.
	doubtTTL  = 10 * time.Second
	trustTime = 2 * time.Second
	// checkBackoff is the minimum time between two checks of a path that no other box can replace, so that requests
	// which look for a server don't burden one that accepts connections late.
	checkBackoff = 150 * time.Millisecond
)

// RecordDoubt records that a connection to an address ended while a response was awaited, before its first byte.
func (t *Tracker) RecordDoubt(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, at := range t.doubts {
		if now.Sub(at) > doubtTTL {
			delete(t.doubts, a)
		}
	}
	t.doubts[address], t.doubtedAt = now, now
}

// CheckMode is how a new connection to a server is checked before it is used.
type CheckMode int

// Checks of new connections.
const (
	// NoCheck means that a connection counts as open once it is accepted.
	NoCheck CheckMode = iota
	// RejectEnded means that it does not count if it ends instead of carrying a response. A server may be slow, so one over
	// which nothing comes in time does.
	RejectEnded
	// RequireResponse means that it counts only if it has carried a response.
	RequireResponse
)

// CheckModeOf returns how a new connection to an address is checked.
func (t *Tracker) CheckModeOf(address string, now time.Time) CheckMode {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkModeOf(address, now)
}

func (t *Tracker) checkModeOf(address string, now time.Time) CheckMode {
	if t.respondsOnlyElsewhere(address) {
		return RequireResponse
	}
	if now.Before(t.trusted[address]) {
		return NoCheck
	}
	at, doubted := t.doubts[address]
	if doubted && now.Sub(at) < doubtTTL || t.doubtedAt.After(t.heardAt) && now.Sub(t.doubtedAt) < doubtTTL {
		return RejectEnded
	}
	return NoCheck
}

// respondsOnlyElsewhere reports whether other boxes reach the server at an address, while connections of this one are
// accepted and carry no response, or this box is isolated in that way. Tracker.mu must be held.
func (t *Tracker) respondsOnlyElsewhere(address string) bool {
	if p := t.failed[address]; p != nil && p.relayed && p.unanswered {
		return true
	}
	return t.isolated() && t.hasUnansweredPath()
}

// hasUnansweredPath reports whether there is a path over which connections were accepted and carried no response.
// Tracker.mu must be held.
func (t *Tracker) hasUnansweredPath() bool {
	for _, p := range t.failed {
		if p.unanswered {
			return true
		}
	}
	return false
}

// RecordCheck counts a check of a new connection.
func (t *Tracker) RecordCheck(answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checked++
	if !answered {
		t.checkFailures++
	}
}

// RecordUnreachable records that connections to an address ended in their check, directly and by way of other boxes. If other
// servers have sent something since, the path is not to blame: a server resets some connections when it has too many.
func (t *Tracker) RecordUnreachable(address string, now time.Time) {
	t.mu.Lock()
	p := t.failed[address]
	if p != nil {
		p.unreachableUntil = now.Add(checkBackoff)
	}
	trust := p != nil && t.heardAt.After(p.triedAt)
	t.mu.Unlock()
	if trust {
		t.Trust(address, now)
	}
}

// Trust makes connections to an address count without a check for a time.
func (t *Tracker) Trust(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, until := range t.trusted {
		if now.After(until) {
			delete(t.trusted, a)
		}
	}
	t.trusted[address] = now.Add(trustTime)
	delete(t.doubts, address)
}
