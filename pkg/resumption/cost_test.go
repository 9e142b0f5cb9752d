package resumption

import (
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/roster"
)

// costOf begins streams at a fleet whose service has some versions, and returns the datagrams and bytes sent,
// and the records that a box keeps at most.
func costOf(t *testing.T, boxCount, streams int, versions ...string) (sent, bytes, kept int) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{
			t: t, random: rand.New(rand.NewPCG(1, 1)), roster: boxes(boxCount, 4), versions: versions, boxes: make([]*simulatedBox, boxCount), store: &versionStore{},
			network: &network{random: rand.New(rand.NewPCG(1, 2)), conns: make(map[string]*packetConn), cut: make(map[string]bool)},
		}
		for i := range boxCount {
			h.start(i)
		}
		for i := range streams {
			h.boxes[i%boxCount].exchange.Began(KeyOf("a", fmt.Sprint(i)), Origin{Service: testService, Version: versions[0]})
		}
		time.Sleep(time.Second)
		sent, bytes = h.network.sent, h.network.bytes
		for _, b := range h.boxes {
			kept = max(kept, b.exchange.registry.Len())
			b.close()
		}
		synctest.Wait()
	})
	return sent, bytes, kept
}

// Guards against messages or state while a service has one version.
func TestOneVersionCostsNothing(t *testing.T) {
	sent, _, kept := costOf(t, 10, 1000, "v1")
	assert.Zero(t, sent)
	assert.Zero(t, kept)
}

// Guards against a guess by a box that has just started: it knows the current versions only, and other boxes may
// know an earlier one.
func TestBoxThatKnowsNoOthersAwaitsItsList(t *testing.T) {
	for _, c := range []struct {
		boxesKnown, listConfirmed, want bool
	}{{true, false, true}, {false, false, false}, {false, true, true}} {
		synctest.Test(t, func(t *testing.T) {
			n := &network{random: rand.New(rand.NewPCG(1, 2)), conns: make(map[string]*packetConn)}
			self := boxes(1, 1)[0]
			start := clock.Now()
			e := New(Deps{
				Box: self.Box, Port: datagram.NewPort(datagram.Deps{Box: self.Box, Conn: n.listen(self.Address())}), Logger: log.NewNopLogger(),
				Boxes: func() []roster.Entry { return []roster.Entry{self} }, BoxesKnown: func() bool { return c.boxesKnown },
				Versions: func(string) ServiceVersions {
					v := ServiceVersions{Versions: []string{"v1"}, HistoryKnown: true}
					if !c.listConfirmed {
						v.Age = clock.Since(start) + time.Second
					}
					return v
				},
				InProgress: func() iter.Seq2[Key, Origin] { return maps.All(map[Key]Origin(nil)) },
			})
			v := e.Find(t.Context(), KeyOf("a", "b"), testService)
			assert.Equal(t, c.want, v.Known, "%+v", c)
			assert.LessOrEqual(t, clock.Since(start), maxListWait+2*retryPause)
		})
	}
}

// Guards against a cost of a stream that grows with the number of boxes.
func TestCostOfAStreamDoesNotGrowWithBoxes(t *testing.T) {
	const streamsPerBox = 40
	for _, n := range []int{50, 100, 200} {
		sent, bytes, kept := costOf(t, n, n*streamsPerBox, "v1", "v2")
		assert.Equal(t, copies*n*streamsPerBox, sent, "%d boxes", n)
		assert.Less(t, bytes/sent, 100, "bytes of a datagram, %d boxes", n)
		assert.Less(t, kept, 3*(copies+1)*streamsPerBox, "records that a box keeps, %d boxes", n)
		t.Logf("%d boxes: %d datagrams and %d bytes a stream, at most %d records a box", n, sent/(n*streamsPerBox), bytes/(n*streamsPerBox), kept)
	}
}

func BenchmarkKeepers(b *testing.B) {
	for _, n := range []int{8, 985, 1700} {
		list := boxes(n, 7)
		b.Run(fmt.Sprint(n, " boxes"), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				Keepers(list, KeyOf("a", fmt.Sprint(i)), copies, "box-0")
			}
		})
	}
}
