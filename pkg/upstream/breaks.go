package upstream

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/pause"
)

const (
	// breaksBefore and breaksAfter are how long before and after the orderly close of a connection another one may be lost for
	// both to be the same event. A response waits for breaksAfter at its end, so that is short.
	breaksBefore = 10 * time.Millisecond
	breaksAfter  = 5 * time.Millisecond
	// maxBreaks is the number of breaks that are kept of a server, breakRetention how long they are.
	maxBreaks      = 8
	breakRetention = time.Second
)

// lostConn is a connection that was lost within a response.
type lostConn struct{ opened, at time.Time }

// breaks holds the connections that were lost within a response, by server key.
type breaks struct {
	mu      sync.Mutex
	byKey   map[string][]lostConn
	sweptAt time.Time
}

func (b *breaks) add(key string, l lostConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byKey == nil {
		b.byKey = make(map[string][]lostConn)
	}
	if l.at.Sub(b.sweptAt) >= breakRetention {
		b.sweptAt = l.at
		for other, lost := range b.byKey {
			if l.at.Sub(lost[len(lost)-1].at) >= breakRetention {
				delete(b.byKey, other)
			}
		}
	}
	lost := append(b.byKey[key], l)
	b.byKey[key] = lost[max(0, len(lost)-maxBreaks):]
}

func (b *breaks) of(key string) []lostConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.byKey[key])
}

// closedTogether reports whether a connection was closed in order in the course of an event that ended others of the server too,
// given when it was opened and closed: one that was open beside it was lost within a response at that time. Other responses that
// end in order say nothing, as some of many do at the same time by chance.
func closedTogether(opened, closed time.Time, lost []lostConn) bool {
	return slices.ContainsFunc(lost, func(l lostConn) bool {
		beside := l.opened.Before(closed) && opened.Before(l.at)
		return beside && !l.at.Before(closed.Add(-breaksBefore)) && !l.at.After(closed.Add(breaksAfter))
	})
}

// isBreak reports whether an error of a read shows that the server ended the connection within a response. The loss of a box on
// the way, silence and a close by this box don't.
func isBreak(err error) bool {
	var lost *PathLostError
	return (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)) && !errors.As(err, &lost)
}

// recordBreak records that the connection of the response was lost.
func (x *exchange) recordBreak() {
	x.client.breaks.add(x.serverKey, lostConn{opened: x.conn.opened, at: clock.Now()})
}

// RecordCut records that the response, which ended with its connection, ended where it can't be complete.
func (r *Response) RecordCut() {
	if r.End() == EndClosed {
		r.exchange.recordBreak()
	}
}

// ClosedTogether reports whether the server closed the connection of the response, in order and at a time, together with one of
// another response that was not complete. Then this one may not be either. It blocks for breaksAfter at most, and not at all if no
// other connection carries a response.
func (r *Response) ClosedTogether(ctx context.Context, closed time.Time) bool {
	c, key := r.exchange.client, r.exchange.serverKey
	if closedTogether(r.ConnOpened, closed, c.breaks.of(key)) {
		return true
	}
	if !c.busy.hasOther(key, r.exchange.conn) {
		return false
	}
	pause.For(ctx, clock.Until(closed.Add(breaksAfter)))
	return closedTogether(r.ConnOpened, closed, c.breaks.of(key))
}
