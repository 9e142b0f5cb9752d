package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/readahead"
	"headhill.example/headhill/pkg/routing"
)

const (
	// maxAheadPerCaller is how much is read ahead of one caller. It is half of what a response may
	// have to be buffered whole.
	maxAheadPerCaller = 256 << 10
	// aheadDivisor is the quotient of the memory for callers and the part of it that read-ahead may use.
	// The rest is left to request bodies and buffered responses, without which the box refuses
	// requests. organisationDivisor is the same for the read-ahead of one organisation.
	aheadDivisor        = 2
	organisationDivisor = 4
)

// heldPool is the memory for callers, shared by request bodies, buffered responses and read-ahead.
type heldPool struct{ gateway *Gateway }

// Reserve implements readahead.Pool.
func (p heldPool) Reserve(n int64) bool { return p.gateway.reserve(n) }

// Add implements readahead.Pool.
func (p heldPool) Add(n int64) { p.gateway.heldBytes.Add(n) }

func newReadAheadLedger(g *Gateway) *readahead.Ledger {
	limits := readahead.Limits{
		PerCaller: maxAheadPerCaller, PerOrganisation: g.Limits.MaxHeldBytes / organisationDivisor, Total: g.Limits.MaxHeldBytes / aheadDivisor,
	}
	return readahead.NewLedger(limits, heldPool{g})
}

// ReadAhead returns the accounting of the streams that are read ahead of slow callers.
func (g *Gateway) ReadAhead() *readahead.Ledger { return g.readAhead }

// overfullServers returns a function that reports whether too much of the responses of a server
// waits to be read, or nil if that holds for none or read-ahead is switched off.
func (g *Gateway) overfullServers() func(routing.Incarnation) bool {
	if !g.scheduling().ReadAhead || !g.readAhead.AnyOverfull() {
		return nil
	}
	return func(s routing.Incarnation) bool { return g.readAhead.Overfull(s.String()) }
}

// aheadState is what an exchange keeps of its read-ahead.
type aheadState struct {
	// active is set while the caller is written to from a queue.
	active bool
	// writesEnd is the deadline of all further writes once the server is done; zero before.
	writesEnd time.Time
	total     readahead.Stats
	// stopLogged is set once a stop at a bound was logged.
	stopLogged bool
}

// add adds the totals of a queue.
func (s *aheadState) add(q readahead.Stats) {
	s.total.Bytes += q.Bytes
	s.total.MaxHeld = max(s.total.MaxHeld, q.MaxHeld)
	s.total.Stops += q.Stops
	s.total.Stopped += q.Stopped
}

// openQueue returns a queue for the rest of a response.
func (x *exchange) openQueue(r *relay) *readahead.Queue {
	server := x.end.lease.Server.Incarnation().String()
	account := x.gateway.readAhead.Open(x.organisationName(), server, int64(r.partialBytes()))
	return readahead.NewQueue(account, func(cause readahead.Cause, s readahead.Stats) { x.logStop(server, cause, s) })
}

// organisationName returns the name of the organisation, "" for requests without one. Those share
// the memory of one organisation.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// logStop logs the first stop of the request's responses at a bound. It is called by the goroutine
// that reads ahead.
func (x *exchange) logStop(server string, cause readahead.Cause, s readahead.Stats) {
	if x.ahead.stopLogged {
		return
	}
	x.ahead.stopLogged = true
	_ = level.Info(x.gateway.Logger).Log("msg", "read-ahead stopped at a bound", "id", x.call.ID, "organisation", x.organisationName(),
		"server", server, "cause", cause, "bytes", s.MaxHeld, "read_ahead", s.Bytes)
}

// logReadAhead logs the totals of a request whose response was stopped at a bound.
func (x *exchange) logReadAhead() {
	if t := x.ahead.total; t.Stops > 0 {
		_ = level.Info(x.gateway.Logger).Log("msg", "read-ahead totals", "id", x.call.ID, "organisation", x.organisationName(),
			"bytes", t.MaxHeld, "read_ahead", t.Bytes, "stops", t.Stops, "stopped_ms", t.Stopped.Milliseconds())
	}
}
