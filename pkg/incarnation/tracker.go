package incarnation

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/routing"
)

const (
	// burstWindow is the time within which all connections of a process break when it ends.
	burstWindow = 150 * time.Millisecond
	// burstLosses is the number of connections, of all boxes, that break at once when a process ends. Single ones
	// break for other reasons as well.
	burstLosses = 3
	// massLoss is the number of servers from which on the box itself has lost connections, and not the servers.
	massLoss = 3
	// noticeDelay is how much later than the restart a box may notice it. Connections that were opened that long before
	// may lead to the new process.
	noticeDelay = 300 * time.Millisecond
	// sameBreak is how long before the break of a connection another one may have broken by the same end of a process.
	sameBreak = 150 * time.Millisecond
	// aliveDelay is how much later than a loss a process must have run to show that it has not ended.
	aliveDelay = 50 * time.Millisecond
	// entryDelay is the time after a restart from which on a changed entry was written by the new process.
	entryDelay = time.Second
	// confirmDelay is the time after a restart from which on the list has the entry of the new process, or none: that of
	// the old one expires, and an outage of the source up to directory.MinOutage goes unnoticed.
	confirmDelay = 4500 * time.Millisecond
	// recoveryDelay is the time after a restart, or after an outage of the source, within which servers write their entries.
	recoveryDelay = 2 * time.Second
	// entryLateness is how long after a restart the list may still have the entry of the process before.
	entryLateness = confirmDelay
	// unstableTime is how long a server that has restarted counts as one that may restart again.
	unstableTime = 30 * time.Second
	// retention is how long resolved restarts are kept, for connections that were opened before, and maxResolved how many of
	// a server.
	retention   = time.Hour
	maxResolved = 8
	// sweepInterval is how often restarts are resolved of servers that are not used.
	sweepInterval = 10 * time.Second
)

// Entry is the entry of a server in the list.
type Entry struct {
	Incarnation routing.Incarnation
	Version     string
	// ListedAt is when this box learned of the incarnation, zero if it came with a list that may be outdated.
	ListedAt time.Time
	// RestartedAt is when this box learned that the server had restarted under its ID, zero if it has not.
	RestartedAt time.Time
}

// List is the list of servers as the tracker sees it.
type List interface {
	// ServerEntry returns the entry of a server. It returns false if it has none.
	ServerEntry(id string) (Entry, bool)
	// ServersConfirmed returns when the source last confirmed the list, and when it last recovered from an outage.
	ServersConfirmed() (confirmed, recovered time.Time)
}

// Deps are the dependencies of a Tracker.
type Deps struct {
	List List
	// Started is when this box started. It does not know of an outage of the source before.
	Started time.Time
	// Alive reports whether the process of a server ran after a time, to which a connection leads that was opened before another:
	// whether it answered a request that was sent since.
	Alive func(server routing.Incarnation, openedBefore, ranAfter time.Time) bool
	// Lifetime returns a time during which one process of a server ran, that to which a connection led which was opened at a time,
	// as far as connections prove. It returns false if they prove nothing.
	Lifetime func(server routing.Incarnation, opened time.Time) (from, until time.Time, ok bool)
	// LinkFailed reports whether this box has lost its link to a server, so that broken connections tell nothing of the
	// server.
	LinkFailed func(address string) bool
	// Query has a server queried when its process started, see RecordReport, and reports whether an answer may come; nil if
	// servers can't be queried. It must not block.
	Query func(*routing.Server) bool
	// Later calls a function after a time; nil for a timer.
	Later func(after time.Duration, call func(now time.Time))
	// Announce informs other boxes. It must not block.
	Announce func(Restart)
	Logger   log.Logger
}

// Restart is a possible restart of a server.
type Restart struct {
	Server string
	// At is when it was noticed.
	At time.Time
	// Opened is when the connection was opened that broke; zero for none.
	Opened time.Time
	// Certain is set if a process has ended, and not just a connection. Idle is set if the connection was not in use.
	Certain, Idle bool
}

// Tracker holds the servers that may have restarted.
type Tracker struct {
	Deps
	// pending is the number of restarts that are not resolved, so that requests don't take the lock in vain.
	pending atomic.Int64
	// noticed is set once there was a restart.
	noticed atomic.Bool

	mu sync.Mutex
	// restarts holds the servers that may have restarted and whose entries were not confirmed since, by ID.
	restarts map[string]*restart
	// resolved holds the resolved restarts of each server, the latest last.
	resolved map[string][]resolution
	// bursts holds the connections to each server that broke lately.
	bursts map[string]*burst
	// lost holds the servers to which this box has lost connections since lostSince, lostInUse those of connections in use.
	lost, lostInUse map[string]bool
	lostSince       time.Time
	// sweptAt is when all restarts were last resolved.
	sweptAt time.Time
	// settled is a time up to which each restart is in the list.
	settled time.Time
	// stated holds what processes stated, by the ID of the server and when they started.
	stated map[string]map[int64]*statement
}

// restart is a possible restart of a server, or a series of them.
type restart struct {
	first, last time.Time
	// loss is when this box lost its last connection since, from which no restart need follow.
	loss time.Time
	// certain is as in Restart. proved is set if this box knows that a process has ended, which its connections don't refute.
	certain, proved bool
	// ownOnly is set while only this box has noticed it, address is that at which it did.
	ownOnly bool
	address string
	// asked is set once queries of the server are due, see askLater.
	asked bool
	// process and version are those of the entry when the restart was noticed.
	process routing.Incarnation
	version string
}

// burst is a number of connections that broke at about the same time: of this box, and of others by their names.
type burst struct {
	began  time.Time
	own    int
	others map[string]bool
}

func (b *burst) count() int { return b.own + len(b.others) }

// add counts a connection of a box, "" for this one.
func (b *burst) add(source string) {
	if source == "" {
		b.own++
		return
	}
	b.others[source] = true
}

// resolution is what the list said of a server after a possible restart.
type resolution struct {
	first, last time.Time
	// before is the version of the entry before, after the one since, which describes process; listed is unset if the server has no
	// entry since.
	before, after string
	process       routing.Incarnation
	listed        bool
	at            time.Time
}

// unchanged reports whether the server restarted once at most, and has the version that it had before.
func (r *resolution) unchanged() bool {
	return r.before == r.after && r.last.Sub(r.first) <= burstWindow
}

// New returns a tracker that knows of no restarts.
func New(d Deps) *Tracker {
	if d.Later == nil {
		d.Later = func(after time.Duration, call func(now time.Time)) {
			time.AfterFunc(after, func() { call(clock.Now()) })
		}
	}
	return &Tracker{Deps: d, restarts: make(map[string]*restart), resolved: make(map[string][]resolution), bursts: make(map[string]*burst), lost: make(map[string]bool), lostInUse: make(map[string]bool), stated: make(map[string]map[int64]*statement)}
}

// Count returns the number of servers that may have restarted.
func (t *Tracker) Count() int64 { return t.pending.Load() }

// RecordLost records that a connection to a server broke while a response was awaited. last is set if the box has no
// other one in use.
func (t *Tracker) RecordLost(c Connection, last bool) {
	t.record(loss{Restart: Restart{Server: c.Server.ID, At: c.Broken, Opened: c.Opened}, server: c.Server, last: last})
}

// RecordIdleClosed records that a server closed an idle connection. With announce, other boxes are informed before the server has answered a
// query.
func (t *Tracker) RecordIdleClosed(c Connection, announce bool) {
	t.record(loss{Restart: Restart{Server: c.Server.ID, At: c.Broken, Opened: c.Opened, Idle: true}, server: c.Server, unannounced: !announce})
}

// RecordEnded records that the process of a server has ended.
func (t *Tracker) RecordEnded(server *routing.Server, at time.Time) {
	t.record(loss{Restart: Restart{Server: server.ID, At: at, Certain: true}, server: server})
}

// RecordRestoredEntry records that a restored source has the entry of an earlier incarnation of a server.
func (t *Tracker) RecordRestoredEntry(id string, at time.Time) {
	t.record(loss{Restart: Restart{Server: id, At: at, Certain: true}, source: "store"})
}

// RecordRemote records a restart that another box has noticed.
func (t *Tracker) RecordRemote(box string, r Restart) { t.record(loss{Restart: r, source: box}) }

// loss is a notice of a possible restart.
type loss struct {
	Restart
	// source is the box that noticed it, "" for this one.
	source string
	// server is the server as this box lists it, nil if another one noticed it.
	server *routing.Server
	// unannounced is set if other boxes are not to be told of a sign.
	unannounced bool
	// last is set if the box has no other connection in use.
	last bool
	// from is since when the server may have restarted, zero for about the time of the notice.
	from time.Time
}

func (t *Tracker) record(l loss) {
	t.mu.Lock()
	t.sweep(l.At)
	b := t.burstOf(l)
	first := b.count() == 0
	many := t.lostMany(l)
	if !l.Idle {
		b.add(l.source)
	}
	connections := b.count()
	ended := l.Certain || !many && (connections >= burstLosses || b.own > 1 && l.last)
	news := false
	began := b.began
	if !l.from.IsZero() {
		began = earlier(began, l.from)
	}
	if ended || l.last || l.Idle {
		news = t.add(l, began, ended)
	}
	ask := !ended && t.startAsking(l)
	t.mu.Unlock()
	if news {
		_ = level.Info(t.Logger).Log("msg", "server may have restarted", "server", l.Server, "reported_by", l.source, "certain", ended, "connections", connections, "outcome", "its entry is not relied on until it is confirmed")
	}
	if ask {
		t.askLater(*l.server, l.At, firstAsk)
	}
	if l.source == "" && (l.Certain || !many) && !l.unannounced && (first && !l.Idle || news) {
		t.Announce(Restart{Server: l.Server, At: l.At, Opened: l.Opened, Certain: ended, Idle: l.Idle})
	}
}

// sweep resolves what the list has confirmed since, of servers that nobody asks for any more. The caller holds mu.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	t.sweepStatements(now)
	for id := range maps.Clone(t.restarts) {
		t.unresolved(id, now)
	}
}

// burstOf returns the connections to a server that broke at about the time of a loss. One that was opened after
// others broke did not break by the same end of a process. The caller holds mu.
func (t *Tracker) burstOf(l loss) *burst {
	b := t.bursts[l.Server]
	if b == nil || l.At.Sub(b.began).Abs() > burstWindow || l.Opened.After(b.began) {
		maps.DeleteFunc(t.bursts, func(_ string, b *burst) bool { return l.At.Sub(b.began) > burstWindow })
		b = &burst{began: l.At, others: make(map[string]bool)}
		t.bursts[l.Server] = b
	}
	return b
}

// add adds a possible restart, and reports whether it is not known yet. The caller holds mu.
func (t *Tracker) add(l loss, began time.Time, ended bool) (news bool) {
	s := t.unresolved(l.Server, l.At)
	if s == nil {
		entry, _ := t.List.ServerEntry(l.Server)
		s = &restart{first: began, last: l.At, ownOnly: true, process: entry.Incarnation, version: entry.Version}
		t.restarts[l.Server] = s
		t.pending.Add(1)
		t.noticed.Store(true)
		news = true
	}
	if l.source == "" {
		s.address = l.server.Address
	}
	s.ownOnly = s.ownOnly && l.source == ""
	s.proved = s.proved || l.Certain && l.source == ""
	switch {
	case ended:
		news = news || !s.certain || l.At.Sub(s.last) > burstWindow
		s.first, s.last, s.certain = earlier(s.first, began), later(s.last, l.At), true
		if !s.loss.After(s.last) {
			s.loss = time.Time{}
		}
	case l.At.Sub(t.lastOf(l.Server, s)) > burstWindow:
		news = true
		s.last = t.lastOf(l.Server, s)
		s.loss = l.At
	}
	return news
}

// lastOf returns the time of the latest possible restart. The caller holds mu.
func (t *Tracker) lastOf(id string, s *restart) time.Time {
	if s.loss.IsZero() || t.ranAt(id, s.loss, s.loss) {
		return s.last
	}
	return s.loss
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lostMany reports whether this box has lost connections to many servers at once. Idle ones, which may have been lost long before they
// are found, say nothing of those in use. The caller holds mu.
func (t *Tracker) lostMany(l loss) bool {
	if l.source != "" {
		return false
	}
	if l.At.Sub(t.lostSince) > burstWindow {
		clear(t.lost)
		clear(t.lostInUse)
		t.lostSince = l.At
	}
	t.lost[l.Server] = true
	if l.Idle {
		return len(t.lost) >= massLoss
	}
	t.lostInUse[l.Server] = true
	return len(t.lostInUse) >= massLoss
}

// refuted reports whether the process of a server has been running since before its possible restart, or whether
// the loss of this box's link explains what was noticed: it explains broken connections of this box, and nothing that others found or
// that proves the end of the process. The caller holds mu.
func (t *Tracker) refuted(id string, s *restart) bool {
	last := t.lastOf(id, s)
	if entry, listed := t.List.ServerEntry(id); listed && t.denied(entry) {
		return false
	}
	if s.ownOnly && !s.proved && s.address != "" && t.LinkFailed(s.address) {
		return true
	}
	return t.ranSince(s.process, last.Add(aliveDelay)) || !s.proved && t.ranAt(id, s.first, last)
}

// ranAt reports whether one process of a server has been running from before a time until after another. The caller
// holds mu.
func (t *Tracker) ranAt(id string, from, to time.Time) bool {
	entry, ok := t.List.ServerEntry(id)
	return ok && t.Alive(entry.Incarnation, from.Add(-noticeDelay), to.Add(aliveDelay))
}

// remove removes a restart. The caller holds mu.
func (t *Tracker) remove(id string) {
	delete(t.restarts, id)
	t.pending.Add(-1)
}

// Connection is a connection to a server.
type Connection struct {
	Server *routing.Server
	Opened time.Time
	// Broken is when the connection broke; zero while it is open.
	Broken time.Time
}

// concerns reports whether a connection may have been opened after a restart. One that breaks at the time of a
// restart led to the process that ended.
func (c Connection) concerns(restart time.Time) bool {
	if !c.Opened.Before(restart) {
		return true
	}
	sameEnd := !c.Broken.IsZero() && restart.After(c.Broken.Add(-sameBreak))
	return !sameEnd && !c.Opened.Before(restart.Add(-noticeDelay))
}

// Version returns the version of the software of the server's process to which a connection leads. It returns false if
// that can't be told. A single connection that broke is no reason to doubt the entry.
func (t *Tracker) Version(c Connection, now time.Time) (string, bool) {
	if !t.noticed.Load() {
		return c.Server.Version, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if version, told, ok := t.statedVersion(c); told {
		return version, ok
	}
	if s := t.unresolved(c.Server.ID, now); s != nil && (s.certain || t.replaced(c.Server)) && c.concerns(s.first) {
		return c.Server.Version, false
	}
	for _, r := range slices.Backward(t.resolved[c.Server.ID]) {
		switch {
		case !c.concerns(r.first):
		case r.listed && r.process == c.Server.Incarnation() && !c.Opened.Before(r.last):
			return c.Server.Version, true
		case len(t.stated[c.Server.ID]) > 0:
			return c.Server.Version, false
		case r.listed && !c.Opened.Before(r.last), r.listed && r.unchanged() && c.Server.Version == r.after:
			return r.after, true
		default:
			return c.Server.Version, false
		}
	}
	return c.Server.Version, true
}

// replaced reports whether the list has another incarnation of a server by now. The caller holds mu.
func (t *Tracker) replaced(server *routing.Server) bool {
	entry, listed := t.List.ServerEntry(server.ID)
	return listed && entry.Incarnation != server.Incarnation()
}

// Reliable reports whether the entry of a server may be relied on for a connection. If this box has lost a connection to it, if
// only an idle one, or had not started when others may have, the entry counts only once it is proved. So does that of a server
// that has restarted lately, as it may have again while nobody was connected. Nothing can be proved of a server whose entry does not
// state when it started, so that only a restart that was noticed counts.
func (t *Tracker) Reliable(c Connection, now time.Time) bool {
	if c.Server.Started == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, told, ok := t.statedVersion(c); told {
		return ok
	}
	entry, listed := t.List.ServerEntry(c.Server.ID)
	if !listed || entry.Incarnation != c.Server.Incarnation() || t.denied(entry) {
		return false
	}
	watched := !c.Opened.Before(t.Started.Add(unstableTime))
	stable := entry.RestartedAt.IsZero() || now.Sub(entry.RestartedAt) > unstableTime
	return watched && stable && t.unresolved(c.Server.ID, now) == nil || t.proved(c)
}

// Proved reports whether the list proves that a connection leads, or led, to the process that the entry of its server describes. Nothing
// can be proved of a server whose entry does not state when it started.
func (t *Tracker) Proved(c Connection) bool {
	if c.Server.Started == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.provedByList(c)
}

// proved reports whether a connection is proved to lead to the process that the entry of its server describes, which has not ended as far
// as is known. The caller holds mu.
func (t *Tracker) proved(c Connection) bool {
	entry, listed := t.List.ServerEntry(c.Server.ID)
	return listed && !t.denied(entry) && t.provedByList(c)
}

// provedByList reports whether a connection, or others that were open side by side, date from a time whose restarts are in the list. The
// caller holds mu.
func (t *Tracker) provedByList(c Connection) bool {
	entry, listed := t.List.ServerEntry(c.Server.ID)
	if !listed || entry.Incarnation != c.Server.Incarnation() || entry.Version != c.Server.Version {
		return false
	}
	settled := t.settledAt()
	if !c.Opened.After(settled) {
		return true
	}
	since, _, ok := t.Lifetime(c.Server.Incarnation(), c.Opened)
	return ok && !since.After(settled)
}

// settledAt returns a time up to which each restart is in the list. The source may have been out of reach before this box
// started. The caller holds mu.
func (t *Tracker) settledAt() time.Time {
	confirmed, recovered := t.List.ServersConfirmed()
	if !confirmed.Before(later(recovered, t.Started).Add(recoveryDelay)) {
		t.settled = later(t.settled, confirmed.Add(-entryLateness))
	}
	return t.settled
}

// MayHaveRestarted reports whether a server may have restarted since its entry was confirmed. With certainOnly, a single
// connection that broke does not count.
func (t *Tracker) MayHaveRestarted(server *routing.Server, certainOnly bool, now time.Time) bool {
	if t.pending.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.unresolved(server.ID, now)
	return s != nil && (s.certain || !certainOnly)
}

// unresolved returns the possible restart of a server, nil if there is none or the list was confirmed since. The caller
// holds mu.
func (t *Tracker) unresolved(id string, now time.Time) *restart {
	s, ok := t.restarts[id]
	if !ok {
		return nil
	}
	if t.refuted(id, s) {
		t.remove(id)
		_ = level.Info(t.Logger).Log("msg", "server has not restarted", "server", id, "after_ms", now.Sub(s.first).Milliseconds())
		return nil
	}
	entry, listed := t.List.ServerEntry(id)
	last := t.lastOf(id, s)
	if !t.confirmedSince(last, entry, listed) {
		return s
	}
	t.remove(id)
	maps.DeleteFunc(t.resolved, func(_ string, list []resolution) bool { return now.Sub(list[len(list)-1].at) > retention })
	if s.certain || entry.Version != s.version {
		list := append(t.resolved[id], resolution{first: s.first, last: last, before: s.version, after: entry.Version, process: entry.Incarnation, listed: listed, at: now})
		t.resolved[id] = slices.Clone(list[max(0, len(list)-maxResolved):])
	}
	_ = level.Info(t.Logger).Log("msg", "entry of server confirmed after possible restart", "server", id, "listed", listed, "version", entry.Version, "before", s.version, "after_ms", now.Sub(s.first).Milliseconds())
	return nil
}

// confirmedSince reports whether the entry of a server describes the process that runs since a restart.
func (t *Tracker) confirmedSince(restart time.Time, entry Entry, listed bool) bool {
	if listed && t.ranSince(entry.Incarnation, restart.Add(aliveDelay)) {
		return true
	}
	if listed && t.denied(entry) {
		return false
	}
	confirmed, recovered := t.List.ServersConfirmed()
	if listed && !entry.ListedAt.Before(restart.Add(entryDelay)) && (recovered.Before(restart) || !entry.ListedAt.Before(recovered.Add(recoveryDelay))) {
		return true
	}
	return !confirmed.Before(restart.Add(confirmDelay)) && !confirmed.Before(recovered.Add(recoveryDelay))
}
