package resumption

import (
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/datagram"
	"headhill.example/headhill/pkg/resumption/resumptionpb"
	"headhill.example/headhill/pkg/roster"
)

// peerBox is another box, whose replies a test makes.
type peerBox struct {
	port *datagram.Port
	// queries receives the questions that arrive.
	queries chan query
}

type query struct {
	*resumptionpb.Query
	from *net.UDPAddr
}

// constant makes a network deliver all datagrams, after the same time.
type constant struct{}

func (constant) Uint64() uint64 { return 0x9e3779b97f4a7c15 }

func newLossless() *network {
	return &network{random: rand.New(constant{}), conns: make(map[string]*packetConn)}
}

func startPeer(t *testing.T, n *network, e roster.Entry) *peerBox {
	p := &peerBox{port: newTestPort(t, n, e), queries: make(chan query, 100)}
	p.port.Handle(datagramKind, func(m datagram.Message) {
		received := &resumptionpb.Message{}
		if proto.Unmarshal(m.Body, received) == nil && received.GetQuery() != nil {
			p.queries <- query{received.GetQuery(), m.From}
		}
	})
	go p.port.Listen()
	return p
}

func (p *peerBox) reply(t *testing.T, r *resumptionpb.Reply, to *net.UDPAddr) {
	body, err := proto.Marshal(&resumptionpb.Message{Reply: r})
	require.NoError(t, err)
	require.True(t, p.port.Send(datagramKind, body, to))
}

// answer replies to each question as often as given, until the test ends.
func (p *peerBox) answer(t *testing.T, times int, historyKnown *bool) {
	for {
		select {
		case q := <-p.queries:
			for range times {
				p.reply(t, &resumptionpb.Reply{Id: q.GetId(), HistoryKnown: historyKnown}, q.from)
			}
		case <-t.Context().Done():
			return
		}
	}
}

func newTestPort(t *testing.T, n *network, e roster.Entry) *datagram.Port {
	conn := n.listen(e.Address())
	t.Cleanup(func() { conn.Close() })
	return datagram.NewPort(datagram.Deps{Box: e.Box, Conn: conn, IsPeer: func(netip.AddrPort) bool { return true }, Logger: log.NewNopLogger()})
}

// startAsking starts the first box of a roster, which knows the given versions from a list that is not confirmed.
func startAsking(t *testing.T, n *network, list []roster.Entry, v ServiceVersions) *Exchange {
	v.Age = time.Hour
	port := newTestPort(t, n, list[0])
	e := New(Deps{
		Box: list[0].Box, Port: port, Boxes: func() []roster.Entry { return list }, BoxesKnown: func() bool { return true },
		Versions: func(string) ServiceVersions { return v }, InProgress: func() iter.Seq2[Key, Origin] { return maps.All(map[Key]Origin(nil)) }, Logger: log.NewNopLogger(),
	})
	go port.Listen()
	return e
}

// find takes up a stream in the background.
func find(t *testing.T, e *Exchange, call string) <-chan Verdict {
	verdict := make(chan Verdict, 1)
	go func() { verdict <- e.Find(t.Context(), KeyOf("a", call), testService) }()
	return verdict
}

func recordOf(call, version string) *resumptionpb.Record {
	return encodeRecord(KeyOf("a", call), Origin{Service: testService, Version: version})
}

var severalVersions = ServiceVersions{Versions: []string{"v1", "v2"}, HistoryKnown: true}

// Guards against the version of another stream, from a suspended box that answers a question of this box's earlier life.
func TestLateReplyToAnEarlierLifeIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, list := newLossless(), boxes(2, 1)
		suspended := startPeer(t, n, list[1])
		find(t, startAsking(t, n, list, severalVersions), "earlier")
		late := <-suspended.queries
		time.Sleep(time.Second)
		for len(suspended.queries) > 0 {
			<-suspended.queries
		}

		e := startAsking(t, n, list, severalVersions)
		verdict := find(t, e, "now")
		<-suspended.queries
		suspended.reply(t, &resumptionpb.Reply{Id: late.GetId(), Record: recordOf("earlier", "v2"), Several: true, HistoryKnown: proto.Bool(true)}, late.from)
		v := <-verdict
		assert.False(t, v.Known, "%+v", v)
		assert.Zero(t, v.Evidence.Answers)
		assert.Equal(t, int64(1), e.Counts()["replies dropped"])
	})
}

// Guards against a late reply to an earlier life that confirms the only version of another service.
func TestLateReplyToAnEarlierLifeConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, list := newLossless(), boxes(2, 1)
		one := ServiceVersions{Versions: []string{"v1"}}
		suspended := startPeer(t, n, list[1])
		find(t, startAsking(t, n, list, one), "earlier")
		late := <-suspended.queries
		time.Sleep(maxListWait + time.Second)
		for len(suspended.queries) > 0 {
			<-suspended.queries
		}

		verdict := find(t, startAsking(t, n, list, one), "now")
		<-suspended.queries
		suspended.reply(t, &resumptionpb.Reply{Id: late.GetId(), HistoryKnown: proto.Bool(true)}, late.from)
		v := <-verdict
		assert.False(t, v.Known, "%+v", v)
	})
}

// Guards against a reply whose record is of another stream.
func TestReplyWithARecordOfAnotherStreamIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, list := newLossless(), boxes(2, 1)
		other := startPeer(t, n, list[1])
		e := startAsking(t, n, list, severalVersions)
		verdict := find(t, e, "mine")
		q := <-other.queries
		other.reply(t, &resumptionpb.Reply{Id: q.GetId(), Record: recordOf("another", "v2"), HistoryKnown: proto.Bool(true)}, q.from)
		time.Sleep(2 * maxLatency)
		other.reply(t, &resumptionpb.Reply{Id: q.GetId(), Record: recordOf("mine", "v1"), HistoryKnown: proto.Bool(true)}, q.from)
		v := <-verdict
		assert.True(t, v.Known)
		assert.Equal(t, "v1", v.Origin.Version)
		assert.Equal(t, int64(1), e.Counts()["replies dropped"])
	})
}

// Guards against boxes of an earlier build, which don't say whether they know the recent versions, that confirm a version
// after all boxes were killed during an upgrade; and against a box that refuses streams for long because of them.
func TestRepliesOfAnEarlierBuildConfirmNothing(t *testing.T) {
	for _, known := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n, list := newLossless(), boxes(4, 1)
			e := startAsking(t, n, list, ServiceVersions{Versions: []string{"v1"}, HistoryKnown: known})
			for _, entry := range list[1:] {
				go startPeer(t, n, entry).answer(t, 1, nil)
			}
			v := <-find(t, e, "stream")
			assert.False(t, v.Known, "%+v", v)
			assert.Positive(t, v.Evidence.Answers)
			assert.Zero(t, v.Evidence.Confirming)
			e.Versions = func(string) ServiceVersions {
				return ServiceVersions{Versions: []string{"v1"}, HistoryKnown: known, Age: -time.Second}
			}
			v = <-find(t, e, "stream")
			assert.Equal(t, known, v.Known, "the list was confirmed: %+v", v)
		})
	}
}

// Guards against a datagram that is repeated on its way and counts as the answers of two boxes, and against repetitions that
// leave no room for the answers of others.
func TestRepeatedReplyCountsOnce(t *testing.T) {
	for _, second := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n, list := newLossless(), boxes(4, 1)
			one := ServiceVersions{Versions: []string{"v1"}}
			repeats := map[string]int{list[1].Box: 2 * len(list), list[2].Box: 1}
			if !second {
				delete(repeats, list[2].Box)
			}
			e := startAsking(t, n, list, one)
			for _, entry := range list[1:] {
				go startPeer(t, n, entry).answer(t, repeats[entry.Box], proto.Bool(true))
			}
			v := <-find(t, e, "stream")
			assert.Equal(t, second, v.Known, "%+v", v)
			assert.Equal(t, len(repeats), v.Evidence.Confirming)
		})
	}
}

// Guards against a box that counts as several since it has restarted under another name and its former entries are still
// in the roster, and against one that confirms its own version so.
func TestBoxWithSeveralEntriesCountsOnce(t *testing.T) {
	for _, own := range []bool{false, true} {
		t.Run(fmt.Sprintf("own entries %t", own), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, list := newLossless(), boxes(3*copies+1, 1)
				for i := range list[2:] {
					list[2+i].Peer = list[1].Peer
					if own {
						list[2+i].Peer = list[0].Peer
					}
				}
				e := startAsking(t, n, list, ServiceVersions{Versions: []string{"v1"}, HistoryKnown: true})
				go startPeer(t, n, list[1]).answer(t, 1, proto.Bool(true))
				v := <-find(t, e, "stream")
				assert.False(t, v.Known, "%+v", v)
				assert.Equal(t, 1, v.Evidence.Confirming)
			})
		})
	}
}
