// Package announce shares among the boxes what one of them has read of the store:
// that nothing has changed, or what has. One box asks the store for its revision and
// tells the others by datagram, which spares them the question. A box that hears
// nothing asks for itself, so that a lost datagram or a cut costs one call more and
// no correctness.
package announce

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/sourcegraph/conc"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/routing"
)

// Timing says how often the store is checked.
type Timing struct {
	// Interval is the least time between checks, Stagger what is added so that mostly one box
	// asks.
	Interval time.Duration
	Stagger  time.Duration
}

// Deps are what a Checker is built on.
type Deps struct {
	Port   *datagram.Port
	Timing func() Timing
	// Check asks the store. It returns false if there was no answer.
	Check func(context.Context) (directory.Check, bool)
	// RefreshRoster looks who else is there, which costs less than a check. It returns whether that
	// made any box known.
	RefreshRoster func(context.Context) bool
	// Peers are the addresses of the other boxes.
	Peers func() []*net.UDPAddr
	// Rank is this box's place in the order in which boxes check, on which those that know
	// the same others agree; zero for the first.
	Rank      func() int
	Directory *directory.Directory
	Logger    log.Logger
}

// kind marks the datagrams of this package.
const kind = "announce"

// Checker checks the store by turns with its peers.
type Checker struct {
	Deps
	heard chan message
	// unknown is told when a box that is not a peer yet is heard.
	unknown chan struct{}
}

// New returns a checker.
func New(d Deps) *Checker {
	c := &Checker{Deps: d, heard: make(chan message, 64), unknown: make(chan struct{}, 1)}
	d.Directory.OnNotification(c.tellNotice)
	d.Port.Handle(kind, c.receive)
	d.Port.OnUnknownSender(c.RequestRosterRefresh)
	return c
}

// message is one announcement: a check, or a notice of a change. Boxes need not agree
// on the time of day, so it carries an age.
type message struct {
	// Level is that of the forms that the sender reads.
	Level int           `json:"level,omitempty"`
	Check *checkMessage `json:"check,omitempty"`
	Delta *deltaMessage `json:"delta,omitempty"`
	// TableChanged is the revision of a table that a box has just seen, Table what has
	// changed in it.
	TableChanged uint64         `json:"table_changed,omitempty"`
	Table        *routing.Delta `json:"table,omitempty"`
	// ServersChanged is the revision of a list that a box has just seen, where what has
	// changed in it is too long to be told.
	ServersChanged uint64 `json:"servers_changed,omitempty"`
	// Evacuations are all halls that are evacuated, read at the time of the check or just now.
	Evacuations *evacuationsMessage `json:"evacuations,omitempty"`

	received time.Time
}

// evacuationsMessage tells all halls that are evacuated, and how long ago the store said so.
type evacuationsMessage struct {
	directory.Evacuations
	AgeMillis int64 `json:"age_ms"`
}

type checkMessage struct {
	AgeMillis      int64  `json:"age_ms"`
	Revision       uint64 `json:"revision"`
	TableChanged   uint64 `json:"table_changed"`
	ServersChanged uint64 `json:"servers_changed"`
}

type deltaMessage struct {
	From   uint64                  `json:"from"`
	To     uint64                  `json:"to"`
	Events []directory.ServerEvent `json:"events"`
}

const (
	// flight is how long a datagram is assumed to be on its way at the most.
	flight  = 50 * time.Millisecond
	ageMost = 10 * time.Second
	// unknownPause is the least time between two looks for boxes that are not known yet.
	unknownPause = 2 * time.Second
)

// Run checks until ctx ends. Messages are taken in also while a check is under way.
func (c *Checker) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	t := turns{timer: time.NewTimer(c.next()), ended: make(chan struct{}, 1)}
	grown := make(chan struct{}, 1)
	defer t.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.heard:
			if c.take(m) {
				t.timer.Reset(c.next())
			}
		case <-c.unknown:
			if t.beginLook() {
				wg.Go(func() { c.look(ctx, grown) })
			}
		case <-grown:
			// Who was not known until now is checking the store.
			t.timer.Reset(c.next())
		case <-t.timer.C:
			if t.begin() {
				wg.Go(func() {
					c.checkOnce(ctx)
					t.ended <- struct{}{}
				})
			}
		case <-t.ended:
			t.checking = false
			t.timer.Reset(c.next())
		}
	}
}

// take takes a message in. It returns true for a check, which spares this box its
// own. A box that reads less of the store than this one only says that something has changed, and
// has not looked for all that this one acts on.
func (c *Checker) take(m message) bool {
	whole := forms.Complete(m.Level)
	if !whole {
		m = m.brief()
	}
	c.Directory.ApplyNotification(m.notice())
	if m.Check == nil {
		return false
	}
	age := time.Duration(m.Check.AgeMillis) * time.Millisecond
	c.Directory.ApplyCheck(directory.Check{
		AskedAt: m.received.Add(-age - flight), Revision: m.Check.Revision,
		TableChanged: m.Check.TableChanged, ServersChanged: m.Check.ServersChanged,
	})
	return whole
}

// notice is what a message tells of changes.
func (m message) notice() directory.Notification {
	n := directory.Notification{TableChanged: m.TableChanged, TableDelta: m.Table, ServersChanged: m.ServersChanged}
	if m.Delta != nil {
		n.ServersDelta = &directory.Delta{From: m.Delta.From, To: m.Delta.To, Events: m.Delta.Events}
	}
	if m.Evacuations != nil {
		age := time.Duration(m.Evacuations.AgeMillis) * time.Millisecond
		n.Evacuations, n.EvacuationsAskedAt = &m.Evacuations.Evacuations, m.received.Add(-age-flight)
	}
	return n
}

// lookSpread is the time over which the looks of many boxes are spread that have heard of the
// same one.
const lookSpread = 200 * time.Millisecond

// look looks who else is there, and tells whether any box is known now that was not.
func (c *Checker) look(ctx context.Context, grown chan<- struct{}) {
	pause.For(ctx, rand.N(lookSpread))
	if ctx.Err() != nil || !c.RefreshRoster(ctx) {
		return
	}
	select {
	case grown <- struct{}{}:
	default:
	}
}

func (c *Checker) checkOnce(ctx context.Context) {
	check, ok := c.Check(ctx)
	if !ok {
		return
	}
	c.tellCheck(check)
	// Whoever loses what is told asks for itself: of hundreds there would always be some.
	pause.For(ctx, repeatAfter)
	c.tellCheck(check)
}

// repeatAfter is when a check is told once more.
const repeatAfter = 30 * time.Millisecond

func (c *Checker) tellCheck(check directory.Check) {
	c.tell(message{Check: &checkMessage{
		AgeMillis: clock.Since(check.AskedAt).Milliseconds(), Revision: check.Revision,
		TableChanged: check.TableChanged, ServersChanged: check.ServersChanged,
	}, Evacuations: c.evacuations()})
}

// evacuations tells what this box knows of evacuated halls; nil if it knows nothing yet.
func (c *Checker) evacuations() *evacuationsMessage {
	e := c.Directory.Evacuations()
	if e.Revision == 0 {
		return nil
	}
	age := clock.Since(c.Directory.EvacuationsConfirmedAt())
	return &evacuationsMessage{Evacuations: e, AgeMillis: age.Milliseconds()}
}

func (c *Checker) tellNotice(n directory.Notification) {
	m := message{TableChanged: n.TableChanged, Table: n.TableDelta}
	if n.Evacuations != nil {
		m.Evacuations = c.evacuations()
	}
	if n.ServersDelta != nil {
		m.Delta = &deltaMessage{From: n.ServersDelta.From, To: n.ServersDelta.To, Events: n.ServersDelta.Events}
	}
	c.tell(m)
}

// tell sends a message to all other boxes. One that is lost makes its receiver ask for
// itself, and so does a change that is too long for a datagram.
func (c *Checker) tell(m message) {
	m.Level = forms.Level
	if !c.send(m) {
		c.send(m.brief())
	}
}

// send returns false if a message is too long.
func (c *Checker) send(m message) bool {
	body, err := json.Marshal(m)
	return err == nil && c.Port.Send(kind, body, c.Peers()...)
}

// brief is a message without what has changed: only that it has.
func (m message) brief() message {
	if m.Delta != nil {
		m.ServersChanged = m.Delta.To
	}
	m.Delta, m.Table = nil, nil
	return m
}

// receive takes a datagram in. While the checker is busy more are dropped.
func (c *Checker) receive(d datagram.Message) {
	m, err := parse(d)
	if err != nil {
		_ = level.Debug(c.Logger).Log("msg", "announcement dropped", "from", d.Box, "bytes", len(d.Body), "err", err)
		return
	}
	select {
	case c.heard <- m:
	default:
	}
}

// RequestRosterRefresh makes this box look again which boxes there are, soon.
func (c *Checker) RequestRosterRefresh() {
	select {
	case c.unknown <- struct{}{}:
	default:
	}
}

// errImpossible is a message that no box can have meant.
var errImpossible = errors.New("its ages or revisions make no sense")

// parse reads a message.
func parse(d datagram.Message) (message, error) {
	m := message{received: d.Received}
	if err := json.Unmarshal(d.Body, &m); err != nil {
		return m, err
	}
	if !m.valid() {
		return m, errImpossible
	}
	return m, nil
}

func (m message) valid() bool {
	if m.Evacuations != nil && (m.Evacuations.AgeMillis < 0 || m.Evacuations.Revision == 0) {
		return false
	}
	return m.Check == nil || m.Check.AgeMillis >= 0 && m.Check.AgeMillis <= ageMost.Milliseconds()
}
