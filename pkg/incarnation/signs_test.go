package incarnation

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/routing"
)

// Guards against a restart that other boxes don't learn of, as no stream begins at the box that noticed a sign of it.
func TestServerIsAskedAfterASign(t *testing.T) {
	for name, sign := range map[string]func(*fakeTracker, Connection){
		"idle connection closed": func(f *fakeTracker, c Connection) { f.RecordIdleClosed(c, false) },
		"last connection lost":   func(f *fakeTracker, c Connection) { f.RecordLost(c, true) },
	} {
		for name, c := range map[string]struct {
			started int64
			// after is how many queries get no answer.
			after   int32
			certain bool
		}{
			name + ", same process": {started: 1, after: 0},
			name + ", restarted":    {started: 2, after: 2, certain: true},
		} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeTracker()
					f.list.entries["a"] = Entry{Incarnation: f.server.Incarnation(), Version: "v1", ListedAt: clock.Now().Add(-time.Minute)}
					var asked, ends atomic.Int32
					f.Deps.Announce = func(r Restart) {
						if r.Certain {
							ends.Add(1)
						}
					}
					f.Deps.Query = func(s *routing.Server) bool {
						if asked.Add(1) > c.after {
							f.RecordReport(s, Answer{Started: c.started, Sent: clock.Now(), Received: clock.Now()})
						}
						return true
					}
					sign(f, Connection{Server: f.server, Opened: clock.Now().Add(-time.Second), Broken: clock.Now()})
					time.Sleep(10 * time.Second)
					assert.Equal(t, c.after+1, asked.Load())
					assert.Equal(t, c.certain, f.MayHaveRestarted(f.server, true, clock.Now()))
					assert.Equal(t, c.certain, ends.Load() > 0, "other boxes are told once the server has denied its entry")
				})
			})
		}
	}
}

// Guards against messages to all boxes whenever a server closes an idle connection, while nothing depends on its version.
func TestSignThatIsNotAnnouncedStaysHere(t *testing.T) {
	f := newFakeTracker()
	f.RecordIdleClosed(Connection{Server: f.server, Opened: f.at(3), Broken: f.at(5)}, false)
	assert.True(t, f.MayHaveRestarted(f.server, false, f.at(5.1)))
	assert.Empty(t, f.announced)
}

// Guards against a certain restart that is overlooked as idle connections to other servers are found closed at the same time.
func TestIdleClosesOfOtherServersDoNotHideARestart(t *testing.T) {
	f := newFakeTracker()
	for _, id := range []string{"b", "c"} {
		f.RecordIdleClosed(Connection{Server: &routing.Server{ID: id, Address: id}, Opened: f.at(2), Broken: f.at(5)}, true)
	}
	f.lose(f.server, false, 5.01)
	f.lose(f.server, false, 5.02)
	f.lose(f.server, true, 5.03)
	assert.True(t, f.MayHaveRestarted(f.server, true, f.at(5.1)))
	assert.NotEmpty(t, f.announced)
}

// Guards against a race between the question after a sign and notices of other boxes.
func TestNoticesArriveWhileServerIsAsked(t *testing.T) {
	var wg conc.WaitGroup
	f := newFakeTracker()
	f.Deps.Announce = func(Restart) {}
	f.Deps.Query = func(*routing.Server) bool { return true }
	f.Deps.Later = func(_ time.Duration, call func(time.Time)) { wg.Go(func() { call(f.at(5.1)) }) }
	for i := range 100 {
		at := f.at(5 + float64(i)/1e6)
		f.RecordIdleClosed(Connection{Server: f.server, Opened: f.at(3), Broken: at}, false)
		f.RecordRemote("b", Restart{Server: f.server.ID, At: at, Certain: true})
		f.mu.Lock()
		f.remove(f.server.ID)
		f.mu.Unlock()
	}
	wg.Wait()
}
