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

const kindWord = "word"

// knownAddresses are those that ports believe.
type knownAddresses struct {
	mu   sync.Mutex
	list []netip.AddrPort
}

func (k *knownAddresses) add(a netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list = append(k.list, a)
}

func (k *knownAddresses) has(a netip.AddrPort) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Contains(k.list, a)
}

// listen opens a port that believes some addresses.
func listen(t *testing.T, box string, known *knownAddresses) (*Port, *net.UDPAddr) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	p := NewPort(Deps{Box: box, Conn: conn, Logger: log.NewNopLogger(), IsPeer: known.has})
	return p, conn.LocalAddr().(*net.UDPAddr)
}

func TestMessagesOfKnownBoxesArrive(t *testing.T) {
	var known knownAddresses
	from, fromAddress := listen(t, "sender", &known)
	to, toAddress := listen(t, "receiver", &known)
	got := make(chan Message, 10)
	strangers := make(chan struct{}, 10)
	to.Handle(kindWord, func(m Message) { got <- m })
	to.OnUnknownSender(func() { strangers <- struct{}{} })
	go to.Listen()

	require.True(t, from.Send(kindWord, []byte("hello"), toAddress))
	select {
	case <-strangers:
	case <-time.After(10 * time.Second):
		t.Fatal("a stranger is told of")
	}
	assert.Empty(t, got, "a stranger is not believed")

	known.add(fromAddress.AddrPort())
	require.True(t, from.Send(kindWord, []byte("hello"), toAddress))
	select {
	case m := <-got:
		assert.Equal(t, "sender", m.Box)
		assert.Equal(t, "hello", string(m.Body))
	case <-time.After(10 * time.Second):
		t.Fatal("the message arrives")
	}
}

func TestLongMessagesAreNotSent(t *testing.T) {
	var known knownAddresses
	p, address := listen(t, "box", &known)
	assert.False(t, p.Send(kindWord, make([]byte, MaxDatagramBytes), address))
	assert.True(t, p.Send(kindWord, nil), "nobody to tell is no failure")
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte("\n\x01b\x12\x04word\x1a\x01x"))
	f.Add([]byte("\x12\x05other"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		p := NewPort(Deps{Logger: log.NewNopLogger(), IsPeer: func(netip.AddrPort) bool { return true }})
		p.Handle(kindWord, func(Message) {})
		p.receive(data, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 5000})
	})
}

func TestFormOfDatagrams(t *testing.T) { formstest.CheckShape(t, "datagram", &datagrampb.Envelope{}) }
