// Package announce distributes the results of store checks among boxes. One box polls the
// store for its revision and announces the result and recent changes to the others by
// datagram, which saves them the call. A box that receives no announcement checks the store
// itself, so a lost datagram or a network partition costs extra calls but not correctness.
package announce

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
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
	"headhill.example/headhill/pkg/storerev"
)

// Timing configures how often the store is checked.
type Timing struct {
	// Interval is the minimum time between checks. Stagger is the range over which the checks
	// of different boxes are spread after that, so that usually only one box checks.
	Interval time.Duration
	Stagger  time.Duration
}

// Deps are the dependencies of a Checker.
type Deps struct {
	Port   *datagram.Port
	Timing func() Timing
	// Check queries the store. It returns false if the store did not respond.
	Check func(context.Context) (directory.Check, bool)
	// RefreshRoster reads part of the roster, which is cheaper than a check. It reports whether
	// the number of known boxes has grown.
	RefreshRoster func(context.Context) bool
	// RosterDigest returns a hash of the boxes that this box knows. complete is set if it reads all of them with each
	// check.
	RosterDigest func() (digest uint64, complete bool)
	// Peers returns the addresses of the other boxes.
	Peers func() []*net.UDPAddr
	// Rank returns the index of this box in the order in which boxes check. Boxes with the
	// same roster agree on it.
	Rank      func() int
	Directory *directory.Directory
	// Eras is informed of the store's era in the announcements of other boxes.
	Eras   *storerev.Tracker
	Logger log.Logger
}

// datagramKind is the kind of announcements.
const datagramKind = "announce"

// Checker takes turns with its peers to check the store.
type Checker struct {
	Deps
	inbox chan message
	// unknownSender signals a datagram from a box that is not in the roster yet.
	unknownSender chan struct{}
	// rosterComparedAt is when a refresh was last requested for a roster that differs. Only Run uses it.
	rosterComparedAt time.Time
}

// New returns a Checker and registers its handlers on the port and the directory.
func New(d Deps) *Checker {
	c := &Checker{Deps: d, inbox: make(chan message, 64), unknownSender: make(chan struct{}, 1)}
	d.Directory.OnNotification(c.announceNotification)
	d.Port.Handle(datagramKind, c.receive)
	d.Port.OnUnknownSender(c.RequestRosterRefresh)
	return c
}

// message is an announcement of a check or a change. It carries ages instead of times, since
// wall clocks differ between boxes.
type message struct {
	// Level is the forms level that the sender reads.
	Level int `json:"level,omitempty"`
	// Era is the era of the store to which all revisions in the message belong, except that of the
	// evacuations.
	Era   uint64        `json:"era,omitempty"`
	Check *checkMessage `json:"check,omitempty"`
	Delta *deltaMessage `json:"delta,omitempty"`
	// TableChanged is the revision of a new table, Table the delta that leads to it.
	TableChanged uint64         `json:"table_changed,omitempty"`
	Table        *routing.Delta `json:"table,omitempty"`
	// ServersChanged is the revision of a new server list whose delta is too long to send.
	ServersChanged uint64 `json:"servers_changed,omitempty"`
	// Evacuations lists all evacuated halls.
	Evacuations *evacuationsMessage `json:"evacuations,omitempty"`

	received time.Time
}

// evacuationsMessage lists all evacuated halls, and the time since they were read from the store.
type evacuationsMessage struct {
	directory.EvacuationsMessage
	AgeMillis int64 `json:"age_ms"`
}

type checkMessage struct {
	AgeMillis      int64  `json:"age_ms"`
	Revision       uint64 `json:"revision"`
	TableChanged   uint64 `json:"table_changed"`
	ServersChanged uint64 `json:"servers_changed"`
	// RosterDigest is a hash of the boxes that the check has read; zero if it has not read all.
	RosterDigest uint64 `json:"roster,omitempty"`
}

type deltaMessage struct {
	From   uint64                  `json:"from"`
	To     uint64                  `json:"to"`
	Events []directory.ServerEvent `json:"events"`
}

const (
	// maxTransitTime is the assumed maximum time between sending and receiving a datagram.
	maxTransitTime = 50 * time.Millisecond
	// maxAge is the maximum accepted age of a check.
	maxAge = 10 * time.Second
	// maxEvacuationsAge is the age to which older evacuations are limited, so that it does not overflow.
	maxEvacuationsAge = 24 * time.Hour
	// minRosterRefreshInterval is the minimum time between two refreshes of the roster.
	minRosterRefreshInterval = 2 * time.Second
)

// Run checks the store until ctx ends. Messages are handled while a check is in progress.
func (c *Checker) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	sched := schedule{timer: time.NewTimer(c.untilNextCheck()), checkDone: make(chan struct{}, 1)}
	rosterGrown := make(chan struct{}, 1)
	defer sched.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			if c.handle(m) {
				sched.timer.Reset(c.untilNextCheck())
			}
		case <-c.unknownSender:
			if sched.beginRosterRefresh() {
				wg.Go(func() { c.refreshRoster(ctx, rosterGrown) })
			}
		case <-rosterGrown:
			// The box that was discovered is checking the store.
			sched.timer.Reset(c.untilNextCheck())
		case <-sched.timer.C:
			if sched.beginCheck() {
				wg.Go(func() {
					c.checkOnce(ctx)
					sched.checkDone <- struct{}{}
				})
			}
		case <-sched.checkDone:
			sched.checking = false
			sched.timer.Reset(c.untilNextCheck())
		}
	}
}

// handle processes a message. It returns true for a check that replaces the next one of this box.
// A sender with a lower forms level does not read everything that this box does, so its deltas are
// ignored and its checks do not replace those of this box.
func (c *Checker) handle(m message) bool {
	if err := c.Eras.Observe(m.Era); err != nil {
		_ = level.Debug(c.Logger).Log("msg", "announcement of an earlier era ignored", "era", m.Era, "err", err)
		return false
	}
	complete := forms.Complete(m.Level)
	if !complete {
		m = m.withoutDeltas()
	}
	c.Directory.ApplyNotification(m.notification())
	if m.Check == nil {
		return false
	}
	c.Directory.ApplyCheck(m.check())
	c.compareRoster(m.Check.RosterDigest)
	return complete
}

// compareRoster requests a refresh of the roster if it differs from that of a box that has read all of it. Checks of
// others replace those of this box, with which it would read the roster, and boxes that it does not know need not send it
// anything.
func (c *Checker) compareRoster(theirs uint64) {
	own, _ := c.RosterDigest()
	if theirs == 0 || theirs == own || clock.Since(c.rosterComparedAt) < time.Duration(len(c.Peers()))*rosterRefreshSpacing {
		return
	}
	c.rosterComparedAt = clock.Now()
	_ = level.Debug(c.Logger).Log("msg", "roster differs from that of another box", "outcome", "read again")
	c.RequestRosterRefresh()
}

// rosterRefreshSpacing is the minimum time between two refreshes for a roster that differs, for each other box. In a large
// fleet the roster is long, and changes often.
const rosterRefreshSpacing = 20 * time.Millisecond

// check returns the check announced by a message.
func (m message) check() directory.Check {
	age := time.Duration(m.Check.AgeMillis) * time.Millisecond
	return directory.Check{
		AskedAt: m.received.Add(-age - maxTransitTime), Revision: m.revision(m.Check.Revision),
		TableChanged: m.revision(m.Check.TableChanged), ServersChanged: m.revision(m.Check.ServersChanged),
	}
}

// revision returns the revision with a number in the message. Zero stands for none.
func (m message) revision(number uint64) storerev.Revision {
	if number == 0 {
		return 0
	}
	// Valid messages hold no revision that is out of range.
	r, _ := storerev.New(m.Era, number)
	return r
}

// notification returns the changes announced by a message.
func (m message) notification() directory.Notification {
	n := directory.Notification{TableChanged: m.revision(m.TableChanged), TableDelta: m.Table, ServersChanged: m.revision(m.ServersChanged)}
	if m.Delta != nil {
		n.ServersDelta = &directory.Delta{From: m.revision(m.Delta.From), To: m.revision(m.Delta.To), Events: m.Delta.Events}
	}
	if m.Evacuations != nil {
		age := time.Duration(min(m.Evacuations.AgeMillis, maxEvacuationsAge.Milliseconds())) * time.Millisecond
		// Valid messages hold no revision that is out of range.
		evacuations, _ := m.Evacuations.Evacuations()
		n.Evacuations, n.EvacuationsAskedAt = &evacuations, m.received.Add(-age-maxTransitTime)
	}
	return n
}

// rosterRefreshJitter spreads the roster refreshes of boxes that discover the same box.
const rosterRefreshJitter = 200 * time.Millisecond

// refreshRoster refreshes the roster after a random delay and signals if it has grown.
func (c *Checker) refreshRoster(ctx context.Context, rosterGrown chan<- struct{}) {
	pause.For(ctx, rand.N(rosterRefreshJitter))
	if ctx.Err() != nil || !c.RefreshRoster(ctx) {
		return
	}
	select {
	case rosterGrown <- struct{}{}:
	default:
	}
}

func (c *Checker) checkOnce(ctx context.Context) {
	check, ok := c.Check(ctx)
	if !ok {
		return
	}
	c.announceCheck(check)
	// The announcement is repeated, since every box that misses it checks the store itself.
	pause.For(ctx, repeatDelay)
	c.announceCheck(check)
}

// repeatDelay is the time after which a check is announced again.
const repeatDelay = 30 * time.Millisecond

func (c *Checker) announceCheck(check directory.Check) {
	digest, complete := c.RosterDigest()
	if !complete {
		digest = 0
	}
	c.broadcast(message{Era: check.Revision.Era(), Check: &checkMessage{
		RosterDigest: digest,
		AgeMillis:    clock.Since(check.AskedAt).Milliseconds(), Revision: check.Revision.Number(),
		TableChanged: check.TableChanged.Number(), ServersChanged: check.ServersChanged.Number(),
	}, Evacuations: c.evacuations()})
}

// evacuations returns the evacuated halls, or nil if they are not known yet.
func (c *Checker) evacuations() *evacuationsMessage {
	e := c.Directory.Evacuations()
	if e.Revision == 0 {
		return nil
	}
	age := clock.Since(c.Directory.EvacuationsConfirmedAt())
	return &evacuationsMessage{EvacuationsMessage: e.Message(), AgeMillis: age.Milliseconds()}
}

func (c *Checker) announceNotification(n directory.Notification) {
	m := message{Era: n.Era(), TableChanged: n.TableChanged.Number(), Table: n.TableDelta, ServersChanged: n.ServersChanged.Number()}
	if n.Evacuations != nil {
		m.Evacuations = c.evacuations()
	}
	if n.ServersDelta != nil {
		m.Delta = &deltaMessage{From: n.ServersDelta.From.Number(), To: n.ServersDelta.To.Number(), Events: n.ServersDelta.Events}
	}
	c.broadcast(m)
}

// broadcast sends a message to all other boxes. Deltas are omitted if the message is too long for
// a datagram, in which case the receivers fetch the change.
func (c *Checker) broadcast(m message) {
	m.Level = forms.Level
	if !c.send(m) {
		c.send(m.withoutDeltas())
	}
}

// send sends a message to all peers. It returns false if the message is too long.
func (c *Checker) send(m message) bool {
	body, err := json.Marshal(m)
	return err == nil && c.Port.Send(datagramKind, body, c.Peers()...)
}

// withoutDeltas returns the message with deltas replaced by revisions.
func (m message) withoutDeltas() message {
	if m.Delta != nil {
		m.ServersChanged = m.Delta.To
	}
	m.Delta, m.Table = nil, nil
	return m
}

// receive queues an announcement for Run. It is dropped if the queue is full.
func (c *Checker) receive(d datagram.Message) {
	m, err := parse(d)
	if err != nil {
		_ = level.Debug(c.Logger).Log("msg", "announcement dropped", "from", d.Box, "bytes", len(d.Body), "err", err)
		return
	}
	select {
	case c.inbox <- m:
	default:
	}
}

// RequestRosterRefresh schedules a refresh of the roster.
func (c *Checker) RequestRosterRefresh() {
	select {
	case c.unknownSender <- struct{}{}:
	default:
	}
}

// errInvalid is returned for a message with an invalid age or revision.
var errInvalid = errors.New("age or revision out of range")

// parse decodes and validates a message.
func parse(d datagram.Message) (message, error) {
	m := message{received: d.Received.Add(-d.Queued)}
	if err := json.Unmarshal(d.Body, &m); err != nil {
		return m, err
	}
	if !m.valid() {
		return m, errInvalid
	}
	return m, nil
}

func (m message) valid() bool {
	if m.Evacuations != nil && (m.Evacuations.AgeMillis < 0 || m.Evacuations.Revision == 0) {
		return false
	}
	if !m.revisionsInRange() {
		return false
	}
	return m.Check == nil || m.Check.AgeMillis >= 0 && m.Check.AgeMillis <= maxAge.Milliseconds()
}

// revisionsInRange reports whether all revisions in the message can be represented.
func (m message) revisionsInRange() bool {
	numbers := []uint64{m.TableChanged, m.ServersChanged}
	if m.Check != nil {
		numbers = append(numbers, m.Check.Revision, m.Check.TableChanged, m.Check.ServersChanged)
	}
	if m.Delta != nil {
		numbers = append(numbers, m.Delta.From, m.Delta.To)
	}
	if m.Evacuations != nil {
		if _, err := m.Evacuations.Evacuations(); err != nil {
			return false
		}
	}
	_, err := storerev.New(m.Era, slices.Max(numbers))
	return err == nil
}
