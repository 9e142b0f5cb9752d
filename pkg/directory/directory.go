package directory

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/routing"
)

// Server is a backend server and where it stands in the list.
type Server struct {
	routing.Server
	// RemovedAt is when the list lost the server; zero while it is listed.
	RemovedAt time.Time
	// GraceEnd is until when a server that the list lost in an outage of the source is
	// used as if it were listed; zero for others.
	GraceEnd time.Time
	// WarmUpEnd is when the server has warmed up, by what its entry said.
	WarmUpEnd time.Time
}

// View is one consistent state of the belief. It is immutable.
type View struct {
	// Table is nil until the first one is known.
	Table *routing.Table
	// TableConfirmedAt and ServersConfirmedAt are when the source last confirmed each part.
	TableConfirmedAt   time.Time
	ServersConfirmedAt time.Time
	// EvacuationsConfirmedAt is when the source last confirmed which halls are evacuated.
	EvacuationsConfirmedAt time.Time

	pools map[string]*pool // by service
	// warm is when servers have warmed up that do so; others are left out.
	warm map[routing.Incarnation]time.Time
	// evacuated are the halls whose servers get nothing, takenBack is when others were taken back.
	evacuated map[string]bool
	takenBack map[string]time.Time
}

// TableAge is the time since the source last confirmed the table.
func (v *View) TableAge(now time.Time) time.Duration { return now.Sub(v.TableConfirmedAt) }

// ServersAge is the time since the source last confirmed the list.
func (v *View) ServersAge(now time.Time) time.Duration { return now.Sub(v.ServersConfirmedAt) }

// Candidates returns the servers of a service that may get new work: the listed
// ones that are not leaving, with those that lapsed in an outage and may be back in a
// moment; or, if there is none, those that the list lost less than grace ago.
//
// The caller must not change the list.
func (v *View) Candidates(service string, now time.Time, grace time.Duration) []routing.Server {
	p := v.pools[service]
	if p == nil {
		return nil
	}
	listed := p.ready
	var lost []routing.Server
	for _, s := range p.lost {
		switch {
		case now.Before(s.GraceEnd):
			listed = append(slices.Clip(listed), s.Server)
		case now.Sub(s.RemovedAt) < grace:
			lost = append(lost, s.Server)
		}
	}
	if len(listed) > 0 {
		return listed
	}
	return lost
}

// Draining returns the servers of a service that get no new work and are still there: they leave, or
// their hall is evacuated. Callers must not change the list.
func (v *View) Draining(service string) []routing.Server {
	if p := v.pools[service]; p != nil {
		return p.idle
	}
	return nil
}

// Listed returns the servers of a service that the list has, leaving ones too, but for those of
// evacuated halls.
func (v *View) Listed(service string) []routing.Server {
	p := v.pools[service]
	if p == nil {
		return nil
	}
	list := slices.Clip(p.ready)
	for _, s := range p.idle {
		if !v.HallEvacuated(s.Hall) {
			list = append(list, s)
		}
	}
	return list
}

// HallEvacuated tells whether the servers of a hall get nothing.
func (v *View) HallEvacuated(hall string) bool { return v.evacuated[hall] }

// WarmUpEnd is when a server of a service has warmed up, by what is known of it; zero for one that has.
// A server of a hall that was taken back may have been idle for long and have turned cold since.
func (v *View) WarmUpEnd(s *routing.Server, w routing.WarmUp) time.Time {
	warm := v.warm[s.Incarnation()]
	if since, ok := v.takenBack[s.Hall]; ok {
		warm = latest(warm, since.Add(w.Duration))
	}
	return warm
}

// Directory keeps the belief.
type Directory struct {
	logger log.Logger
	view   atomic.Pointer[View]
	// table and list follow the two parts.
	table, list *follower
	onNotice    func(Notification)
	// applying orders the changes of each part; it guards deltas, those of the table
	// that wait for the version that they begin at.
	applying sync.Mutex
	deltas   []tableDelta
	// history are the last changes of the list, for boxes that lack them.
	history listHistory
	// verifying counts the checks of the source that are under way.
	verifying atomic.Int32

	mu      sync.Mutex
	servers map[string]Server
	// tidied is when servers that were removed long ago were last forgotten.
	tidied time.Time
	// returned is when the source was last back after an outage.
	returned time.Time
	// evacuations are the halls whose servers get nothing.
	evacuations Evacuations
}

const (
	// MinOutage is how old the list must have grown for its source to have been
	// away: checks come more often than that.
	MinOutage = 2500 * time.Millisecond
	// lapsedFor is how long after its return entries that lapsed meanwhile may still
	// be missing. One that is missing after that is gone.
	lapsedFor = 2 * time.Second
)

// New returns an empty directory.
func New(logger log.Logger) *Directory {
	d := &Directory{logger: logger, servers: make(map[string]Server)}
	d.view.Store(&View{})
	d.table = newFollower(partTable, logger, func() bool { return d.View().Table != nil })
	d.list = newFollower(partServers, logger, func() bool { return !d.View().ServersConfirmedAt.IsZero() })
	return d
}

// View returns the belief of now.
func (d *Directory) View() *View { return d.view.Load() }

// Loaded tells whether both parts have been read once.
func (d *Directory) Loaded() bool {
	v := d.View()
	return v.Table != nil && !v.ServersConfirmedAt.IsZero()
}

// setTable takes a table in, confirmed at a time; nil only confirms the one in
// force. A lower version than the one in force is not taken.
func (d *Directory) setTable(t *routing.Table, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := *d.view.Load()
	if t != nil && v.Table != nil && t.Version < v.Table.Version {
		_ = level.Warn(d.logger).Log("msg", "routing table rejected", "version", t.Version, "in_force", v.Table.Version, "reason", "a lower version than the one in force")
		return
	}
	if t != nil && (v.Table == nil || t.Version != v.Table.Version) {
		before := uint64(0)
		if v.Table != nil {
			before = v.Table.Version
		}
		_ = level.Info(d.logger).Log("msg", "table in force", "version", t.Version, "before", before)
		v.Table = t
	}
	v.TableConfirmedAt = at
	d.view.Store(&v)
}

// confirm renews the age of the parts that are known up to a revision.
func (d *Directory) confirm(revision uint64, asked time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := *d.view.Load()
	if d.table.known().revision >= revision {
		v.TableConfirmedAt = later(v.TableConfirmedAt, asked)
	}
	if d.list.known().revision >= revision {
		v.ServersConfirmedAt = later(v.ServersConfirmedAt, asked)
	}
	d.view.Store(&v)
}

// later returns the later of two times; a part that was never read stays so.
func later(a, b time.Time) time.Time {
	if a.IsZero() {
		return a
	}
	return latest(a, b)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setServers replaces the whole list and returns what has changed.
func (d *Directory) setServers(list []routing.Server, at time.Time) []ServerEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteReturn(at)
	quiet := d.view.Load().ServersConfirmedAt.IsZero()
	var events []ServerEvent
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		if d.setServer(s, at, quiet) {
			events = append(events, ServerEvent{Server: s})
		}
	}
	for id, s := range d.servers {
		if !listed[id] && s.RemovedAt.IsZero() {
			d.removeServer(id, at)
			events = append(events, ServerEvent{Server: routing.Server{ID: id}, Removed: true})
		}
	}
	if quiet {
		_ = level.Info(d.logger).Log("msg", "list of servers read", "servers", len(list))
	}
	d.publishServers(at)
	return events
}

// changeServers takes changes of the list in.
func (d *Directory) changeServers(events []ServerEvent, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteReturn(at)
	quiet := len(events) > changesMost
	if quiet {
		_ = level.Info(d.logger).Log("msg", "list of servers changed", "changes", len(events))
	}
	for _, e := range events {
		if e.Removed {
			d.removeServer(e.Server.ID, at)
			continue
		}
		d.setServer(e.Server, at, quiet)
	}
	d.publishChanges(events, at)
}

// noteReturn notes that the source has answered after an outage.
func (d *Directory) noteReturn(now time.Time) {
	read := d.view.Load().ServersConfirmedAt
	if !read.IsZero() && now.Sub(read) > MinOutage {
		d.returned = now
	}
}

// setServer takes one server in, as it was told at a time. It returns whether that changes anything.
// Of the first list and of many changes at once no server has a line of its own in the usual log:
// thousands of them took a box longer than the list itself.
func (d *Directory) setServer(s routing.Server, at time.Time, quiet bool) bool {
	old, known := d.servers[s.ID]
	if known && old.RemovedAt.IsZero() && old.Server == s {
		return false
	}
	line := level.Info(d.logger)
	if quiet {
		line = level.Debug(d.logger)
	}
	_ = line.Log("msg", "server listed", "server", s.ID, "service", s.Service, "address", s.Address, "hall", s.Hall, "leaving", s.Leaving, "known", known, "warm_up_ms", s.WarmUpRemaining.Milliseconds())
	listed := Server{Server: s}
	if s.WarmUpRemaining > 0 {
		listed.WarmUpEnd = at.Add(s.WarmUpRemaining)
	}
	d.servers[s.ID] = listed
	return true
}

func (d *Directory) removeServer(id string, at time.Time) {
	s, known := d.servers[id]
	if !known || !s.RemovedAt.IsZero() {
		return
	}
	s.RemovedAt = at
	if until := d.returned.Add(lapsedFor); at.Before(until) {
		s.GraceEnd = until
	}
	d.servers[id] = s
	_ = level.Info(d.logger).Log("msg", "server removed", "server", id, "service", s.Service, "leaving", s.Leaving, "lapsed", !s.GraceEnd.IsZero())
}
