package signals

import (
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/routing"
)

var (
	begin  = time.Now()
	server = routing.Life{ID: "i-1", Started: 7}
)

func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

func named(perSecond float64) Signals {
	return Signals{Limit: Limit{Named: true, PerSecond: perSecond}}
}

func TestLimitHoldsUntilALaterRequestIsAnsweredWithoutIt(t *testing.T) {
	b := NewBook(log.NewNopLogger(), func() {})
	b.Note(server, named(2), at(0), at(1))
	assert.Equal(t, named(2).Limit, b.Of(KeyOf(server), at(5)).Limit)
	b.Note(server, Signals{}, at(0.5), at(2))
	assert.Equal(t, named(2).Limit, b.Of(KeyOf(server), at(5)).Limit, "an answer to an earlier request proves nothing")
	b.Note(server, named(8), at(0.5), at(2))
	assert.Equal(t, named(2).Limit, b.Of(KeyOf(server), at(5)).Limit, "nor does it raise the limit")
	b.Note(server, named(1), at(0.5), at(2))
	assert.Equal(t, named(1).Limit, b.Of(KeyOf(server), at(5)).Limit, "a stricter word is taken from any answer")
	b.Note(server, named(8), at(2.1), at(2.5))
	assert.Equal(t, named(8).Limit, b.Of(KeyOf(server), at(5)).Limit)
	b.Note(server, Signals{}, at(2.6), at(3))
	assert.Equal(t, Limit{}, b.Of(KeyOf(server), at(5)).Limit)
	b.Note(server, Signals{Limit: Limit{Unclear: true}, Unreadable: errors.New("unreadable")}, at(4), at(5))
	assert.Equal(t, Limit{}, b.Of(KeyOf(server), at(5)).Limit)
}

func TestSignalsHoldForOneLife(t *testing.T) {
	b := NewBook(log.NewNopLogger(), func() {})
	b.Note(server, named(2), at(0), at(1))
	assert.Equal(t, Limit{}, b.Of(KeyOf(routing.Life{ID: server.ID, Started: server.Started + 1}), at(1)).Limit)
	assert.Equal(t, map[string]int64{"limit": 1, "leaving": 0, "rest": 0}, b.Counts(at(1)))
}

func TestLeavingIsNotTakenBack(t *testing.T) {
	b, other := NewBook(log.NewNopLogger(), func() {}), NewBook(log.NewNopLogger(), func() {})
	b.Note(server, Signals{Leaving: true}, at(0), at(1))
	b.Note(server, Signals{}, at(2), at(3))
	assert.True(t, b.Of(KeyOf(server), at(3)).Leaving)
	other.Note(server, named(2), at(2), at(3))
	other.SetTold(b.Report(at(3)), at(3))
	assert.True(t, other.Of(KeyOf(server), at(3)).Leaving, "others are told")
	other.Note(server, Signals{}, at(4), at(5))
	assert.True(t, other.Of(KeyOf(server), at(5)).Leaving)
	assert.Empty(t, b.Report(at(30)), "but not for ever")
	assert.True(t, b.Of(KeyOf(server), at(300)).Leaving)
	assert.False(t, b.Of(KeyOf(routing.Life{ID: server.ID, Started: server.Started + 1}), at(3)).Leaving, "a new life begins anew")
}

func TestRestIsNotShortened(t *testing.T) {
	b := NewBook(log.NewNopLogger(), func() {})
	rest := func(seconds float64) Signals { return Signals{Rest: time.Duration(seconds * float64(time.Second))} }
	of := func(seconds float64) Rest { return b.Of(KeyOf(server), at(seconds)).Rest }
	b.Note(server, rest(3), at(0), at(1))
	b.Note(server, rest(0.1), at(0.5), at(1.1))
	b.Note(server, Signals{}, at(0.5), at(2))
	assert.Equal(t, Resting, of(3.9), "neither by a shorter one nor by a call that was under way")
	assert.Equal(t, Waking, of(4.6))
	b.Note(server, Signals{}, at(0.9), at(4.7))
	assert.Equal(t, Waking, of(4.8))
	b.Note(server, Signals{}, at(4.8), at(4.9))
	assert.Equal(t, Awake, of(5))
	b.Note(server, rest(1e9), at(5), at(5))
	assert.Equal(t, Resting, of(5+restMost.Seconds()-1))
	assert.Equal(t, Waking, of(5+restMost.Seconds()+1), "no rest lasts for ever")
	assert.Empty(t, b.Report(at(5)), "a rest is meant for this box")
}
