// Package datagram sends small messages between boxes over a single UDP port. Messages may be
// lost, duplicated or reordered, so senders must not rely on delivery.
package datagram

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/datagram/datagrampb"
)

// MaxDatagramBytes is the maximum size of a datagram. Send rejects larger ones.
const MaxDatagramBytes = 8 << 10

// Message is a received message.
type Message struct {
	// Box is the name of the sender, From is its address.
	Box      string
	From     *net.UDPAddr
	Received time.Time
	// Queued is how long the message had waited to be read by then, as while this process was suspended. It is measured
	// with the wall clock, and zero if it is unknown.
	Queued time.Duration
	Body   []byte
}

// Deps are the dependencies of a Port.
type Deps struct {
	// Box is the name of this box.
	Box  string
	Conn net.PacketConn
	// IsPeer reports whether an address belongs to a box of the roster. Messages from other
	// addresses are dropped.
	IsPeer func(netip.AddrPort) bool
	Logger log.Logger
}

// Port sends and receives messages. Handlers must be set before Listen is called.
type Port struct {
	Deps
	handlers map[string]func(Message)
	// onUnknownSender and onReceive are set by OnUnknownSender and OnReceive.
	onUnknownSender func()
	onReceive       func(box string)
}

// NewPort returns a Port that uses an open connection.
func NewPort(d Deps) *Port {
	return &Port{Deps: d, handlers: make(map[string]func(Message)), onUnknownSender: func() {}, onReceive: func(string) {}}
}

// Handle sets the handler for messages of a kind. The handler must not block.
func (p *Port) Handle(kind string, f func(Message)) { p.handlers[kind] = f }

// OnUnknownSender sets a function that is called for each well-formed message from an address
// that is not a peer. It must not block.
func (p *Port) OnUnknownSender(f func()) { p.onUnknownSender = f }

// OnReceive sets a function that is called for each handled message from a peer. It must
// not block.
func (p *Port) OnReceive(f func(box string)) { p.onReceive = f }

// Send sends a message to the given addresses. It returns false if the message is too long.
func (p *Port) Send(kind string, body []byte, to ...*net.UDPAddr) bool {
	if len(to) == 0 {
		return true
	}
	data, err := proto.Marshal(&datagrampb.Envelope{Box: p.Box, Kind: kind, Body: body})
	if err != nil || len(data) > MaxDatagramBytes {
		return false
	}
	for _, address := range to {
		// Send errors are treated like a lost datagram.
		_, _ = p.Conn.WriteTo(data, address)
	}
	return true
}

// Listen dispatches messages to their handlers until the connection is closed.
func (p *Port) Listen() {
	buffer, receive := make([]byte, MaxDatagramBytes), receiver(p.Conn)
	for {
		n, from, queued, err := receive(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.receive(buffer[:n], from, queued)
	}
}

// receive dispatches one datagram to its handler.
func (p *Port) receive(data []byte, from net.Addr, queued time.Duration) {
	var e datagrampb.Envelope
	err := proto.Unmarshal(data, &e)
	handler, handled := p.handlers[e.GetKind()]
	sender, known := p.peerAddress(from)
	if err == nil && handled && known {
		p.onReceive(e.GetBox())
		handler(Message{Box: e.GetBox(), From: sender, Received: clock.Now(), Queued: queued, Body: e.GetBody()})
		return
	}
	if err == nil && handled {
		p.onUnknownSender()
	}
	_ = level.Debug(p.Logger).Log("msg", "datagram dropped", "from", from, "bytes", len(data), "known", known, "handled", handled, "err", err)
}

// peerAddress returns the UDP address of a sender, and whether it is a peer.
func (p *Port) peerAddress(from net.Addr) (*net.UDPAddr, bool) {
	a, ok := from.(*net.UDPAddr)
	if !ok {
		return nil, false
	}
	return a, p.IsPeer(CanonicalAddrPort(a))
}

// CanonicalAddrPort converts an address to the form used in the roster, with IPv4-mapped
// addresses unmapped.
func CanonicalAddrPort(a *net.UDPAddr) netip.AddrPort {
	address := a.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
