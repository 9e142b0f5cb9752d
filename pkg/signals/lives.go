package signals

import (
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/routing"
)

// lossRetention is how long after a lost connection a response may be that of a later life of the server, whose entry
// is not known yet.
const lossRetention = time.Minute

// losses maps each server incarnation to the time at which a connection to it was first lost within lossRetention.
type losses map[Key]time.Time

// before reports whether a connection was lost before a time.
func (l losses) before(key Key, at time.Time) bool {
	lost, ok := l[key]
	return ok && at.After(lost)
}

func (l losses) sweep(now time.Time) {
	maps.DeleteFunc(l, func(_ Key, at time.Time) bool { return now.Sub(at) > lossRetention })
}

// RecordLoss records that a connection to a server was lost or could not be opened: the server may have restarted.
func (t *Tracker) RecordLoss(server routing.Incarnation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	key := KeyOf(server)
	if at, known := t.losses[key]; len(t.losses) < maxServers && (!known || now.Sub(at) > lossRetention) {
		t.losses[key] = now
	}
}

// Succeed applies what a server signalled since a connection to it was lost to the incarnation that its new entry names,
// as that may have signalled it already. A later response ends what does not hold. It reports whether there was
// anything. Leaving is not applied: it would never end.
func (t *Tracker) Succeed(before, after routing.Incarnation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, to := KeyOf(before), KeyOf(after)
	last := t.backoffs[from]
	backedOff := now.Before(last.end) && t.losses.before(from, last.receivedAt)
	if backedOff && last.end.After(t.backoffs[to].end) {
		t.backoffs[to] = last
	}
	o := t.local[from]
	limited := (o.Limit.Set || o.Brittle.Set) && !o.Leaving && o.valid(now) && t.losses.before(from, o.ReceivedAt)
	if limited {
		t.local[to] = o.Merge(t.local[to])
		t.onChange()
	}
	if backedOff || limited {
		t.updateHasSignals()
		_ = level.Info(t.logger).Log("msg", "signals applied to the next life of a server", "server", after, "before", before,
			"retry_after", backedOff, "limit", limited && o.Limit.Set, "brittle", limited && o.Brittle.Set)
	}
	return backedOff || limited
}
