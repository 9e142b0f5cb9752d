package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// epoch is the start of virtual time in tests.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// oneServer returns a shard with one server and the given classes.
func oneServer(slots, queue int, classes ...Class) Config {
	return Config{Classes: classes, Servers: []Server{{Name: "s1", Slots: slots}}, QueueLimit: queue}
}

func counterClass() Class {
	return Class{Name: "counter", Tier: 1, Floor: 0.05, FloorPlaces: 2, GuaranteedPlaces: 20, FirstTokenTarget: time.Second}
}

func batchClass() Class {
	return Class{Name: "batch", Tier: 3, Floor: 0.05, FloorPlaces: 2, GuaranteedPlaces: 20}
}

// A burst after a period of low load must not be refused because of the low start rate of
// that period, which reflects demand rather than capacity.
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
	// With 8 slots and 100 ms per request, 200 requests take 2.5 s. Their deadline is 30 s.
	require.Empty(t, s.TakeDecisions().Refusals)
}
