package incarnation

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
)

// Life is what is known of a process that has closed a connection.
type Life int

// States of a process that has closed a connection.
const (
	// LifeUnknown means that it can't be told whether the process runs.
	LifeUnknown Life = iota
	// LifeRuns means that the process ran after it had closed the connection.
	LifeRuns
	// LifeEnded means that the process has ended. Its kernel may have closed the connection.
	LifeEnded

	lives
)

// String implements fmt.Stringer.
func (l Life) String() string { return [...]string{"unknown", "runs", "ended"}[l] }

const (
	// questionTimeout limits a question to a process. It leaves time for a packet that is sent again after a second.
	questionTimeout = 1300 * time.Millisecond
	// endCheckTimeout limits a check, which may have to wait for another connection's question before its own. Callers give a response
	// up after two seconds.
	endCheckTimeout = 1800 * time.Millisecond
)

// A question whose connection broke is repeated after questionInterval: a process that ends breaks connections as well, and refuses
// them by then. maxQuestions is the number of questions in all.
const (
	questionInterval = 20 * time.Millisecond
	maxQuestions     = 2
)

// EndCheckerDeps are the dependencies of an EndChecker.
type EndCheckerDeps struct {
	// Ask asks the process that runs at the address of a server when it started, as in QuerierDeps.Query.
	Ask func(ctx context.Context, server *routing.Server) (started int64, err error)
	// Reach returns whether a process accepts connections at the address of a server that may not be asked.
	Reach func(ctx context.Context, server *routing.Server) Life
	// Record and LifeAfter are those of the Tracker.
	Record    func(server *routing.Server, a Answer)
	LifeAfter func(Connection) Life
	Logger    log.Logger
}

// EndChecker checks whether the processes of servers run on that closed connections in order. The kernel does so as well when a
// process is killed.
type EndChecker struct {
	EndCheckerDeps
	mu sync.Mutex
	// byServer holds the latest check of each server that is under way.
	byServer map[routing.Incarnation]*endCheck
	// counts are the results since the start.
	counts [lives]atomic.Int64
}

// endCheck is a question to a server, for all connections that it had closed before.
type endCheck struct {
	began time.Time
	// done is closed once life is set, which is LifeUnknown if the answer is to be found at the Tracker.
	done chan struct{}
	life Life
}

// NewEndChecker returns an EndChecker.
func NewEndChecker(d EndCheckerDeps) *EndChecker {
	return &EndChecker{EndCheckerDeps: d, byServer: make(map[routing.Incarnation]*endCheck)}
}

// Check returns whether the process runs on that closed a connection at the time at which it broke. It blocks until that is known, for
// endCheckTimeout at most.
func (e *EndChecker) Check(ctx context.Context, c Connection) Life {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	life := e.LifeAfter(c)
	for life == LifeUnknown {
		check, counts := e.join(c)
		select {
		case <-check.done:
		case <-ctx.Done():
			return e.report(c, LifeUnknown)
		}
		if life = e.LifeAfter(c); counts {
			if life == LifeUnknown {
				life = check.life
			}
			break
		}
	}
	return e.report(c, life)
}

// Counts returns how many checks had which result since the start, by its name.
func (e *EndChecker) Counts() map[string]int64 {
	counts := make(map[string]int64, lives)
	for life := range lives {
		counts[life.String()] = e.counts[life].Load()
	}
	return counts
}

// report counts and logs the result of a check, and returns it.
func (e *EndChecker) report(c Connection, life Life) Life {
	e.counts[life].Add(1)
	logger := level.Info(e.Logger)
	if life == LifeRuns {
		logger = level.Debug(e.Logger)
	}
	_ = logger.Log("msg", "checked process that closed a connection during a response", "server", c.Server.ID, "process", life,
		"connection_age_ms", c.Broken.Sub(c.Opened).Milliseconds(), "took_ms", clock.Since(c.Broken).Milliseconds())
	return life
}

// join returns the check of a server that is under way, or begins one. counts is set if it counts for a connection: it began after
// that was closed.
func (e *EndChecker) join(c Connection) (check *endCheck, counts bool) {
	key := c.Server.Incarnation()
	e.mu.Lock()
	defer e.mu.Unlock()
	if check, ok := e.byServer[key]; ok {
		return check, !check.began.Before(c.Broken)
	}
	check = &endCheck{began: clock.Now(), done: make(chan struct{})}
	e.byServer[key] = check
	go e.run(check, *c.Server)
	return check, true
}

// run asks a server, or finds out whether it accepts connections if it may not be asked.
func (e *EndChecker) run(check *endCheck, server routing.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), questionTimeout)
	defer cancel()
	life, asked := e.ask(ctx, &server)
	if !asked {
		life = e.Reach(ctx, &server)
	}
	check.life = life
	e.mu.Lock()
	delete(e.byServer, server.Incarnation())
	e.mu.Unlock()
	close(check.done)
}

// ask asks a server when its process started, and reports whether it may be asked. It returns LifeUnknown if the answer is recorded. A
// server that accepts connections and breaks each of them has as many as it takes, and runs.
func (e *EndChecker) ask(ctx context.Context, server *routing.Server) (life Life, asked bool) {
	for range maxQuestions {
		sent := clock.Now()
		started, err := e.Ask(ctx, server)
		switch {
		case err == nil:
			e.Record(server, Answer{Started: started, Sent: sent, Received: clock.Now()})
			return LifeUnknown, true
		case errors.Is(err, ErrNotAsked):
			return LifeUnknown, false
		case errors.Is(err, ErrReplaced):
			return LifeEnded, true
		case errors.Is(err, ErrNoStart), errors.Is(err, ErrBusy):
			return LifeRuns, true
		case !errors.Is(err, ErrConnectionBroke) || ctx.Err() != nil:
			return LifeUnknown, true
		}
		pause.For(ctx, questionInterval)
	}
	return LifeRuns, true
}

// LifeAfter returns whether the process to which a connection led ran after it had closed the connection: whether it has stated so, or
// answered over another connection. A process that may have started since proves nothing.
func (t *Tracker) LifeAfter(c Connection) Life {
	own := c.Server.Incarnation()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, until, ok := t.Lifetime(own, c.Opened); ok && until.After(c.Broken) {
		return LifeRuns
	}
	for started, s := range t.stated[own.ID] {
		if s.address == c.Server.Address && !s.last.Before(c.Broken) && (started == own.Started || !s.first.After(c.Opened)) {
			return LifeRuns
		}
	}
	return LifeUnknown
}
