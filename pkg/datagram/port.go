// Package datagram carries small messages between boxes over one UDP port. A message
// may be lost, doubled or late: whoever sends one must be able to do without it.
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

// MaxDatagramBytes bounds a datagram, in bytes. Longer ones are not sent.
const MaxDatagramBytes = 8 << 10

// Message is one message as it arrived.
type Message struct {
	// Box is the name of the sender, From its address.
	Box      string
	From     *net.UDPAddr
	Received time.Time
	Body     []byte
}

// Deps are what a Port is built on.
type Deps struct {
	// Box is the name of this box.
	Box  string
	Conn net.PacketConn
	// IsPeer tells whether an address is that of a box of the roster. Others are not
	// believed.
	IsPeer func(netip.AddrPort) bool
	Logger log.Logger
}

// Port sends and receives messages. Handlers are set before Listen is called.
type Port struct {
	Deps
	handlers map[string]func(Message)
	stranger func()
	heard    func(box string)
}

// NewPort returns a port on an open connection.
func NewPort(d Deps) *Port {
	return &Port{Deps: d, handlers: make(map[string]func(Message)), stranger: func() {}, heard: func(string) {}}
}

// Handle sets who takes the messages of a kind. The handler must not block.
func (p *Port) Handle(kind string, f func(Message)) { p.handlers[kind] = f }

// OnUnknownSender sets who is told of a well-formed message from an unknown box. It must
// not block.
func (p *Port) OnUnknownSender(f func()) { p.stranger = f }

// OnReceive sets who is told of each message of a known box. It must not block.
func (p *Port) OnReceive(f func(box string)) { p.heard = f }

// Send sends a message to some boxes. It returns false if the message is too long.
func (p *Port) Send(kind string, body []byte, to ...*net.UDPAddr) bool {
	if len(to) == 0 {
		return true
	}
	data, err := proto.Marshal(&datagrampb.Envelope{Box: p.Box, Kind: kind, Body: body})
	if err != nil || len(data) > MaxDatagramBytes {
		return false
	}
	for _, address := range to {
		// A datagram that can't be sent counts as lost.
		_, _ = p.Conn.WriteTo(data, address)
	}
	return true
}

// Listen hands messages to their handlers until the connection is closed.
func (p *Port) Listen() {
	buffer := make([]byte, MaxDatagramBytes)
	for {
		n, from, err := p.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.receive(buffer[:n], from)
	}
}

// receive hands one datagram to its handler.
func (p *Port) receive(data []byte, from net.Addr) {
	var e datagrampb.Envelope
	err := proto.Unmarshal(data, &e)
	handler, handled := p.handlers[e.GetKind()]
	sender, known := p.knows(from)
	if err == nil && handled && known {
		p.heard(e.GetBox())
		handler(Message{Box: e.GetBox(), From: sender, Received: clock.Now(), Body: e.GetBody()})
		return
	}
	if err == nil && handled {
		p.stranger()
	}
	_ = level.Debug(p.Logger).Log("msg", "datagram dropped", "from", from, "bytes", len(data), "known", known, "handled", handled, "err", err)
}

// knows returns the address of a known box.
func (p *Port) knows(from net.Addr) (*net.UDPAddr, bool) {
	a, ok := from.(*net.UDPAddr)
	if !ok {
		return nil, false
	}
	return a, p.IsPeer(CanonicalAddrPort(a))
}

// CanonicalAddrPort is an address in the one form in which boxes are known.
func CanonicalAddrPort(a *net.UDPAddr) netip.AddrPort {
	address := a.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
