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
	assert.Equal(t, named(2).Limit, b.Limit(server, at(5)))
	b.Note(server, Signals{}, at(0.5), at(2))
	assert.Equal(t, named(2).Limit, b.Limit(server, at(5)), "an answer to an earlier request proves nothing")
	b.Note(server, named(8), at(0.5), at(2))
	assert.Equal(t, named(2).Limit, b.Limit(server, at(5)), "nor does it raise the limit")
	b.Note(server, named(1), at(0.5), at(2))
	assert.Equal(t, named(1).Limit, b.Limit(server, at(5)), "a stricter word is taken from any answer")
	b.Note(server, named(8), at(2.1), at(2.5))
	assert.Equal(t, named(8).Limit, b.Limit(server, at(5)))
	b.Note(server, Signals{}, at(2.6), at(3))
	assert.Equal(t, Limit{}, b.Limit(server, at(5)))
	b.Note(server, Signals{Unreadable: errors.New("unreadable")}, at(4), at(5))
	assert.Equal(t, Limit{}, b.Limit(server, at(5)))
}

func TestSignalsHoldForOneLife(t *testing.T) {
	b := NewBook(log.NewNopLogger(), func() {})
	b.Note(server, named(2), at(0), at(1))
	assert.Equal(t, Limit{}, b.Limit(routing.Life{ID: server.ID, Started: server.Started + 1}, at(1)))
	assert.Equal(t, map[string]int64{"limit": 1}, b.Counts(at(1)))
}
