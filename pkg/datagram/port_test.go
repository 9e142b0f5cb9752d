package datagram

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"headhill.example/headhill/pkg/datagram/datagrampb"
	"headhill.example/headhill/pkg/forms/formstest"
)

const testKind = "word"

// addressSet is a set of addresses that ports accept as peers.
type addressSet struct {
	mu   sync.Mutex
	list []netip.AddrPort
}

func (k *addressSet) add(a netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list = append(k.list, a)
}

func (k *addressSet) has(a netip.AddrPort) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Contains(k.list, a)
}

// listen opens a port whose peers are the known addresses.
func listen(t *testing.T, box string, known *addressSet) (*Port, *net.UDPAddr) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	p := NewPort(Deps{Box: box, Conn: conn, Logger: log.NewNopLogger(), IsPeer: known.has})
	return p, conn.LocalAddr().(*net.UDPAddr)
}

func TestMessagesOfPeersAreDelivered(t *testing.T) {
	var known addressSet
	sender, senderAddress := listen(t, "sender", &known)
	receiver, receiverAddress := listen(t, "receiver", &known)
	got := make(chan Message, 10)
	unknownSenders := make(chan struct{}, 10)
	receiver.Handle(testKind, func(m Message) { got <- m })
	receiver.OnUnknownSender(func() { unknownSenders <- struct{}{} })
	go receiver.Listen()

	require.True(t, sender.Send(testKind, []byte("hello"), receiverAddress))
	select {
	case <-unknownSenders:
	case <-time.After(10 * time.Second):
		t.Fatal("unknown sender was not reported")
	}
	assert.Empty(t, got, "message of an unknown sender was delivered")

	known.add(senderAddress.AddrPort())
	require.True(t, sender.Send(testKind, []byte("hello"), receiverAddress))
	select {
	case m := <-got:
		assert.Equal(t, "sender", m.Box)
		assert.Equal(t, "hello", string(m.Body))
	case <-time.After(10 * time.Second):
		t.Fatal("message was not delivered")
	}
}

// Guards against a message that counts as new although it was queued while the process was suspended.
func TestQueuedTimeIsKnown(t *testing.T) {
	const suspended = 300 * time.Millisecond
	var known addressSet
	sender, senderAddress := listen(t, "sender", &known)
	receiver, receiverAddress := listen(t, "receiver", &known)
	known.add(senderAddress.AddrPort())
	conn := receiver.Conn.(*net.UDPConn)
	require.True(t, enableTimestamps(conn))
	got := make(chan Message, 10)
	receiver.Handle(testKind, func(m Message) { got <- m })
	require.True(t, sender.Send(testKind, []byte("old"), receiverAddress))
	time.Sleep(suspended)
	go receiver.Listen()
	old := <-got
	assert.GreaterOrEqual(t, old.Queued, suspended-10*time.Millisecond)
	assert.Less(t, old.Queued, 10*time.Second)
	require.True(t, sender.Send(testKind, []byte("new"), receiverAddress))
	assert.Less(t, (<-got).Queued, old.Queued)
}

func TestQueuedTimeOfDamagedControlDataIsUnknown(t *testing.T) {
	for _, control := range [][]byte{nil, {1}, make([]byte, 32), make([]byte, 33)} {
		assert.Zero(t, queuedTime(control, time.Now()))
	}
}

// Boxes of a newer build send kinds that this one does not know. They are dropped, and those that
// follow are delivered.
func TestUnknownKindsAreDropped(t *testing.T) {
	var known addressSet
	sender, senderAddress := listen(t, "sender", &known)
	receiver, receiverAddress := listen(t, "receiver", &known)
	known.add(senderAddress.AddrPort())
	got := make(chan Message, 10)
	receiver.Handle(testKind, func(m Message) { got <- m })
	go receiver.Listen()
	require.True(t, sender.Send("statistics-of-a-newer-build", []byte("unknown"), receiverAddress))
	require.True(t, sender.Send(testKind, []byte("hello"), receiverAddress))
	select {
	case m := <-got:
		assert.Equal(t, "hello", string(m.Body))
	case <-time.After(10 * time.Second):
		t.Fatal("message was not delivered")
	}
	assert.Empty(t, got)
}

func TestLongMessagesAreNotSent(t *testing.T) {
	var known addressSet
	p, address := listen(t, "box", &known)
	assert.False(t, p.Send(testKind, make([]byte, MaxDatagramBytes), address))
	assert.True(t, p.Send(testKind, nil), "sending to no receivers succeeds")
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte("\n\x01b\x12\x04word\x1a\x01x"))
	f.Add([]byte("\x12\x05other"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		p := NewPort(Deps{Logger: log.NewNopLogger(), IsPeer: func(netip.AddrPort) bool { return true }})
		p.Handle(testKind, func(Message) {})
		p.receive(data, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 5000}, 0)
	})
}

func TestFormOfDatagrams(t *testing.T) { formstest.CheckShape(t, "datagram", &datagrampb.Envelope{}) }
