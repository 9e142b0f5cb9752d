package incarnation

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

// fakeList is a list of servers that tests set.
type fakeList struct {
	entries              map[string]Entry
	confirmed, recovered time.Time
}

func (l *fakeList) ServerEntry(id string) (Entry, bool) { e, ok := l.entries[id]; return e, ok }
func (l *fakeList) ServersConfirmed() (confirmed, recovered time.Time) {
	return l.confirmed, l.recovered
}

// fakeTracker is a tracker of the server "a", whose entry has v1.
type fakeTracker struct {
	*Tracker
	list              *fakeList
	server            *routing.Server
	start             time.Time
	alive, linkFailed bool
	// runningSince and runningUntil are what connections prove, zero for nothing.
	runningSince, runningUntil time.Time
	announced                  []Restart
}

func newFakeTracker() *fakeTracker {
	f := &fakeTracker{start: time.Unix(1000, 0), server: &routing.Server{ID: "a", Address: "10.0.0.1:1", Version: "v1", Started: 1}}
	f.list = &fakeList{entries: map[string]Entry{"a": {Incarnation: f.server.Incarnation(), Version: "v1"}}}
	f.Tracker = New(Deps{
		List: f.list, Logger: log.NewNopLogger(), Announce: func(r Restart) { f.announced = append(f.announced, r) },
		Alive:      func(routing.Incarnation, time.Time, time.Time) bool { return f.alive },
		LinkFailed: func(string) bool { return f.linkFailed },
		Lifetime: func(routing.Incarnation, time.Time) (time.Time, time.Time, bool) {
			return f.runningSince, f.runningUntil, !f.runningSince.IsZero()
		},
	})
	return f
}

func (f *fakeTracker) at(seconds float64) time.Time {
	return f.start.Add(time.Duration(seconds * float64(time.Second)))
}

// report records that the process that started at a time answered at once when it was queried at another.
func (f *fakeTracker) report(started int64, at float64) {
	f.RecordReport(f.server, Answer{Started: started, Sent: f.at(at), Received: f.at(at + 0.001)})
}

// lose records that a connection broke that was opened at 3 s.
func (f *fakeTracker) lose(server *routing.Server, last bool, at float64) {
	f.RecordLost(Connection{Server: server, Opened: f.at(3), Broken: f.at(at)}, last)
}

// relist gives the server an entry with a version, of which the box learns at a time.
func (f *fakeTracker) relist(version string, at float64) {
	f.list.entries["a"] = Entry{Incarnation: routing.Incarnation{ID: "a", Started: 2}, Version: version, ListedAt: f.at(at)}
}

// versionOf returns the version of a connection that was opened at a time and is open or broke at another, "" if it is not
// certain.
func (f *fakeTracker) versionOf(opened, broken, now float64) string {
	c := Connection{Server: f.server, Opened: f.at(opened)}
	if broken > 0 {
		c.Broken = f.at(broken)
	}
	if v, ok := f.Version(c, f.at(now)); ok {
		return v
	}
	return ""
}

func TestVersionOfConnection(t *testing.T) {
	lost := func(f *fakeTracker) { f.lose(f.server, true, 5) }
	ended := func(f *fakeTracker) { f.RecordEnded(f.server, f.at(5)) }
	for name, c := range map[string]struct {
		record                    func(*fakeTracker)
		opened, broken, now       float64
		version                   string
		mayHaveRestarted, certain bool
	}{
		"nothing happened":                     {func(*fakeTracker) {}, 6, 0, 7, "v1", false, false},
		"a connection broke, older one":        {lost, 4, 0, 6, "v1", true, false},
		"a connection broke, newer one":        {lost, 6, 0, 6.1, "v1", true, false},
		"the process ended, older connection":  {ended, 4, 0, 6, "v1", true, true},
		"the process ended, newer connection":  {ended, 6, 0, 6.1, "", true, true},
		"the end was noticed late":             {ended, 4.8, 0, 6, "", true, true},
		"the connection broke by the same end": {ended, 4.8, 5, 6, "v1", true, true},
		"the process ended again":              {func(f *fakeTracker) { ended(f); f.RecordEnded(f.server, f.at(7)) }, 6, 7, 7, "", true, true},
		"all connections of this box broke":    {func(f *fakeTracker) { lost(f); f.lose(f.server, true, 5.01) }, 6, 0, 6.1, "", true, true},
		"connections broke one after the other": {func(f *fakeTracker) {
			lost(f)
			for i := range 5 {
				opened := 5.01 + float64(i)/50
				f.RecordLost(Connection{Server: f.server, Opened: f.at(opened), Broken: f.at(opened + 0.01)}, true)
			}
		}, 6, 0, 6.1, "v1", true, false},
		"connections of three boxes broke": {func(f *fakeTracker) {
			lost(f)
			f.RecordRemote("b", Restart{Server: "a", At: f.at(5.05), Opened: f.at(3), Certain: false})
			f.RecordRemote("c", Restart{Server: "a", At: f.at(5.1), Opened: f.at(3), Certain: false})
		}, 6, 0, 6.1, "", true, true},
		"one other box repeats itself": {func(f *fakeTracker) {
			for range 5 {
				f.RecordRemote("b", Restart{Server: "a", At: f.at(5.05), Opened: f.at(3), Certain: false})
			}
		}, 6, 0, 6.1, "v1", false, false},
		"bytes are read late of a process that has ended": {func(f *fakeTracker) { ended(f); f.alive = true }, 6, 0, 6.1, "", true, true},
		"one of two connections broke":                    {func(f *fakeTracker) { f.lose(f.server, false, 5) }, 6, 0, 6.1, "v1", false, false},
		"listed anew as an outage ends": {func(f *fakeTracker) {
			ended(f)
			f.relist("v2", 9)
			f.list.confirmed, f.list.recovered = f.at(9), f.at(9)
		}, 6, 0, 9.5, "", true, true},
		"opened between two restarts": {func(f *fakeTracker) {
			ended(f)
			f.relist("v2", 6.5)
			f.MayHaveRestarted(f.server, true, f.at(7))
			f.RecordEnded(f.server, f.at(8))
			f.relist("v3", 9.5)
		}, 7, 8, 10, "v2", false, false},
		"a process of before runs on, others noticed it": {func(f *fakeTracker) {
			f.RecordRemote("b", Restart{Server: "a", At: f.at(5), Certain: true})
			f.alive = true
		}, 6, 0, 6.1, "v1", false, false},
		"this box has lost its link": {func(f *fakeTracker) { lost(f); f.linkFailed = true }, 6, 0, 6.1, "v1", false, false},
		"this box has lost its link, another noticed it too": {func(f *fakeTracker) {
			ended(f)
			f.RecordRemote("b", Restart{Server: "a", At: f.at(5.05), Opened: f.at(3), Certain: true})
			f.linkFailed = true
		}, 6, 0, 6.1, "", true, true},
		"this box has lost its link after it found that the process had ended": {func(f *fakeTracker) {
			ended(f)
			f.linkFailed = true
		}, 6, 0, 6.1, "", true, true},
		"listed anew, opened since":                  {func(f *fakeTracker) { ended(f); f.relist("v2", 6.5) }, 6, 0, 7, "v2", false, false},
		"listed anew, opened before":                 {func(f *fakeTracker) { ended(f); f.relist("v2", 6.5) }, 4, 0, 7, "v1", false, false},
		"listed anew, opened at about the same time": {func(f *fakeTracker) { ended(f); f.relist("v2", 6.5) }, 4.8, 0, 7, "", false, false},
		"listed anew with the same version":          {func(f *fakeTracker) { ended(f); f.relist("v1", 6.5) }, 4.8, 0, 7, "v1", false, false},
		"listed too early to be of the new process":  {func(f *fakeTracker) { ended(f); f.relist("v2", 5.2) }, 6, 0, 7, "", true, true},
		"confirmed soon":                             {func(f *fakeTracker) { ended(f); f.list.confirmed = f.at(7) }, 6, 0, 7, "", true, true},
		"confirmed for long":                         {func(f *fakeTracker) { ended(f); f.list.confirmed = f.at(10) }, 6, 0, 10, "v1", false, false},
		"confirmed just after an outage":             {func(f *fakeTracker) { ended(f); f.list.confirmed, f.list.recovered = f.at(10), f.at(9) }, 6, 0, 10, "", true, true},
		"removed":                                    {func(f *fakeTracker) { ended(f); f.list.confirmed = f.at(10); delete(f.list.entries, "a") }, 6, 0, 10, "", false, false},
		"restored source has an earlier entry":       {func(f *fakeTracker) { f.RecordRestoredEntry("a", f.at(5)) }, 6, 0, 6.1, "", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTracker()
			c.record(f)
			assert.Equal(t, c.version, f.versionOf(c.opened, c.broken, c.now))
			assert.Equal(t, c.mayHaveRestarted, f.MayHaveRestarted(f.server, false, f.at(c.now)))
			assert.Equal(t, c.certain, f.MayHaveRestarted(f.server, true, f.at(c.now)))
		})
	}
}

// Guards against an entry that is relied on because nobody noticed a restart, where nobody could.
func TestEntryIsReliableOrProved(t *testing.T) {
	idle := func(f *fakeTracker) {
		f.RecordIdleClosed(Connection{Server: f.server, Opened: f.at(3), Broken: f.at(5)}, true)
	}
	for name, c := range map[string]struct {
		record      func(*fakeTracker)
		opened, now float64
		want        bool
	}{
		"nothing happened":                  {func(*fakeTracker) {}, 6, 6, true},
		"an idle connection was closed":     {idle, 5.1, 6, false},
		"a connection broke":                {func(f *fakeTracker) { f.lose(f.server, true, 5) }, 5.1, 6, false},
		"opened long before":                {func(f *fakeTracker) { idle(f); f.list.confirmed = f.at(6) }, 1.4, 6, true},
		"confirmed too early":               {func(f *fakeTracker) { idle(f); f.list.confirmed = f.at(9.4) }, 5.1, 9.4, false},
		"confirmed since":                   {func(f *fakeTracker) { idle(f); f.list.confirmed = f.at(9.7) }, 5.1, 9.7, true},
		"confirmed just after an outage":    {func(f *fakeTracker) { idle(f); f.list.confirmed, f.list.recovered = f.at(8), f.at(7) }, 5.1, 8, false},
		"an older connection ran beside it": {func(f *fakeTracker) { idle(f); f.list.confirmed, f.runningSince = f.at(6), f.at(1.4) }, 5.1, 6, true},
		"others ran beside it that are new": {func(f *fakeTracker) { idle(f); f.list.confirmed, f.runningSince = f.at(6), f.at(1.6) }, 5.1, 6, false},
		"listed anew":                       {func(f *fakeTracker) { idle(f); f.relist("v2", 5.5); f.list.confirmed = f.at(9) }, 5.1, 9, false},
		"restarted lately": {func(f *fakeTracker) {
			f.list.entries["a"] = Entry{Incarnation: f.server.Incarnation(), Version: "v1", RestartedAt: f.at(5)}
		}, 34, 34.9, false},
		"restarted some time ago": {func(f *fakeTracker) {
			f.list.entries["a"] = Entry{Incarnation: f.server.Incarnation(), Version: "v1", RestartedAt: f.at(5)}
		}, 34, 35.1, true},
		"restarted lately, others ran beside it": {func(f *fakeTracker) {
			f.list.entries["a"] = Entry{Incarnation: f.server.Incarnation(), Version: "v1", RestartedAt: f.at(5)}
			f.list.confirmed, f.runningSince = f.at(34), f.at(29)
		}, 34, 34, true},
		"this box has just started":      {func(f *fakeTracker) { f.Started = f.at(5) }, 6.9, 7, false},
		"this box started lately":        {func(f *fakeTracker) { f.Started = f.at(5) }, 34.9, 34.9, false},
		"this box started some time ago": {func(f *fakeTracker) { f.Started = f.at(5) }, 35.1, 35.1, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTracker()
			c.record(f)
			assert.Equal(t, c.want, f.Reliable(Connection{Server: f.server, Opened: f.at(c.opened)}, f.at(c.now)))
		})
	}
}

// Guards against a box that informs others of restarts of all servers when it has lost its own links.
func TestLossOfManyConnectionsIsNotAnnounced(t *testing.T) {
	f := newFakeTracker()
	for i, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		f.lose(&routing.Server{ID: id}, false, 5+float64(i)/1000)
		f.lose(&routing.Server{ID: id}, true, 5+float64(i)/1000)
	}
	assert.Less(t, len(f.announced), 2*massLoss)
	assert.False(t, f.MayHaveRestarted(&routing.Server{ID: "h"}, true, f.at(6)), "no process is held for ended")
}

// Guards against restarts that are announced again by each box that is informed of them.
func TestRestartsOfOtherBoxesAreNotAnnounced(t *testing.T) {
	f := newFakeTracker()
	f.RecordRemote("b", Restart{Server: "a", At: f.at(5), Certain: true})
	f.RecordRestoredEntry("a", f.at(6))
	assert.Empty(t, f.announced)
}

// Guards against doubt about servers that have another ID after each start, of which nothing can be proved.
func TestEntryWithoutStartIsReliable(t *testing.T) {
	f := newFakeTracker()
	f.server.Started = 0
	f.lose(f.server, true, 5)
	assert.True(t, f.Reliable(Connection{Server: f.server, Opened: f.at(5.1)}, f.at(6)))
}
