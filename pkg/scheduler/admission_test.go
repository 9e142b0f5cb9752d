package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// epoch is when the tests' virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// oneServer is a shard of one server and the given classes.
func oneServer(slots, queue int, classes ...Class) Config {
	return Config{Classes: classes, Servers: []Server{{Name: "s1", Slots: slots}}, QueueLimit: queue}
}

func counterClass() Class {
	return Class{Name: "counter", Tier: 1, Floor: 0.05, FloorPlaces: 2, GuaranteedPlaces: 20, FirstTokenTarget: time.Second}
}

func batchClass() Class {
	return Class{Name: "batch", Tier: 3, Floor: 0.05, FloorPlaces: 2, GuaranteedPlaces: 20}
}

// A shard that had little to do before a burst must not judge the burst by the
// few starts it made: they measured the demand, not what the servers can do.
func TestBurstAfterIdlePeriodIsNotRefused(t *testing.T) {
	s := New(oneServer(8, 500, counterClass()), 1)
	now := epoch
	seq := uint64(0)
	request := func() Request {
		seq++
		return Request{ID: ID{Box: "b", Seq: seq}, Class: "counter", Organisation: "o", Arrival: now, Deadline: now.Add(30 * time.Second)}
	}
	for range 10 {
		r := request()
		s.Reserve(now, r)
		now = now.Add(100 * time.Millisecond)
		s.Finish(now, Completion{ID: r.ID, Result: ResultDone, OutputTokens: 10})
		for range 9 {
			now = now.Add(100 * time.Millisecond)
			s.Tick(now)
		}
	}
	s.TakeDecisions()
	for range 200 {
		s.Reserve(now, request())
	}
	// 8 slots of 100 ms each serve 200 requests in 2.5 s of the 30 s they have.
	require.Empty(t, s.TakeDecisions().Refusals)
}
