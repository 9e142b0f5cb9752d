package directory

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/storerev"
)

// Server is a backend server and its state in the list.
type Server struct {
	routing.Server
	// ListedAt is when this box learned of the incarnation and version that the entry has; zero if the entry came with a
	// list of a new era, which may be older.
	ListedAt time.Time
	// RestartedAt is when this box learned of the latest restart of the server under its ID; zero for none.
	RestartedAt time.Time
	// RemovedAt is when the server was removed from the list; zero while it is listed.
	RemovedAt time.Time
	// GraceEnd is set if the entry expired during an outage of the source: until then the server
	// is used as if it were listed.
	GraceEnd time.Time
	// WithheldUntil is set if the server had left before the source was restored: until then it gets no
	// work although it is listed as ready.
	WithheldUntil time.Time
	// WarmUpEnd is when the server finishes its warm-up, according to its entry.
	WarmUpEnd time.Time
}

// View is an immutable, consistent snapshot of the directory.
type View struct {
	// Table is nil until the first one is read.
	Table *routing.Table
	// TableConfirmedAt and ServersConfirmedAt are when the source last confirmed each part.
	TableConfirmedAt   time.Time
	ServersConfirmedAt time.Time
	// EvacuationsConfirmedAt is when the source last confirmed the evacuated halls.
	EvacuationsConfirmedAt time.Time

	pools map[string]*pool // by service
	// warmUpEnds holds the servers that are still warming up.
	warmUpEnds map[routing.Incarnation]time.Time
	// evacuated holds the halls whose servers get no work, restored when other halls were taken back
	// into service.
	evacuated map[string]bool
	restored  map[string]time.Time
	// formerServices are services that the table in force does not have.
	formerServices map[string]*routing.Service
}

// TableAge returns the time since the source last confirmed the table.
func (v *View) TableAge(now time.Time) time.Duration { return now.Sub(v.TableConfirmedAt) }

// ServersAge returns the time since the source last confirmed the list of servers.
func (v *View) ServersAge(now time.Time) time.Duration { return now.Sub(v.ServersConfirmedAt) }

// Candidates returns the servers of a service that may get new work: those that are listed, not
// draining and not withheld, plus those whose entry expired in an outage and that are within their
// recovery grace. If there are none, it returns those removed less than grace ago, and those whose
// entry expired in an outage until lastResortGrace after their recovery grace.
//
// The caller must not modify the result.
func (v *View) Candidates(service string, now time.Time, grace time.Duration) []routing.Server {
	p := v.pools[service]
	if p == nil {
		return nil
	}
	listed := p.ready
	for _, s := range p.withheld {
		if !now.Before(s.WithheldUntil) {
			listed = append(slices.Clip(listed), s.Server)
		}
	}
	var removed []routing.Server
	for _, s := range p.removed {
		switch {
		case now.Before(s.GraceEnd):
			listed = append(slices.Clip(listed), s.Server)
		case now.Sub(s.RemovedAt) < grace, now.Before(s.GraceEnd.Add(lastResortGrace)):
			removed = append(removed, s.Server)
		}
	}
	if len(listed) > 0 {
		return listed
	}
	return removed
}

// Draining returns the listed servers of a service that get no new work, as they are leaving or
// their hall is evacuated. The caller must not modify the result.
func (v *View) Draining(service string) []routing.Server {
	if p := v.pools[service]; p != nil {
		return p.draining
	}
	return nil
}

// Listed returns the listed servers of a service, including leaving ones, except those in evacuated
// halls.
func (v *View) Listed(service string) []routing.Server {
	p := v.pools[service]
	if p == nil {
		return nil
	}
	list := slices.Clip(p.ready)
	for _, s := range p.draining {
		if !v.HallEvacuated(s.Hall) {
			list = append(list, s)
		}
	}
	return list
}

// ServerAt returns a server with an address: one in the list, or the last one that was removed recently and may
// still be used.
func (v *View) ServerAt(address string) (routing.Server, bool) {
	var last Server
	for _, p := range v.pools {
		if s, ok := p.listedAt(address); ok {
			return s, true
		}
		for _, s := range p.removed {
			if s.Address == address && s.RemovedAt.After(last.RemovedAt) {
				last = s
			}
		}
	}
	return last.Server, last.ID != ""
}

// AnyOther returns a listed server that gets new work and has another address.
func (v *View) AnyOther(address string) (routing.Server, bool) {
	for _, p := range v.pools {
		if len(p.ready) == 0 {
			continue
		}
		first := rand.IntN(len(p.ready))
		for i := range p.ready {
			if s := p.ready[(first+i)%len(p.ready)]; s.Address != address {
				return s, true
			}
		}
	}
	return routing.Server{}, false
}

// HallEvacuated reports whether a hall is evacuated.
func (v *View) HallEvacuated(hall string) bool { return v.evacuated[hall] }

// WarmUpEnd returns when a server finishes its warm-up; zero if it has. Servers of a hall that was
// evacuated may have been idle for long, so they are assumed to warm up again.
func (v *View) WarmUpEnd(s *routing.Server, w routing.WarmUp) time.Time {
	warm := v.warmUpEnds[s.Incarnation()]
	if since, ok := v.restored[s.Hall]; ok {
		warm = laterOf(warm, since.Add(w.Duration))
	}
	return warm
}

// Directory keeps the routing table and the list of servers up to date.
type Directory struct {
	logger log.Logger
	view   atomic.Pointer[View]
	// table and list follow the two parts of the source.
	table, list    *follower
	onNotification func(Notification)
	// onServers is set by OnServersChange, onRestoredEntry by OnRestoredEntry.
	onServers       func()
	onRestoredEntry func(id string, at time.Time)
	outdated        *outdatedMessages
	// applyMu serialises the changes of each part. It guards pendingDeltas, the table deltas whose
	// base version is not in force yet.
	applyMu       sync.Mutex
	pendingDeltas []tableDelta
	// history holds recent changes of the list, for boxes that lag behind.
	history listHistory
	// verifications counts the calls of Verify in progress.
	verifications atomic.Int32

	mu      sync.Mutex
	servers map[string]Server
	// unlogged writes the log lines of changes that are not published yet.
	unlogged []func()
	// restoredEntries are the servers whose entries of an earlier incarnation came with a list of a new era, until
	// onRestoredEntry is called with them.
	restoredEntries []string
	// former holds earlier lives of servers that had another version or service, and lives whose entries a restore has lost.
	former []Server
	// prunedAt is when servers were last pruned whose removal is older than the retention period.
	prunedAt time.Time
	// answeredAt is when this box last learned that the source answers. recoveredAt is when the source last
	// recovered from an outage.
	answeredAt, recoveredAt time.Time
	// seenEra is the latest era of the source that was seen in a response, first at eraSeenAt.
	seenEra   uint64
	eraSeenAt time.Time
	// departed holds the servers that had left before the source was last restored.
	departed departedServers
	// replaced holds the incarnations that later ones have replaced.
	replaced    replacedLives
	evacuations Evacuations
	// effectiveHalls are the halls whose servers get no work. retainedHalls are those that were
	// evacuated before the source was last restored, with the time until which they count as evacuated
	// whatever the source says.
	effectiveHalls map[string]bool
	retainedHalls  map[string]time.Time
}

const (
	// MinOutage is the age of the list from which the source counts as unavailable. Regular checks
	// come at shorter intervals.
	MinOutage = 2500 * time.Millisecond
	// recoveryGrace is how long after a recovery of the source a server whose entry expired in the
	// outage stays in use. It cannot be told from one that was removed after the recovery, which may get
	// requests for 2 s by default: 0.5 s are left for noticing the recovery and for requests under way.
	recoveryGrace = 1500 * time.Millisecond
	// lastResortGrace is how much longer such a server stays in use if no other one is listed, as a
	// service that lost all entries would have no server until they are written again.
	lastResortGrace = 500 * time.Millisecond
)

// New returns an empty directory.
func New(logger log.Logger) *Directory {
	d := &Directory{logger: logger, servers: make(map[string]Server), replaced: make(replacedLives), outdated: newOutdatedMessages(logger), onServers: func() {}, onRestoredEntry: func(string, time.Time) {}}
	d.view.Store(&View{})
	d.table = newFollower(PartTable, logger, func() bool { return d.View().Table != nil })
	d.list = newFollower(PartServers, logger, func() bool { return !d.View().ServersConfirmedAt.IsZero() })
	return d
}

// View returns the current snapshot.
func (d *Directory) View() *View { return d.view.Load() }

// Loaded reports whether both parts have been read.
func (d *Directory) Loaded() bool {
	v := d.View()
	return v.Table != nil && !v.ServersConfirmedAt.IsZero()
}

// setTable publishes a table confirmed at the given time; nil only confirms the one in force. A
// table of a lower version than the one in force is rejected.
func (d *Directory) setTable(t *routing.Table, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := *d.view.Load()
	if t != nil && v.Table != nil && t.Version < v.Table.Version {
		_ = level.Warn(d.logger).Log("msg", "routing table rejected", "version", t.Version, "in_force", v.Table.Version, "reason", "version is lower than the one in force")
		return
	}
	if t != nil && (v.Table == nil || t.Version != v.Table.Version) {
		before := uint64(0)
		if v.Table != nil {
			before = v.Table.Version
		}
		d.logChange(level.Info(d.logger), "msg", "routing table applied", "version", t.Version, "before", before,
			"organisations", len(t.Organisations()), "keys", t.KeyCount(), "keys_required", t.KeysRequired())
		v.formerServices = v.formerServicesAfter(t)
		v.Table = t
	}
	v.TableConfirmedAt = at
	d.view.Store(&v)
	d.flushChanges()
}

// confirm advances the confirmation time of each part that has reached a revision in its era. A
// revision of an earlier era confirms nothing.
func (d *Directory) confirm(revision storerev.Revision, askedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordAnswer(revision, clock.Now())
	v := *d.view.Load()
	if d.table.confirmedBy(revision) {
		v.TableConfirmedAt = laterIfSet(v.TableConfirmedAt, askedAt)
	}
	if d.list.confirmedBy(revision) {
		v.ServersConfirmedAt = laterIfSet(v.ServersConfirmedAt, askedAt)
	}
	d.view.Store(&v)
}

// laterIfSet returns the later of two times, or zero if the first is zero.
func laterIfSet(a, b time.Time) time.Time {
	if a.IsZero() {
		return a
	}
	return laterOf(a, b)
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setServers replaces the whole list and returns the differences. newEra is set if the source was
// restored since the last list.
func (d *Directory) setServers(list []routing.Server, at time.Time, newEra bool) []ServerEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectRecovery(at)
	if newEra {
		d.beginEra(at)
	}
	bulk := d.view.Load().ServersConfirmedAt.IsZero()
	var events []ServerEvent
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		if newEra && d.isEarlierIncarnation(s) {
			d.restoredEntries = append(d.restoredEntries, s.ID)
		}
		if d.setServer(s, at, bulk) {
			events = append(events, ServerEvent{Server: s})
		}
	}
	for id, s := range d.servers {
		if !listed[id] && s.RemovedAt.IsZero() {
			d.removeServer(id, at)
			events = append(events, ServerEvent{Server: routing.Server{ID: id}, Removed: true})
		}
	}
	if bulk {
		_ = level.Info(d.logger).Log("msg", "server list loaded", "servers", len(list))
	}
	d.rebuildPools(at)
	d.flushChanges()
	return events
}

// changeServers applies changes to the list.
func (d *Directory) changeServers(events []ServerEvent, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectRecovery(at)
	bulk := len(events) > maxIncrementalChanges
	if bulk {
		_ = level.Info(d.logger).Log("msg", "server list updated", "changes", len(events))
	}
	for _, e := range events {
		if e.Removed {
			d.removeServer(e.Server.ID, at)
			continue
		}
		d.setServer(e.Server, at, bulk)
	}
	d.updatePools(events, at)
	d.flushChanges()
}

// logChange keeps a line about a change until flushChanges, so that the log never tells of a change that
// requests don't see yet. The caller holds mu.
func (d *Directory) logChange(line log.Logger, keyvals ...any) {
	d.unlogged = append(d.unlogged, func() { _ = line.Log(keyvals...) })
}

// flushChanges writes the lines kept by logChange. The caller holds mu and has published the changes.
func (d *Directory) flushChanges() {
	for _, write := range d.unlogged {
		write()
	}
	d.unlogged = nil
}

// detectRecovery records the recovery of the source if it did not answer for MinOutage. A list that this box
// could not bring up to date meanwhile is no sign of an outage.
func (d *Directory) detectRecovery(now time.Time) {
	read := d.view.Load().ServersConfirmedAt
	if !read.IsZero() && now.Sub(laterOf(read, d.answeredAt)) > MinOutage {
		d.recoveredAt = now
	}
}

// recordAnswer records that the source has answered with a revision. One of an earlier era may be an answer
// from before a restore. The caller holds mu.
func (d *Directory) recordAnswer(revision storerev.Revision, now time.Time) {
	if revision.Era() < d.list.position().revision.Era() {
		return
	}
	d.detectRecovery(now)
	d.answeredAt = laterOf(d.answeredAt, now)
}

// setServer adds or updates a server and reports whether anything changed. Bulk changes are logged
// at debug level, as thousands of log lines would take longer than the change itself.
func (d *Directory) setServer(s routing.Server, at time.Time, bulk bool) bool {
	old, exists := d.servers[s.ID]
	if exists && old.RemovedAt.IsZero() && old.Server == s {
		return false
	}
	listed := Server{Server: s, ListedAt: at, WithheldUntil: d.departed.withheldUntil(s, at)}
	if exists && old.Incarnation() == s.Incarnation() && old.Version == s.Version {
		listed.ListedAt = old.ListedAt
	}
	switch {
	case exists && (old.Incarnation() != s.Incarnation() || old.Version != s.Version):
		listed.RestartedAt = at
	case exists:
		listed.RestartedAt = old.RestartedAt
	}
	line := level.Info(d.logger)
	if bulk {
		line = level.Debug(d.logger)
	}
	d.logChange(line, "msg", "server listed", "server", s.ID, "service", s.Service, "address", s.Address, "hall", s.Hall, "version", s.Version, "started", s.Started, "leaving", s.Leaving, "known", exists, "warm_up_ms", s.WarmUpRemaining.Milliseconds(), "withheld", !listed.WithheldUntil.IsZero())
	if exists {
		d.replace(old, s, at)
	}
	if s.WarmUpRemaining > 0 {
		listed.WarmUpEnd = at.Add(s.WarmUpRemaining)
	}
	d.servers[s.ID] = listed
	return true
}

func (d *Directory) removeServer(id string, at time.Time) {
	s, exists := d.servers[id]
	if !exists || !s.RemovedAt.IsZero() {
		return
	}
	s = d.lapsed(s, at)
	d.servers[id] = s
	d.logChange(level.Info(d.logger), "msg", "server removed", "server", id, "service", s.Service, "leaving", s.Leaving, "lapsed", !s.GraceEnd.IsZero())
}
