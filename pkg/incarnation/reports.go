package incarnation

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
)

const (
	// queryInterval is the pause between two queries of a server, busyInterval that after ErrBusy, silentInterval that after ErrNoStart.
	queryInterval  = 50 * time.Millisecond
	busyInterval   = 2 * time.Second
	silentInterval = 5 * time.Second
	// queryTimeout limits a query.
	queryTimeout = 500 * time.Millisecond
	// maxQueries is the number of queries under way.
	maxQueries = 64
	// reportRetention is how long what a server stated is kept at least.
	reportRetention = time.Minute
)

// ErrNoStart is returned for a server that will not tell when its process started.
var ErrNoStart = errors.New("the server does not tell when it started")

// ErrReplaced is returned if another server answers at the address. It is an ErrNoStart as well.
var ErrReplaced = fmt.Errorf("another server has the address: %w", ErrNoStart)

// ErrConnectionBroke is returned if a connection was accepted, and broke before the answer.
var ErrConnectionBroke = errors.New("the connection broke before the answer")

// ErrNotAsked is returned for a server that may not be asked.
var ErrNotAsked = errors.New("the server may not be asked when it started")

// ErrBusy is returned for a server that answers no queries at the moment.
var ErrBusy = errors.New("the server answers no queries at the moment")

// Answer is what a process states in answer to a query.
type Answer struct {
	// Started is as in routing.Incarnation.
	Started int64
	// Sent is when the query was sent, Received when the answer had come.
	Sent, Received time.Time
}

// QuerierDeps are the dependencies of a Querier.
type QuerierDeps struct {
	// Query asks the process that runs at the address of a server when it started, as in routing.Incarnation. The error is
	// ErrNoStart if it does not say, ErrBusy if it answers no queries at the moment, and ErrNotAsked if it may not be asked.
	Query func(ctx context.Context, server *routing.Server) (started int64, err error)
	// Record is called with each answer, see Tracker.RecordReport.
	Record func(server *routing.Server, a Answer)
}

// Querier asks servers when their processes started: each server one query at a time, with pauses.
type Querier struct {
	QuerierDeps
	mu sync.Mutex
	// byServer holds the servers that are queried or were lately, by ID.
	byServer map[string]*querying
	// underWay is the number of queries without an answer.
	underWay int
}

// querying is a server that is queried, as its entry was when a query was last wanted. repeat is set if another one is wanted, silent
// if its report does not state a start.
type querying struct {
	server         routing.Server
	repeat, silent bool
}

// NewQuerier returns a Querier.
func NewQuerier(d QuerierDeps) *Querier {
	return &Querier{QuerierDeps: d, byServer: make(map[string]*querying)}
}

// Query has a server queried after the call, and reports whether an answer may come. It does not block.
func (q *Querier) Query(server *routing.Server) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, ok := q.byServer[server.ID]; ok {
		s.silent = s.silent && s.server.Incarnation() == server.Incarnation()
		s.server, s.repeat = *server, true
		return !s.silent
	}
	if q.underWay >= maxQueries {
		return false
	}
	q.underWay++
	q.byServer[server.ID] = &querying{server: *server}
	go q.run(*server)
	return true
}

// run queries a server until no further query is wanted.
func (q *Querier) run(server routing.Server) {
	for again := true; again; server, again = q.next(server.ID) {
		pause.For(context.Background(), q.query(&server))
	}
}

// next returns the server for another query, if one is wanted.
func (q *Querier) next(id string) (server routing.Server, wanted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.byServer[id]
	if !s.repeat {
		delete(q.byServer, id)
		return routing.Server{}, false
	}
	s.repeat = false
	q.underWay++
	return s.server, true
}

// query queries a server, and returns the pause before the next query.
func (q *Querier) query(server *routing.Server) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	sent := clock.Now()
	started, err := q.QuerierDeps.Query(ctx, server)
	received := clock.Now()
	silent := errors.Is(err, ErrNoStart)
	q.mu.Lock()
	q.underWay--
	if s := q.byServer[server.ID]; s.server.Incarnation() == server.Incarnation() {
		s.silent = silent
	}
	q.mu.Unlock()
	switch {
	case silent:
		return silentInterval
	case errors.Is(err, ErrBusy):
		return busyInterval
	case err == nil:
		q.Record(server, Answer{Started: started, Sent: sent, Received: received})
	}
	return queryInterval
}

// statement is what is known of a process from its own answers: a time from which on and one up to which it ran, the address at
// which it answered, and the version of its entry once that was listed. It ran between the two, whichever is earlier.
type statement struct {
	first, last time.Time
	address     string
	version     string
	listed      bool
}

// RecordReport records when the process of a server started, as it stated in answer to a query. If that is not the process of the
// entry with which it was queried, that one has ended.
func (t *Tracker) RecordReport(server *routing.Server, a Answer) {
	process := routing.Incarnation{ID: server.ID, Started: a.Started}
	t.mu.Lock()
	known := t.addStatement(process, server.Address, a)
	entry, _ := t.List.ServerEntry(server.ID)
	s := t.unresolved(server.ID, a.Sent)
	ended := !known && entry.Incarnation != process && (s == nil || !s.certain)
	ran := t.lastProved(server.Incarnation())
	t.mu.Unlock()
	if ended {
		t.record(loss{Restart: Restart{Server: server.ID, At: a.Sent, Certain: true}, server: server, from: ran})
	}
}

// sweepStatements removes what servers stated too long ago. The caller holds mu.
func (t *Tracker) sweepStatements(now time.Time) {
	for id, processes := range t.stated {
		maps.DeleteFunc(processes, func(_ int64, s *statement) bool { return now.Sub(s.last) > reportRetention })
		if len(processes) == 0 {
			delete(t.stated, id)
		}
	}
}

// addStatement adds what a process stated, and reports whether it had done so before. The caller holds mu.
func (t *Tracker) addStatement(process routing.Incarnation, address string, a Answer) (known bool) {
	t.sweepStatements(a.Sent)
	processes := t.stated[process.ID]
	if processes == nil {
		processes = make(map[int64]*statement)
		t.stated[process.ID] = processes
	}
	s, known := processes[process.Started]
	if !known {
		processes[process.Started] = &statement{first: a.Received, last: a.Sent, address: address}
		return false
	}
	s.first, s.last = earlier(s.first, a.Received), later(s.last, a.Sent)
	return true
}

// lastProved returns a time up to which the process of an entry is proved to have run, or that at which this box started. The caller
// holds mu.
func (t *Tracker) lastProved(process routing.Incarnation) time.Time {
	ran := later(t.settledAt(), t.Started)
	if s, ok := t.stated[process.ID][process.Started]; ok {
		ran = later(ran, s.last)
	}
	return ran
}

// denied reports whether another process than that of an entry stated that it runs since the entry was listed. The caller holds mu.
func (t *Tracker) denied(entry Entry) bool {
	own := entry.ListedAt
	if s, ok := t.stated[entry.Incarnation.ID][entry.Incarnation.Started]; ok {
		own = later(own, s.last)
	}
	for started, s := range t.stated[entry.Incarnation.ID] {
		if started != entry.Incarnation.Started && s.last.After(own) {
			return true
		}
	}
	return false
}

// processOf returns the process to which a connection leads, and what it stated. It returns false if no report tells. The caller
// holds mu.
func (t *Tracker) processOf(c Connection) (routing.Incarnation, *statement, bool) {
	own := c.Server.Incarnation()
	processes := t.stated[own.ID]
	if len(processes) == 0 {
		return own, nil, false
	}
	if t.ranSince(own, c.Opened) {
		return own, processes[own.Started], true
	}
	from, until, ok := t.Lifetime(own, c.Opened)
	if !ok {
		from, until = c.Opened, c.Opened
	}
	for started, s := range processes {
		if s.address == c.Server.Address && !s.first.After(until) && !s.last.Before(from) {
			return routing.Incarnation{ID: own.ID, Started: started}, s, true
		}
	}
	return own, nil, false
}

// statedVersion returns the version of the process to which a connection leads. told is set if a report tells which process that is, ok
// if its version is known as well. The caller holds mu.
func (t *Tracker) statedVersion(c Connection) (version string, told, ok bool) {
	process, s, told := t.processOf(c)
	if !told {
		return "", false, false
	}
	if process == c.Server.Incarnation() {
		return c.Server.Version, true, true
	}
	if entry, listed := t.List.ServerEntry(process.ID); listed && entry.Incarnation == process {
		s.version, s.listed = entry.Version, true
	}
	return s.version, true, s.listed
}

// VersionAsked returns the version of the process to which a connection led, after its server was asked since it broke. The entry of the
// connection's server counts unless another process is known, by its own answer or by the list, that may have run when the connection
// was opened. Then the version is told only if both have the same one, and it is that of the list if they don't. It returns false
// until the other process is listed.
func (t *Tracker) VersionAsked(c Connection) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version, told, ok := t.statedVersion(c); told {
		return version, ok
	}
	if t.provedByList(c) {
		return c.Server.Version, true
	}
	own := c.Server.Incarnation()
	entry, listed := t.List.ServerEntry(own.ID)
	if listed && entry.Version != c.Server.Version {
		return entry.Version, true
	}
	for started, s := range t.stated[own.ID] {
		switch {
		case started == own.Started, s.address != c.Server.Address, s.last.Before(c.Opened):
		case listed && entry.Incarnation.Started == started:
		case !s.listed:
			return "", false
		case s.version != c.Server.Version:
			return s.version, true
		}
	}
	return c.Server.Version, true
}

// Query has the server of a connection queried, and reports whether an answer may come. It returns false if the connection is
// proved, or if there has been an answer since it was opened.
func (t *Tracker) Query(c Connection) bool {
	return c.Server.Started != 0 && t.Deps.Query != nil && !t.settledFor(c) && t.Deps.Query(c.Server)
}

const (
	// firstAsk is how long after a sign of a restart the server is asked first, long enough for an answer to refute the sign. The time
	// is doubled up to maxAskInterval while no answer comes: the next process may not have started.
	firstAsk       = 2 * aliveDelay
	maxAskInterval = 400 * time.Millisecond
)

// startAsking reports whether a server is to be asked because of a sign that this box noticed. The caller holds mu.
func (t *Tracker) startAsking(l loss) bool {
	s := t.restarts[l.Server]
	if s == nil || s.certain || s.asked || l.server == nil || l.server.Started == 0 || t.Deps.Query == nil {
		return false
	}
	s.asked = true
	return true
}

// askLater has a server asked after a time, and again until its sign is resolved. Other boxes, which don't know of the sign, may send it
// streams before one begins here.
func (t *Tracker) askLater(server routing.Server, since time.Time, after time.Duration) {
	t.Later(after, func(now time.Time) {
		t.mu.Lock()
		s := t.unresolved(server.ID, now)
		doubted := s != nil && !s.certain
		t.mu.Unlock()
		if doubted && now.Sub(since) < confirmDelay {
			t.Deps.Query(&server)
			t.askLater(server, since, min(2*after, maxAskInterval))
		}
	})
}

// settledFor reports whether another answer would tell nothing of a connection.
func (t *Tracker) settledFor(c Connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.proved(c) && t.restarts[c.Server.ID] == nil {
		return true
	}
	for _, s := range t.stated[c.Server.ID] {
		if !s.last.Before(c.Opened) {
			return true
		}
	}
	return false
}

// ranSince reports whether a process stated that it runs when it was queried after a time. The caller holds mu.
func (t *Tracker) ranSince(process routing.Incarnation, at time.Time) bool {
	s, ok := t.stated[process.ID][process.Started]
	return ok && process.Started != 0 && !s.last.Before(at)
}
